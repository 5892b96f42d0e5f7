package trestleline.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import trestleline.platform.GatewayFixture.Host;
import trestleline.platform.GatewayFixture.MessageBuilder;
import trestleline.platform.GatewayFixture.Viewer;

/**
 * Clients that send as much as they can, read what is sent to them and mean no good, against the packaged program with
 * the memory of deploy/balancer.toml. Usual viewers ask all the while: the process must stand, and each of them must be
 * answered in its time.
 */
@Timeout(120)
class HostileClientsIT {
    private static final int SOCKETS = 256;
    private static final int HOSTS = 4;
    /** How long usual viewers wait, ms. */
    private static final int PATIENCE_MS = 2000;
    /** A request without an answer for so much longer than its time is lost (ms, the platform's pages). */
    private static final int LOST_AFTER_MS = 550;

    private static final int USUAL_INTERVAL_MS = 100;

    @TempDir
    private Path dir;

    private GatewayFixture fixture;
    private GatewayProcess gateway;
    private final List<Flood> floods = new CopyOnWriteArrayList<>();
    private final Random random = new Random(43);

    @BeforeEach
    void startGateway() throws Exception {
        fixture = new GatewayFixture();
        String[] entries = new String[HOSTS];
        for (int i = 0; i < HOSTS; i++) {
            Host host = fixture.host((request, connection) -> {
                if (request.body().length() > GatewayFixture.OFFER_DESCRIPTION.length()) return; // never answered
                GatewayFixture.ACCEPT_SET_UPS.handle(request, connection);
            });
            entries[i] = GatewayFixture.hostEntry("h" + i, i, host, "up");
        }
        fixture.initialEvents.add(GatewayFixture.feedEvent(1, true, entries));
        fixture.feed.sentEvents().add(fixture.initialEvents.get(0));
        gateway = new GatewayProcess(dir, fixture.config(SOCKETS), "ulimit -n " + SOCKETS + "; ");
    }

    @AfterEach
    void stopGateway() throws Exception {
        for (Flood flood : floods) flood.close();
        gateway.close();
        fixture.close();
    }

    /** A client that writes on a thread of its own and reads and drops what is sent to it on another. */
    private final class Flood implements AutoCloseable {
        final Socket socket = new Socket("127.0.0.1", gateway.port);
        volatile boolean closed;

        Flood() throws IOException {
            this(true);
        }

        Flood(boolean reads) throws IOException {
            floods.add(this);
            if (!reads) return;
            start(() -> {
                byte[] buffer = new byte[1 << 16];
                while (socket.getInputStream().read(buffer) >= 0) {
                    // what is sent to it is read
                }
            });
        }

        /** Writes once. */
        void send(byte[] bytes) {
            start(() -> socket.getOutputStream().write(bytes));
        }

        /** Writes the results of a supplier one after the other at full speed, until it is closed. */
        void sendWithoutEnd(MessageSupplier messages) {
            start(() -> {
                while (!closed) socket.getOutputStream().write(messages.next());
            });
        }

