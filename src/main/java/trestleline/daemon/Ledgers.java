package trestleline.daemon;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.DoubleSupplier;
import trestleline.billing.LedgerKeeper;
import trestleline.config.GatewayConfig;
import trestleline.hosts.Receipts;
import trestleline.ledger.Clerk;
import trestleline.ledger.Keys;
import trestleline.ledger.Outbox;

/** Opens a gateway's ledger as its settings say. */
final class Ledgers {
    private Ledgers() { }

    /** Throws {@code IOException} or {@code IllegalArgumentException} naming the file that can't be used. */
    static LedgerKeeper open(Vertx vertx, GatewayConfig config, GatewayNode.StoreOpener opener, Seams seams,
                             String generation, Receipts hosts, DoubleSupplier clock, long seed) throws IOException {
        GatewayConfig.Ledger l = config.ledger();
        Keys keys;
        try {
            keys = Keys.read(Files.readString(Path.of(l.keys())));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(l.keys() + ": " + e.getMessage(), e);
        }
        var clerk = new Clerk.Terms(l.periodS() * 1000, l.latenessS() * 1000, l.backlog(), l.slowMs(), l.askFromMs(),
            l.askToMs(), l.askForMs(), l.open());
        var outbox = new Outbox.Terms(l.batch(), l.backoffFrom(), l.backoffTo(), l.budget(), l.windowMs());
        var settings = new LedgerKeeper.Settings(Integer.toString(config.settings().me()), generation, l.desk(), clerk);
        return new LedgerKeeper(vertx, settings, keys, seams.store(opener.open(Path.of(l.file()))), seams.outbox(outbox, seed),
            seams.receipts(hosts), clock);
    }
}
