import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of the viewers' side of one connection. */
final class Viewer implements AutoCloseable {
    /** What came for one set-up; times are Unix ms, 0 for what did not come. */
    static final class Ask {
        final String id;
        final String service;
        final long sentAt;
        final int patienceMs;
        final List<String> answers = new ArrayList<>();
        volatile long answeredAt;
        volatile boolean served;
        volatile byte[] description;
        volatile long releasedAt;
        volatile long givenUpAt;
        /** When the connection was seen to end, with no answer for this set-up. */
        volatile long cutAt;

        Ask(String id, String service, long sentAt, int patienceMs) {
            this.id = id;
            this.service = service;
            this.sentAt = sentAt;
            this.patienceMs = patienceMs;
        }
    }

    final String name;
    private final Rec rec;
    private final Socket socket;
    final Map<String, Ask> asks = new ConcurrentHashMap<>();
    volatile long endedAt;
    volatile int testPassed = -1;
    boolean quiet;

    Viewer(String name, int port, Rec rec) throws IOException {
        this.name = name;
        this.rec = rec;
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        Harness.daemon(this::read);
    }

    static byte[] message(int type, long session, Object... parameters) {
        var bytes = new ByteArrayOutputStream();
        bytes.write(0);
        bytes.write(0);
        bytes.write(type);
        for (int i = 7; i >= 0; i--) bytes.write((int) (session >> 8 * i));
        for (int i = 0; i < parameters.length; i += 2) {
            byte[] value = parameters[i + 1] instanceof byte[] b
                    ? b
                    : parameters[i + 1].toString().getBytes(StandardCharsets.ISO_8859_1);
            bytes.write((Integer) parameters[i]);
            bytes.write(value.length >> 8);
            bytes.write(value.length);
            bytes.writeBytes(value);
        }
        byte[] message = bytes.toByteArray();
        message[0] = (byte) (message.length - 2 >> 8);
        message[1] = (byte) (message.length - 2);
        return message;
    }

    static byte[] setUp(long id, String service, int patienceMs, long title, int home, int copies, long viewer) {
        return setUp(id, service, patienceMs, title, home, copies, viewer, 0);
    }

    /** A set-up whose description has {@code padding} bytes more than the usual one. */
    static byte[] setUp(
            long id, String service, int patienceMs, long title, int home, int copies, long viewer, int padding) {
        return message(
                1,
                id,
                3,
                service,
                4,
                Integer.toString(patienceMs),
                5,
                "bwyd-cyflym",
                7,
                Harness.hex(title),
                8,
                "home:" + home + ";copies:" + copies + ";top:4;viewer:" + Harness.hex(viewer),
                18,
                Harness.hex(viewer) + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n" + "a".repeat(padding));
    }

    /** Sends a set-up; its time counts from its last byte. */
    Ask ask(long id, String service, int patienceMs, long title, int home, int copies) throws IOException {
        byte[] bytes = setUp(id, service, patienceMs, title, home, copies, id);
        var ask = new Ask(Harness.hex(id), service, System.currentTimeMillis(), patienceMs);
        asks.put(ask.id, ask);
        if (!quiet) rec.line("viewer %s: set-up %s (%s, waits %d ms)", name, ask.id, service, patienceMs);
        write(bytes);
        return ask;
    }

    /** Ends a session, or gives up its set-up. */
    void release(Ask ask) throws IOException {
        ask.givenUpAt = System.currentTimeMillis();
        if (!quiet) rec.line("viewer %s: releases %s", name, ask.id);
        write(message(12, Long.parseUnsignedLong(ask.id, 16), 17, new byte[] {16}));
    }

    void test() throws IOException {
        write(message(52, 1, 17, new byte[] {0}));
    }

    void write(byte[] bytes) throws IOException {
        synchronized (socket) {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }
    }

    private void read() {
        String why = "closed";
        try {
            var in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            for (int length = in.readUnsignedShort(); ; length = in.readUnsignedShort()) {
                byte[] body = in.readNBytes(length);
                if (body.length < length) break;
                onMessage(body);
            }
        } catch (IOException e) {
            if (!(e instanceof java.io.EOFException)) why = String.valueOf(e.getMessage());
        }
        endedAt = System.currentTimeMillis();
        for (Ask ask : asks.values())
            if (ask.answeredAt == 0 && ask.givenUpAt == 0) {
                ask.cutAt = endedAt;
                rec.line("viewer %s: connection ends (%s) without an answer to %s, sent %d ms before", name, why, ask.id, endedAt - ask.sentAt);
            }
    }

    private void onMessage(byte[] body) {
        long now = System.currentTimeMillis();
        int type = body[0] & 0xff;
        long session = 0;
        for (int i = 1; i <= 8; i++) session = session << 8 | body[i] & 0xff;
        int cause = -1;
        byte[] description = null;
        for (int i = 9; i + 3 <= body.length; ) {
            int length = (body[i + 1] & 0xff) << 8 | body[i + 2] & 0xff;
            if (body[i] == 17) cause = body[i + 3] & 0xff;
            if (body[i] == 18) description = java.util.Arrays.copyOfRange(body, i + 3, i + 3 + length);
            i += 3 + length;
        }
        if (type == 53) {
            testPassed = cause;
            return;
        }
        String id = Harness.hex(session);
        Ask ask = asks.get(id);
        if (!quiet) rec.line("viewer %s: message %d for %s, cause %d", name, type, id, cause);
        if (ask == null) return;
        if (ask.served && type != 9) {
            ask.releasedAt = now;
            return;
        }
        ask.answers.add(type + "/" + cause);
        if (ask.answeredAt == 0) {
            ask.answeredAt = now;
            ask.served = type == 9;
            ask.description = description;
        }
    }

    /** Whether the gateway or this side has ended the connection. */
    boolean ended() {
        return endedAt > 0;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
