package trestleline.hosts;

import io.vertx.core.Future;
import java.util.List;
import java.util.Set;

/** Queries media hosts, after the fact, for paid set-ups that ran there (docs/ledger-wire.md). */
public interface ReceiptSource {
    /** A host's statement that a paid set-up ran there; {@code at} is the time in ms since the epoch. */
    record Receipt(String attempt, String tenant, String service, long title, long viewer, double ranAt) {}

    /** Returns the names of the hosts whose address is known. */
    Set<String> hostNames();

    /**
     * Asks a host whether an attempt ran there. A host that does not know the attempt answers no, and never runs it
     * from then on. The future fails when the host gives no clear answer.
     */
    Future<Boolean> queryAttempt(String host, String attempt);

    /** Fetches all set-ups of a gateway that ran at a host after a time (ms since the epoch). */
    Future<List<Receipt>> listReceipts(String host, String gatewayName, double after);
}
