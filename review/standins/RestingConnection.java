import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Viewers use connections again that rested for up to about a second, while the gateway stands still now and then.
 * Every set-up is owed one answer.
 */
public final class RestingConnection {
    private static final int ROUNDS = 8;
    private static final int VIEWERS = 4;

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
        var random = new Random(33);
        List<Viewer.Ask> asks = new ArrayList<>();
        List<Viewer> viewers = new ArrayList<>();
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
            if (!gateway.start()) return 2;
            for (int i = 0; i < VIEWERS; i++) viewers.add(new Viewer("v" + i, gateway.port, rec));
            long id = 0x1000;
            for (int round = 0; round < ROUNDS; round++) {
                long start = System.currentTimeMillis() + 50;
                for (int i = 0; i < VIEWERS; i++) {
                    if (viewers.get(i).ended()) viewers.set(i, new Viewer("v" + i + "-" + round, gateway.port, rec));
                }
                // the first set-up of each connection plays and is ended by its viewer; the connection rests from then on
                Harness.sleepUntil(start);
                List<Viewer.Ask> first = new ArrayList<>();
                for (Viewer viewer : viewers) first.add(viewer.ask(++id, "zone-guide", 5000, 0x77, 0, 3));
                asks.addAll(first);
                if (!Harness.await(1500, () -> first.stream().allMatch(ask -> ask.answeredAt > 0))) rec.line("some set-ups wait");
                for (int i = 0; i < VIEWERS; i++) if (first.get(i).served) viewers.get(i).release(first.get(i));
                long rests = System.currentTimeMillis();
                // 0.6 s later the gateway stands still for 1.8 s; the next set-ups come on the same connections meanwhile
                Harness.sleepUntil(rests + 600);
                if (trouble) gateway.signal("STOP");
                long stopped = System.currentTimeMillis();
                try {
                    long at = stopped;
                    for (Viewer viewer : viewers) {
                        at += 50 + random.nextInt(150);
                        Harness.sleepUntil(at);
                        asks.add(viewer.ask(++id, "zone-guide", 5000, 0x77, 0, 3));
                    }
                    Harness.sleepUntil(stopped + 1800);
                } finally {
                    if (trouble) gateway.signal("CONT");
                }
                rec.line("the gateway stood still for %d ms", trouble ? System.currentTimeMillis() - stopped : 0);
                Harness.sleepUntil(System.currentTimeMillis() + 900);
                for (Viewer viewer : viewers)
                    for (Viewer.Ask ask : viewer.asks.values())
                        if (ask.served && ask.givenUpAt == 0 && !viewer.ended()) viewer.release(ask);
            }
            Harness.sleepUntil(System.currentTimeMillis() + 5600);
            if (!gateway.process.isAlive()) rec.line("the gateway has ended");
        } finally {
            for (Viewer viewer : viewers) viewer.close();
        }
        int lost = 0;
        int crossed = 0;
        for (Viewer.Ask ask : asks) {
            long late = ask.answeredAt - ask.sentAt - ask.patienceMs;
            if (ask.answeredAt == 0 && ask.cutAt > 0 && ask.cutAt - ask.sentAt <= 50) crossed++;
            else if (ask.answeredAt == 0 || late > 500 || ask.answers.size() > 1) {
                lost++;
                rec.line("lost: %s, sent at %d, answers %s, connection ended %d ms later", ask.id, ask.sentAt, ask.answers, ask.cutAt - ask.sentAt);
            }
        }
        rec.line("%d set-ups, %d lost, %d crossed a close within 50 ms", asks.size(), lost, crossed);
        System.out.println(asks.size() + " set-ups, " + lost + " lost, " + crossed + " crossed a close within 50 ms");
        return lost > 0 ? 1 : 0;
    }
}
