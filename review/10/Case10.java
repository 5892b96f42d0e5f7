import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** After a quiet time, in which sessions play on every media host and nobody asks for one, one machine vanishes. */
public final class Case10 {
    private static final int HOSTS = 15;
    private static final int SESSIONS_EACH = 2;
    private static final int VANISHING = 14;
    private static final long QUIET_MS = 18_000;
    private static final long LIFE_MS = 59_000;
    /** After this time the control feed tells that the machine is gone. */
    private static final long NOTICE_MS = 13_000;
    /** The rule's bound where no release could be sent, with the 50 ms of the rules on sockets. */
    private static final long RELEASE_BOUND_MS = 8050;

    private Case10() {}

    public static void main(String[] args) throws Exception {
        Kit.main(Path.of(args[0]), Case10::run);
    }

    private static boolean run() throws Exception {
        var feed = new Kit.Feed();
        List<Kit.Host> hosts = new ArrayList<>();
        List<Kit.Network> networks = new ArrayList<>();
        for (int slot = 0; slot < HOSTS; slot++) {
            var host = new Kit.Host("s-" + slot, slot, LIFE_MS);
            hosts.add(host);
            networks.add(new Kit.Network(host, (link, message, raw) -> raw));
        }
        feed.tell(true, hosts.stream().map(host -> host.entry("up")).toArray(String[]::new));
        var gateway = new Kit.Gateway("n0", feed, 256, 128, Kit.settings(HOSTS));
        var viewers = new Kit.Viewers("viewers", gateway);
        List<Kit.Request> watched = new ArrayList<>();
        for (Kit.Host host : hosts) {
            for (int i = 0; i < SESSIONS_EACH; i++) {
                Kit.Request handed = viewers.handOver(host, "free", "acme", "00000000000000a0", 3);
                if (host.slot == VANISHING) watched.add(handed);
            }
        }
        long quietUntil = Kit.now() + QUIET_MS;
        while (Kit.now() < quietUntil) {
            Kit.sleep(2000);
            Kit.log("connections of n0 to media hosts: "
                    + networks.stream().mapToLong(Kit.Network::open).sum());
        }
        for (Kit.Request request : watched)
            Kit.require(request.releasedAt == 0, "a watched session was released in the quiet time");

        long over = Kit.now();
        if (Kit.TROUBLE) {
            networks.get(VANISHING).vanish();
            Kit.sleep(over + NOTICE_MS - Kit.now());
            feed.tell(false, hosts.get(VANISHING).entry("removed"));
        } else {
            Kit.sleep(NOTICE_MS);
        }
        Kit.sleep(2000);
        Kit.require(gateway.alive(), "the gateway ended");
        boolean held = true;
        for (Kit.Request request : watched) {
            long told = request.releasedAt;
            if (Kit.TROUBLE) {
                held &= told != 0 && told <= over + RELEASE_BOUND_MS;
                Kit.log("session " + Kit.hex(request.id) + " is over since " + over + ", its viewer was told "
                        + (told == 0 ? "nothing until " + Kit.now() : (told - over) + " ms later"));
            } else {
                held &= told == 0;
                Kit.log("session " + Kit.hex(request.id) + (told == 0 ? " plays" : " was released while it played"));
            }
        }
        return held;
    }
}
