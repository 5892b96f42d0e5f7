package trestleline.daemon;

import java.util.function.Consumer;
import trestleline.core.AttemptJournal;
import trestleline.core.DecisionModule;
import trestleline.core.MediaHosts;
import trestleline.core.PreWriteCheck;
import trestleline.core.Timers;
import trestleline.hosts.ReceiptSource;
import trestleline.ledger.Head;
import trestleline.ledger.Outbox;
import trestleline.ledger.store.LedgerStore;
import trestleline.placement.Placement;
import trestleline.placement.PlacementPolicy;

/**
 * Extension points between the components of a gateway, by which tests inject faults to prove that the conformance
 * checks detect them (docs/proof.md). No setting selects an implementation, and the only one in the program is
 * {@link #NONE}; {@code ArchitectureTest} checks this.
 */
public interface ComponentHooks {
    /** Leaves every component as it is. */
    ComponentHooks NONE = new ComponentHooks() {};

    /** Creates the decision module from the settings of a gateway. */
    default DecisionModule decisionModule(Placement.Settings settings, long seed, double now) {
        return new PlacementPolicy(settings, seed, now)::handle;
    }

    /** Returns the settings that core, decision module and clients use. */
    default Placement.Settings settings(Placement.Settings real) {
        return real;
    }

    /** Returns the generation of this process, which is part of the ids of its attempts. */
    default String generation(String real) {
        return real;
    }

    /** Returns the check that is made before a request is written to a host. */
    default PreWriteCheck preWriteCheck(PreWriteCheck real) {
        return real;
    }

    /** Returns the client of the media hosts. */
    default MediaHosts mediaHosts(MediaHosts real) {
        return real;
    }

    /** Returns the journal of attempts. */
    default AttemptJournal attemptJournal(AttemptJournal real) {
        return real;
    }

    /** Returns the timers that the core uses. */
    default Timers timers(Timers real) {
        return real;
    }

    /** Returns the listener that receives updates of the host list. */
    default Consumer<Placement.HostListUpdate> hostListListener(Consumer<Placement.HostListUpdate> real) {
        return real;
    }

    /** Returns the source of receipts for billing. */
    default ReceiptSource receiptSource(ReceiptSource real) {
        return real;
    }

    /** Returns the store of the ledger. */
    default LedgerStore store(LedgerStore real) {
        return real;
    }

    /** Returns the content of a signed head. */
    default Head head(Head real) {
        return real;
    }

    /** Creates the outbox through which entries are sent to billing. */
    default Outbox outbox(Outbox.Settings terms, long seed) {
        return new Outbox(terms, seed);
    }
}
