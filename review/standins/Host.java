import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in of a media host: it answers each set-up at once with a description, answers tests with a report, and ends a
 * session when the gateway tells it to.
 */
class Host implements AutoCloseable {
    /** A set-up as it arrived: {@code at} is when its first byte was read. */
    record SetUp(String session, String tier, long at) {}

    /** A message of the gateway. */
    record Request(String method, Map<String, String> headers, byte[] body, long firstByteAt) {}

    final String name;
    private final ServerSocket server;
    protected final Rec rec;
    private final List<Socket> sockets = new ArrayList<>();
    final List<SetUp> setUps = new ArrayList<>();
    /** Descriptions that this host made, by session. */
    final Map<String, String> descriptions = new ConcurrentHashMap<>();
    /** Sessions that stand. */
    final Map<String, Socket> standing = new ConcurrentHashMap<>();

    private volatile boolean closed;

    /** While true, new connections come up late: they are taken when it is false again. */
    private volatile boolean late;

    Host(String name, Rec rec) throws IOException {
        this(name, rec, 200);
    }

    Host(String name, Rec rec, int backlog) throws IOException {
        this.name = name;
        this.rec = rec;
        server = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
        Harness.daemon(this::accept);
    }

    /**
     * Lets new connections come up late: the host takes none until {@link #takeConnections}, and its queue is filled with
     * connections that say nothing. Open connections are served as ever. Returns the fillers.
     */
    List<Socket> delayConnections() throws IOException {
        late = true;
        List<Socket> fillers = new ArrayList<>();
        for (int i = 0; i < 64; i++) {
            var filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(new java.net.InetSocketAddress("127.0.0.1", port()), 60);
            } catch (java.net.SocketTimeoutException e) {
                rec.line("host %s: new connections come up late from now on (%d fill its queue)", name, i);
                return fillers;
            }
        }
        throw new IOException("the queue of connections can't be filled");
    }

    /** Takes connections again. */
    void takeConnections(List<Socket> fillers) throws IOException {
        for (Socket filler : fillers) filler.close();
        late = false;
        rec.line("host %s: new connections come up at once again", name);
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                while (late && !closed) Thread.sleep(1);
                socket.setTcpNoDelay(true);
                synchronized (sockets) {
                    sockets.add(socket);
                }
                opened(socket);
                Harness.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request request = read(in); request != null; request = read(in)) handle(socket, request);
        } catch (IOException e) {
            // the connection is over
        }
    }

    private static Request read(InputStream in) throws IOException {
        long firstByteAt = 0;
        String method = null;
        Map<String, String> headers = new HashMap<>();
        while (true) {
            var line = new StringBuilder();
            int octet;
            while ((octet = in.read()) >= 0 && octet != '\n') {
                if (firstByteAt == 0) firstByteAt = System.currentTimeMillis();
                if (octet != '\r') line.append((char) octet);
            }
            if (octet < 0) return null;
            if (method == null) {
                method = line.toString();
                continue;
            }
            if (line.length() == 0) break;
            int colon = line.indexOf(":");
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(method, headers, body, firstByteAt);
    }

    /** Writes a message, whole. */
    static void send(Socket socket, String text) throws IOException {
        synchronized (socket) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }
    }

    static String answer(int status, int cseq, String session, String extra, String body) {
        return "RTSP/1.0 " + status + " Word\r\nCSeq: " + cseq + "\r\nSession: " + session + "\r\n" + extra
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Called for each connection that the gateway opens. */
    protected void opened(Socket socket) throws IOException {}

    /** Handles one message of the gateway. */
    protected void handle(Socket socket, Request request) throws IOException {
        String session = request.headers().get("session");
        if (request.method().startsWith("SETUP ")) {
            var setUp = new SetUp(session, request.headers().get("x-tier"), request.firstByteAt());
            synchronized (setUps) {
                setUps.add(setUp);
            }
            rec.line("host %s: set-up of %s (%s), first byte at %d", name, session, setUp.tier(), setUp.at());
            onSetUp(socket, session);
        } else if (request.method().startsWith("TEARDOWN ")) {
            standing.remove(session);
            rec.line("host %s: %s is released by the gateway (%s)", name, session, request.headers().get("reason"));
            send(socket, answer(200, 2, session, "", ""));
        } else if (request.method().startsWith("OPTIONS ")) {
            send(socket, answer(200, 3, session, "X-Gauges: load_share:0.2;x1:0.2\r\n", ""));
        }
    }

    protected void onSetUp(Socket socket, String session) throws IOException {
        String description = session + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 25888 RTP/AVP 0\r\n";
        descriptions.put(session, description);
        standing.put(session, socket);
        send(socket, answer(200, 1, session, "", description));
    }

    /** Number of open or closed connections that the gateway has made so far. */
    int connectionsMade() {
        synchronized (sockets) {
            return sockets.size();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
        synchronized (sockets) {
            for (Socket socket : sockets) socket.close();
        }
    }
}
