import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The gateway stands still now and then. While it does, the feed tells that a media host drains, and viewers ask on an
 * open connection on which a session stands.
 */
public final class StallDrain {
    private static final int HOSTS = 9;
    private static final int ROUNDS = 6;
    private static final long STILL_MS = 1850;
    /** The grace of the settings and the slack of sockets. */
    private static final long GRACE_MS = 500 + 50;

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

    private static int play(Path root, Path folder, boolean trouble, Rec rec) throws Exception {
        List<Host> hosts = new ArrayList<>();
        long[] told = new long[HOSTS];
        int sent = 0;
        try (var feed = new Feed(rec);
                var gateway = new Harness.Gateway(root, folder, rec)) {
            String[] entries = new String[HOSTS];
            for (int i = 0; i < HOSTS; i++) {
                hosts.add(new Host("s-" + i, rec));
                entries[i] = Feed.entry("s-" + i, hosts.get(i).port(), i, "up");
            }
            feed.tell(true, entries);
            gateway.configure(512, 128, feed.port(), feed.known(), Harness.settings(HOSTS));
            if (!gateway.start()) return 2;
            long id = 0x1000;
            long still = 0;
            for (int round = 0; round < ROUNDS; round++) {
                var viewer = new Viewer("v" + round, gateway.port, rec);
                Viewer.Ask first = viewer.ask(++id, "zone-guide", 5000, 0x77, 0, HOSTS);
                if (!Harness.await(2000, () -> first.answeredAt > 0)) rec.line("the first set-up of the round waits");
                Harness.sleepUntil(System.currentTimeMillis() + 600);
                if (trouble) {
                    if (still > 0) rec.line("the last stall began %d ms ago", System.currentTimeMillis() - still);
                    gateway.signal("STOP");
                }
                still = System.currentTimeMillis();
                try {
                    Harness.sleepUntil(still + 200);
                    told[round] = feed.tell(false, Feed.entry("s-" + round, hosts.get(round).port(), round, "draining"));
                    for (int i = 0; i < 14; i++) {
                        Harness.sleepUntil(still + 300 + 100 * i);
                        viewer.ask(++id, "zone-guide", 5000, 0x77, 0, HOSTS);
                        sent++;
                    }
                    Harness.sleepUntil(still + STILL_MS);
                } finally {
                    if (trouble) gateway.signal("CONT");
                }
                rec.line("the gateway stood still for %d ms", trouble ? System.currentTimeMillis() - still : 0);
                Harness.sleepUntil(System.currentTimeMillis() + 700);
                for (Viewer.Ask ask : viewer.asks.values())
                    if (ask.served && ask.givenUpAt == 0 && !viewer.ended()) viewer.release(ask);
            }
            Harness.sleepUntil(System.currentTimeMillis() + 1000);
        } finally {
            for (Host host : hosts) host.close();
        }
        int late = 0;
        for (int i = 0; i < ROUNDS; i++) {
            for (Host.SetUp setUp : List.copyOf(hosts.get(i).setUps)) {
                if (setUp.at() <= told[i] + GRACE_MS) continue;
                late++;
                rec.line("%s came to s-%d %d ms after it was told to drain", setUp.session(), i, setUp.at() - told[i]);
            }
        }
        rec.line("%d of %d set-ups to a draining host more than %d ms after it was told to drain", late, sent, GRACE_MS);
        System.out.println(late + " of " + sent + " set-ups to a draining host more than " + GRACE_MS + " ms after it was told to drain");
        return late > 0 ? 1 : 0;
    }
}
