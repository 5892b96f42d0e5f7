import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The network has forgotten an idle connection to a media host: the next message on it, the release of a session that
 * was set up there, ends in a reset of both ends. Other connections to the media host go on.
 */
public final class Case10 {
    private static final String TITLE = "00000000000000a0";
    /** How long the watched session plays; its connection rests for most of that time. */
    private static final long LIFE_MS = 12_000;
    /** The rule's bound where no release could be sent, with the 50 ms of the rules on sockets. */
    private static final long RELEASE_BOUND_MS = 8050;
    /** How much longer than the bound the case waits. */
    private static final long FURTHER_MS = 4000;

    private Case10() {}

    public static void main(String[] args) throws Exception {
        Kit.main(Path.of(args[0]), Case10::run);
    }

    private static boolean run() throws Exception {
        var feed = new Kit.Feed();
        var host = new Kit.Host("s-0", 0, LIFE_MS);
        var reset = new CopyOnWriteArrayList<String>();
        var network = new Kit.Network(host, (link, message, raw) -> {
            boolean release = "TEARDOWN".equals(message.method())
                    && host.setUps.indexOf(message.session()) == 0
                    && reset.isEmpty();
            if (!Kit.TROUBLE || !release) return raw;
            reset.add(message.session());
            Kit.log("connection " + link.index + " has rested " + (Kit.now() - link.lastMessageAt)
                    + " ms and is reset under the release of " + message.session());
            link.reset();
            return null;
        });
        feed.tell(true, host.entry("up"));
        var gateway = new Kit.Gateway("n0", feed, 256, 128, Kit.settings(1));
        var viewers = new Kit.Viewers("viewers", gateway);

        // Two set-ups at once take a connection each.
        host.answerDelayMs = 100;
        Kit.Request watched = viewers.setUp("paid", "acme", TITLE, 0, 1, 1, 3000);
        Kit.require(Kit.await(3000, () -> host.setUps.contains(Kit.hex(watched.id))), "the watched set-up did not come");
        host.lifeMs = 2000;
        viewers.setUp("paid", "acme", TITLE, 0, 1, 1, 3000);
        Kit.require(Kit.await(3500, () -> "served".equals(watched.answer)), "the watched viewer is not served");
        host.answerDelayMs = 0;
        Kit.HostSession session = host.standing.get(Kit.hex(watched.id));
        Kit.require(session != null, "the watched session does not stand");
        Kit.require(network.links.size() >= 2, "the gateway has one connection only");

        // Viewers come and go at the same media host, one after the other.
        List<Kit.Request> others = new CopyOnWriteArrayList<>();
        while (!session.over && Kit.now() < watched.answeredAt + 2 * LIFE_MS) {
            others.add(viewers.setUp("free", "acme", TITLE, 0, 1, 0, 5000));
            Kit.sleep(500);
        }
        Kit.require(session.over, "the watched session did not end");
        long over = Kit.now();
        while (Kit.now() < over + RELEASE_BOUND_MS + FURTHER_MS) {
            others.add(viewers.setUp("free", "acme", TITLE, 0, 1, 0, 5000));
            Kit.sleep(500);
        }
        Kit.require(gateway.alive(), "the gateway ended");
        Kit.require(others.stream().anyMatch(request -> "served".equals(request.answer)), "nobody else was served");
        Kit.log("session " + Kit.hex(watched.id) + " is over since " + over + " at the latest, its viewer was told "
                + (watched.releasedAt == 0 ? "nothing until " + Kit.now() : "at " + watched.releasedAt));
        return watched.releasedAt != 0 && watched.releasedAt <= over + RELEASE_BOUND_MS;
    }
}
