import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bad clients state a time to wait that is out of range and ask the same again as soon as they are turned away; they
 * read what is sent to them. Usual viewers ask four times a second on a connection of their own.
 */
public final class Flood {
    private static final int CLIENTS = 2;
    /** Set-ups that a bad client has open at once. */
    private static final int OPEN = 100;

    private static final int OUT_OF_RANGE_MS = 9_999_999;
    private static final int SECONDS = 75;
    private static final AtomicLong ids = new AtomicLong(1L << 40);
    private static final AtomicLong turnedAway = new AtomicLong();
    private static volatile boolean over;

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        Path folder = Files.createTempDirectory("review");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (var rec = new Rec(Path.of(arguments[1], "record.txt"))) {
            try {
                result = play(root, folder, trouble, rec);
            } catch (Exception e) {
                rec.line("the case could not run: %s", e);
                result = 2;
            }
            rec.line("exit %d", result);
        }
        Harness.deleteFolder(folder);
        System.exit(result);
    }

    private static void badClient(int port, int number, Rec rec) {
        long count = 0;
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            socket.setTcpNoDelay(true);
            var in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 1 << 16));
            var out = new java.io.BufferedOutputStream(socket.getOutputStream(), 1 << 16);
            for (int i = 0; i < OPEN; i++) out.write(setUp());
            out.flush();
            while (!over) {
                int length = in.readUnsignedShort();
                int type = in.readUnsignedByte();
                in.readNBytes(length - 1);
                if (type != 12) rec.line("bad client %d: message %d", number, type);
                count++;
                turnedAway.incrementAndGet();
                out.write(setUp());
                if (in.available() < 11) out.flush();
            }
        } catch (IOException e) {
            rec.line("bad client %d: %s", number, e);
        }
        rec.line("bad client %d: turned away %d times", number, count);
    }

    /** The title has seven seats at this gateway, and seven sessions play. */
    private static byte[] setUp() {
        long id = ids.incrementAndGet();
        return Viewer.setUp(id, "induction", OUT_OF_RANGE_MS, 0x55, 0, 3, id);
    }

    private static int play(Path root, Path folder, boolean trouble, Rec rec) throws Exception {
        List<Viewer.Ask> asks = new ArrayList<>();
        boolean passed;
        try (var feed = new Feed(rec);
                var a = new Host("s-a", rec);
                var b = new Host("s-b", rec);
                var c = new Host("s-c", rec);
                var gateway = new Harness.Gateway(root, folder, rec)) {
            feed.tell(
                    true,
                    Feed.entry("s-a", a.port(), 0, "up"),
                    Feed.entry("s-b", b.port(), 1, "up"),
                    Feed.entry("s-c", c.port(), 2, "up"));
            gateway.configure(512, 192, feed.port(), feed.known(), Harness.settings(3));
            if (!gateway.start()) return 2;
            var usual = new Viewer("usual", gateway.port, rec);
            long id = 0x1000;
            for (int i = 0; i < 7; i++) {
                Viewer.Ask ask = usual.ask(++id, "induction", 3000, 0x55, 0, 3);
                asks.add(ask);
                if (!Harness.await(3000, () -> ask.answeredAt > 0) || !ask.served) {
                    rec.line("the seats could not be taken");
                    return 2;
                }
            }
            for (int i = 1; trouble && i <= CLIENTS; i++) {
                int number = i;
                Harness.daemon(() -> badClient(gateway.port, number, rec));
            }
            long start = System.currentTimeMillis();
            int unanswered = 0;
            for (int tick = 0; System.currentTimeMillis() - start < SECONDS * 1000L && unanswered < 12; tick++) {
                Harness.sleepUntil(start + 250L * tick);
                try {
                    if (usual.ended()) usual = new Viewer("usual-" + tick, gateway.port, rec);
                    asks.add(usual.ask(++id, "zone-guide", 3000, 0x77, 0, 3));
                } catch (IOException e) {
                    rec.line("usual viewer: %s", e.getMessage());
                }
                long now = System.currentTimeMillis();
                unanswered = 0;
                for (Viewer.Ask ask : asks) if (ask.answeredAt == 0 && now - ask.sentAt > ask.patienceMs + 500) unanswered++;
                // a usual session lasts 5 s
                for (Viewer.Ask ask : List.copyOf(usual.asks.values())) {
                    if (ask.service.equals("zone-guide") && ask.served && ask.givenUpAt == 0 && now - ask.sentAt > 5000) {
                        try {
                            usual.release(ask);
                        } catch (IOException e) {
                            rec.line("usual viewer: %s", e.getMessage());
                        }
                    }
                }
                if (tick % 4 == 0) rec.line("bad clients were turned away %d times so far; the gateway holds %d kB", turnedAway.get(), gateway.residentKb());
            }
            over = true;
            rec.line("the bad clients stop, after %d times", turnedAway.get());
            Harness.sleepUntil(System.currentTimeMillis() + 6000);
            // the bad clients are away for good; viewers ask on a connection of their own
            boolean answered = false;
            try (var later = new Viewer("later", gateway.port, rec)) {
                later.test();
                answered = Harness.await(4000, () -> later.testPassed >= 0);
                for (int i = 0; i < 3; i++) asks.add(later.ask(++id, "zone-guide", 3000, 0x77, 0, 3));
                Harness.await(3600, () -> later.asks.values().stream().allMatch(ask -> ask.answeredAt > 0));
            } catch (IOException e) {
                rec.line("later viewer: %s", e.getMessage());
            }
            passed = answered;
            rec.line("the gateway's process runs: %s; it answers a test: %s", gateway.process.isAlive(), passed);
            for (String line : gateway.log(20)) rec.line("log: %s", line);
        }
        int lost = 0;
        for (Viewer.Ask ask : asks) {
            long late = ask.answeredAt - ask.sentAt - ask.patienceMs;
            if (ask.answeredAt == 0 || late > 500 || ask.answers.size() > 1) {
                lost++;
                rec.line("lost: %s, sent at %d, answers %s", ask.id, ask.sentAt, ask.answers);
            }
        }
        rec.line("%d set-ups of usual viewers, %d lost; the bad clients were turned away %d times; the gateway answers a test: %s", asks.size(), lost, turnedAway.get(), passed);
        System.out.println(asks.size() + " set-ups of usual viewers, " + lost + " lost; bad clients turned away " + turnedAway.get() + " times; the gateway answers a test: " + passed);
        return lost > 0 || !passed ? 1 : 0;
    }
}
