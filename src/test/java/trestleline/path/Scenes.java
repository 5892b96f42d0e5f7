package trestleline.path;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import trestleline.Front;
import trestleline.daemon.Seams;
import trestleline.listing.Listed;
import trestleline.standin.MediaHost;

/** Whole-path scenes that other tests play with bent gateways. */
public final class Scenes {
    private Scenes() { }

    /** One ask; once the gateway stands still with it in hand, all hosts are told draining. Returns the rules broken. */
    public static List<Integer> drainWhileItStands(Path dir, Seams seams, CountDownLatch stands) throws Exception {
        try (Town town = new Town(dir, seams)) {
            CompletableFuture<Integer> asked = town.ask(0, "induction", "short", 1);
            if (!stands.await(20, TimeUnit.SECONDS)) throw new AssertionError("it never stood still");
            town.on(() -> town.fleet.feed().tellNow(town.fleet.hosts().stream().map(Scenes::draining).toList()));
            asked.get(20, TimeUnit.SECONDS);
            return town.verdict().guilty();
        }
    }

    private static Listed draining(MediaHost h) {
        MediaHost.Spec s = h.spec();
        return new Listed(new Front.Entry(s.name(), "Stopping", s.kind(), h.since(), s.zone(), 1, s.slot()), "127.0.0.1", h.port());
    }
}