        private void start(SocketTask task) {
            Thread thread = new Thread(() -> {
                try {
                    task.run();
                } catch (IOException e) {
                    closed = true; // the gateway closed the connection
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        @Override
        public void close() throws IOException {
            closed = true;
            socket.close();
        }
    }

    private interface SocketTask {
        void run() throws IOException;
    }

    private interface MessageSupplier {
        byte[] next();
    }

    private long nextId() {
        return random.nextLong() | Long.MIN_VALUE; // usual viewers have positive ids
    }

    private byte[] setUp(String className, String figures, String description) {
        long id = nextId();
        return Viewer.setUp(
                id,
                className,
                "a",
                "home:0;copies:4;top:1;viewer:" + GatewayFixture.toHex(id) + figures,
                description,
                PATIENCE_MS);
    }

    private static byte[] repeat(int count, MessageSupplier messages) {
        var all = new ByteArrayOutputStream();
        for (int i = 0; i < count; i++) all.writeBytes(messages.next());
        return all.toByteArray();
    }

    private static String longDescription() {
        return GatewayFixture.OFFER_DESCRIPTION + "a=x\r\n".repeat(1600);
    }

    /**
     * Lets a usual viewer ask ten times a second, and checks that the process stands and answers each time before the
     * request counts as lost. Whether the request is served or refused is not looked at. A connection that is closed
     * before anything was sent to it is replaced, and what was asked on it has failed: the platform's pages excuse
     * that.
     */
    private void assertUsualViewersAreAnswered(int durationMs) throws Exception {
        var viewer = new Viewer(gateway.port);
        boolean anythingReceived = false;
        Map<Long, Long> askedAt = new LinkedHashMap<>();
        List<Long> waits = new ArrayList<>();
        int replaced = 0;
        long end = System.currentTimeMillis() + durationMs;
        long nextAskAt = 0;
        long id = 0;
        while (System.currentTimeMillis() < end || !askedAt.isEmpty()) {
            assertTrue(gateway.isAlive(), gateway.describe());
            long now = System.currentTimeMillis();
            if (viewer.closed && !anythingReceived) {
                replaced++;
                askedAt.clear();
                viewer = new Viewer(gateway.port);
            }
            if (now < end && now >= nextAskAt) {
                nextAskAt = now + USUAL_INTERVAL_MS;
                askedAt.put(++id, System.nanoTime());
                ask(viewer, id);
            }
            var message = viewer.messages.poll(1, TimeUnit.MILLISECONDS);
            if (message != null) {
                anythingReceived = true;
                Long asked = askedAt.remove(message.session());
                if (asked != null) waits.add(millisSince(asked));
                if (message.type() == 9) viewer.sendRelease(message.session(), 16);
            }
            for (var open : askedAt.entrySet()) {
                long waited = millisSince(open.getValue());
                assertTrue(
                        waited < PATIENCE_MS + LOST_AFTER_MS,
                        "request " + open.getKey() + " of " + id + " has no answer after " + waited + " ms");
            }
        }
        assertTrue(gateway.isAlive(), gateway.describe());
        assertFalse(waits.isEmpty());
        waits.sort(null);
        System.out.println("usual answers " + waits.size() + " of " + id + ", median " + waits.get(waits.size() / 2)
                + " ms, slowest " + waits.get(waits.size() - 1) + " ms, resident " + gateway.peakResidentKb() / 1024
                + " MB, connections replaced " + replaced);
        viewer.close();
    }

    private static void ask(Viewer viewer, long id) {
        String figures = "home:0;copies:4;top:1;viewer:" + GatewayFixture.toHex(id);
        try {
            viewer.send(Viewer.setUp(id, "free", "a", figures, GatewayFixture.OFFER_DESCRIPTION, PATIENCE_MS));
        } catch (IOException e) {
            // the gateway has closed the connection, which is looked at by the caller
        }
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    /** Guards against bytes that are read and decoded from all sockets before any bound is looked at. */
    @Test
    void manyLargeRequestsAtOnceDoNotFillTheHeap() throws Exception {
        for (int client = 0; client < 80; client++)
            new Flood().send(repeat(200, () -> setUp("no-such-class", "", longDescription())));
        assertUsualViewersAreAnswered(6000);
    }

    /** Guards against set-ups whose descriptions are held without a bound until their hosts answer. */
    @Test
    void manyLargeSetUpsAtOnceDoNotFillTheHeap() throws Exception {
        for (int client = 0; client < 80; client++)
            new Flood().send(repeat(200, () -> setUp("free", "", longDescription())));
        assertUsualViewersAreAnswered(6000);
    }

    /** Guards against messages of very many parameters that take far more memory decoded than encoded. */
    @Test
    void messagesOfManyEmptyParametersDoNotFillTheHeap() throws Exception {
        byte[] message = manyParameters();
        for (int client = 0; client < 300; client++) new Flood().send(repeat(50, () -> message));
        assertUsualViewersAreAnswered(6000);
    }

    /** A set-up of 4,500 empty parameters, as many of them as there can be with codes of their own. */
    private byte[] manyParameters() {
        var message = new MessageBuilder(1, nextId());
        for (int i = 0; i < 4500; i++) message.with(i & 0xff, "");
        return message.bytes();
    }

    /** Guards against what hundreds of clients leave half written or write slowly, and the time it takes to read it. */
    @Test
    void manyHalfRequestsDoNotFillTheHeap() throws Exception {
        byte[] message = setUp("free", "", longDescription());
        for (int client = 0; client < 300; client++) {
            int length = message.length - 1 - client;
            boolean slow = client % 2 == 0;
            var flood = new Flood();
            if (!slow) flood.send(java.util.Arrays.copyOf(message, length));
            else {
                int[] next = {0};
                flood.sendWithoutEnd(() -> new byte[] {message[next[0]++ % length]});
            }
        }
        assertUsualViewersAreAnswered(6000);
    }

    /** Guards against a client whose short messages are read faster than they are processed. */
    @Test
    void testsAtFullSpeedDoNotFillTheHeapNorDelayOthers() throws Exception {
        byte[] tests =
                repeat(1000, () -> new MessageBuilder(52, 1).with(17, "\0").bytes());
        for (int client = 0; client < 20; client++) new Flood().sendWithoutEnd(() -> tests);
        assertUsualViewersAreAnswered(5000);
    }

    /** Guards against replies that are kept for very many clients that don't read them. */
    @Test
    void repliesThatNobodyReadsDoNotFillTheMemory() throws Exception {
        byte[] tests =
                repeat(1000, () -> new MessageBuilder(52, 1).with(17, "\0").bytes());
        for (int client = 0; client < 110; client++) new Flood(false).sendWithoutEnd(() -> tests);
        assertUsualViewersAreAnswered(6000);
    }

    /** Guards against clients that keep the event loop from others with set-ups that can't be used. */
    @Test
    void unsoundSetUpsAtFullSpeedDoNotDelayOthers() throws Exception {
        int[] name = {0};
        for (int client = 0; client < 20; client++) {
            String className = client % 2 == 0 ? "class" : "free";
            new Flood()
                    .sendWithoutEnd(() -> setUp(className + name[0]++, ";figure" + name[0] + ":1", "no description"));
        }
        assertUsualViewersAreAnswered(5000);
    }

    /**
     * Guards against sessions that no host knows, handed over without end, each with a description as long as can be.
     */
    @Test
    void sessionsHandedOverWithoutEndDoNotFillTheHeapNorDelayOthers() throws Exception {
        for (int client = 0; client < 20; client++) {
            String description = client % 2 == 0 ? longDescription() : GatewayFixture.OFFER_DESCRIPTION;
            String host = ";at:h" + client % HOSTS;
            new Flood().sendWithoutEnd(() -> setUp("free", host, description));
        }
        assertUsualViewersAreAnswered(8000);
    }

    /** Guards against what each session that begins and ends leaves behind for some seconds, under ever new ids. */
    @Test
    void sessionsHandedOverAndReleasedWithoutEndDoNotFillTheHeap() throws Exception {
        for (int client = 0; client < 20; client++) {
            String host = ";at:h" + client % HOSTS;
            new Flood().sendWithoutEnd(() -> {
                byte[] message = setUp("free", host, GatewayFixture.OFFER_DESCRIPTION);
                long id = ByteBuffer.wrap(message).getLong(3);
                var both = new ByteArrayOutputStream();
                both.writeBytes(message);
                both.writeBytes(new MessageBuilder(12, id).with(17, "\20").bytes());
                return both.toByteArray();
            });
        }
        assertUsualViewersAreAnswered(8000);
    }

    /**
     * Guards against connections that are accepted until the process has no descriptor left, so that nobody's is for a
     * second: usual viewers come on connections of their own here.
     */
    @Test
    void silentClientsByTheHundredDoNotKeepOthersOut() throws Exception {
        List<SocketChannel> silent = new ArrayList<>();
        List<Viewer> usual = new ArrayList<>();
        List<Long> askedAt = new ArrayList<>();
        for (int second = 0; second < 6; second++) {
            connectSilently(300, silent);
            for (int i = 0; i < 4; i++) {
                var viewer = new Viewer(gateway.port);
                askedAt.add(System.nanoTime());
                ask(viewer, askedAt.size());
                usual.add(viewer);
                closeEnded(silent);
                Thread.sleep(250);
            }
        }
        for (SocketChannel channel : silent) channel.close();
        int answered = 0;
        int excused = 0; // closed before anything was sent
        for (int i = 0; i < usual.size(); i++) {
            Viewer viewer = usual.get(i);
            long leftMs = PATIENCE_MS + LOST_AFTER_MS - millisSince(askedAt.get(i));
            var message = viewer.messages.poll(Math.max(0, leftMs), TimeUnit.MILLISECONDS);
            if (message != null) answered++;
            else if (viewer.closed) excused++;
            viewer.close();
        }
        System.out.println("usual viewers " + usual.size() + ", answered " + answered + ", excused " + excused);
        assertTrue(gateway.isAlive(), gateway.describe());
        assertEquals(usual.size(), answered + excused, answered + " answered, " + excused + " excused");
        assertTrue(answered > 0);
    }

    /** Connects at once, without waiting for any of the connections. */
    private void connectSilently(int count, List<SocketChannel> channels) throws IOException {
        var address = new InetSocketAddress("127.0.0.1", gateway.port);
        for (int i = 0; i < count; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.connect(address);
            channels.add(channel);
        }
    }

    /** Closes the connections that the gateway has closed. */
    private static void closeEnded(List<SocketChannel> channels) throws IOException {
        var buffer = ByteBuffer.allocate(64);
        for (SocketChannel channel : List.copyOf(channels)) {
            boolean ended;
            try {
                ended = channel.finishConnect() && channel.read(buffer) < 0;
            } catch (IOException e) {
                ended = true;
            }
            if (!ended) continue;
            channel.close();
            channels.remove(channel);
        }
    }
}
