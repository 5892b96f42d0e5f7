package trestleline.core;

import java.util.function.Supplier;

/**
 * The check made right before a set-up is written. Connecting takes time, during which the host may have been removed
 * from the list, the viewer may have left, or the attempt may have expired. Implementations do no I/O; gateways use
 * {@link #DEFAULT}.
 */
@FunctionalInterface
public interface PreWriteCheck {
    /**
     * The state at the moment of the write.
     *
     * @param wanted whether the request still waits for this attempt
     * @param late whether the event loop was stalled, so that list changes may lie unread in their socket
     * @param expired whether the attempt has expired
     * @param listed whether the host is listed as running
     * @param warmingUp whether the host is listed as started, or a connection to it was lost, within a host's warm-up
     *     time
     * @param elapsedMs time (ms) since the module decided on the attempt
     * @param intentCheck whether a paid set-up's intent is stored; called only if everything else allows the write
     */
    record Facts(
            boolean wanted,
            boolean late,
            boolean expired,
            boolean listed,
            boolean warmingUp,
            double elapsedMs,
            Supplier<MediaHosts.WriteDecision> intentCheck) {}

    /**
     * How long (ms) a decision for a cold host is valid. Gateways take turns at a cold host by the clock. A set-up that
     * is written after its gateway's turn coincides with those of others, and gateways that were stalled together would
     * overload the host the moment they resume.
     */
    double COLD_DECISION_TTL_MS = 100;

    /**
     * The check that gateways use. Lateness is tested before the list because the list may be outdated either way while
     * the loop is late. The stored intent is tested last because a set-up that will not be written needs none.
     */
    PreWriteCheck DEFAULT = facts -> {
        if (!facts.wanted()) return MediaHosts.WriteDecision.DROP;
        if (facts.late()) return MediaHosts.WriteDecision.WAIT;
        if (facts.expired() || !facts.listed() || facts.warmingUp() && facts.elapsedMs() > COLD_DECISION_TTL_MS)
            return MediaHosts.WriteDecision.DROP;
        return facts.intentCheck().get();
    };

    /** Decides whether a set-up is written now, later or not at all. */
    MediaHosts.WriteDecision check(Facts facts);
}
