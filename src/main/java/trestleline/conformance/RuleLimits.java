package trestleline.conformance;

import java.util.Map;

/**
 * The limits that the six rules are checked against. All times are in milliseconds.
 *
 * @param classes limits of each request class, by its name
 * @param graceToAnswer time after a request's deadline by which it must be answered
 * @param drainGrace time for which set-ups may still reach a host that is no longer listed as running
 * @param coldShare part of its capacity that a host has right after its start
 * @param warmUp time from a host's start to its full capacity; 0 means that there is no limit for cold hosts
 * @param overloadFactor factor on the rate of set-ups that a cold host's capacity allows
 * @param overloadWindow window in which set-ups at a cold host are counted
 * @param freeRetries retries that are allowed in a window regardless of the number of requests
 * @param retryShare retries that are allowed for each request of the window
 * @param retryWindow length of the window of the retry budget; 0 means that retries are not limited
 * @param observationSkew how far a peer's view may lag behind what the gateway did, as two sockets deliver in no common
 *     order
 */
public record RuleLimits(
        Map<String, ClassLimits> classes,
        double graceToAnswer,
        double drainGrace,
        double coldShare,
        double warmUp,
        double overloadFactor,
        double overloadWindow,
        double freeRetries,
        double retryShare,
        double retryWindow,
        double observationSkew) {
    /** Whether a set-up may be retried after an attempt that may have run: always, within a window or never. */
    public enum RetryPolicy {
        /** Any number of times. */
        FREELY,
        /** Until {@link ClassLimits#dedupWindow} after the earlier attempt. */
        WITHIN_WINDOW,
        /** Not at all. */
        NEVER
    }

    /**
     * Limits of a request class.
     *
     * @param retryPolicy whether an attempt that may have run may be followed by another
     * @param dedupWindow time for which hosts recognise repeated set-ups, ms; for {@code WITHIN_WINDOW} only
     * @param minRung lowest rung that a session may be set up or played at
     * @param maxSessionsPerTitle sessions of one title that a gateway may hold at once; 0 means no limit
     */
    public record ClassLimits(RetryPolicy retryPolicy, double dedupWindow, int minRung, int maxSessionsPerTitle) {}
}
