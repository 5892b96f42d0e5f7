package trestleline.daemon;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.DoubleSupplier;
import trestleline.billing.LedgerService;
import trestleline.config.GatewayConfig;
import trestleline.hosts.ReceiptSource;
import trestleline.ledger.AttemptLedger;
import trestleline.ledger.Compaction;
import trestleline.ledger.Outbox;
import trestleline.ledger.SealingKeys;
import trestleline.ledger.store.LedgerStore;
import trestleline.placement.Placement;

/** Opens the ledger of a gateway as configured. */
final class LedgerFactory {
    private LedgerFactory() {}

    /** The parts of a ledger that are on disk. They are read on a worker, before the event loop uses them. */
    record Opened(SealingKeys keys, LedgerStore store) {}

    /** Reads the keys and opens the store; an exception names the file that cannot be used. */
    static Opened open(GatewayConfig.Ledger settings, GatewayNode.StoreOpener opener) throws IOException {
        try {
            return new Opened(
                    SealingKeys.parse(Files.readString(Path.of(settings.keys()))),
                    opener.open(Path.of(settings.file())));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(settings.keys() + ": " + e.getMessage(), e);
        }
    }

    /** Creates the ledger keeper, on the event loop of the gateway. */
    static LedgerService keeper(
            Vertx vertx,
            GatewayConfig config,
            Opened opened,
            ComponentHooks hooks,
            String generation,
            ReceiptSource receiptSource,
            DoubleSupplier clock,
            long seed) {
        GatewayConfig.Ledger ledger = config.ledger();
        var clerkTerms = new AttemptLedger.Settings(
                ledger.periodS() * 1000,
                ledger.latenessS() * 1000,
                ledger.backlog(),
                ledger.slowMs(),
                ledger.askFromMs(),
                ledger.askToMs(),
                ledger.askForMs(),
                ledger.open());
        var outboxTerms = new Outbox.Settings(
                ledger.batch(), ledger.backoffFrom(), ledger.backoffTo(), ledger.budget(), ledger.windowMs());
        double longestDeadlineMs = config.settings().classes().stream()
                .mapToDouble(Placement.RequestClass::deadline)
                .max()
                .orElse(0);
        var settings = new LedgerService.Settings(
                Integer.toString(config.settings().gatewayIndex()),
                generation,
                ledger.desk(),
                clerkTerms,
                ledger.keepPeriods() < 0
                        ? null
                        : new Compaction.Retention(
                                ledger.periodS() * 1000, ledger.keepPeriods(), ledger.askForMs(), longestDeadlineMs));
        return new LedgerService(
                vertx,
                settings,
                opened.keys(),
                hooks.store(opened.store()),
                hooks.outbox(outboxTerms, seed),
                hooks.receiptSource(receiptSource),
                clock,
                hooks::head);
    }
}
