import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A gateway starts while discovery is crowded: a subscription waits for its turn before it is answered. A media host
 * starts to drain meanwhile.
 */
public final class SlowFeed {
    private static final int ANSWER_DELAY_MS = 1800;
    /** What a feed that is silent has to tell counts as told no later than this after that began; then the grace and the slack of sockets. */
    private static final int TOLD_MS = 4000;

    private static final int GRACE_MS = 500 + 50;

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
            gateway.configure(512, 128, feed.port(), feed.known(), Harness.settings(3));
            feed.answerDelayMs = trouble ? ANSWER_DELAY_MS : 0;
            if (!gateway.start()) return 2;
            var viewer = new Viewer("v", gateway.port, rec);
            long id = 0x1000;
            long start = System.currentTimeMillis();
            long told = 0;
            for (int i = 0; i < 100; i++) {
                Harness.sleepUntil(start + i * 200L);
                if (i == 10) told = feed.tell(false, Feed.entry("s-a", a.port(), 0, "draining"));
                if (viewer.ended()) viewer = new Viewer("v" + i, gateway.port, rec);
                viewer.ask(++id, "zone-guide", 5000, 0x77, 0, 3);
                if (i >= 10) {
                    Viewer.Ask old = viewer.asks.get(Harness.hex(id - 10));
                    if (old != null && old.served) viewer.release(old);
                }
            }
            Harness.sleepUntil(System.currentTimeMillis() + 1000);
            int after = 0;
            for (Host.SetUp setUp : java.util.List.copyOf(a.setUps)) {
                if (setUp.at() <= told + TOLD_MS + GRACE_MS) continue;
                after++;
                rec.line("%s came to s-a %d ms after it was told to drain", setUp.session(), setUp.at() - told);
            }
            rec.line("%d set-ups to s-a more than %d ms after it was told to drain", after, TOLD_MS + GRACE_MS);
            System.out.println(after + " set-ups to the draining host more than " + (TOLD_MS + GRACE_MS) + " ms after it was told to drain");
            return after > 0 ? 1 : 0;
        }
    }
}
