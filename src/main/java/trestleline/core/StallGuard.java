package trestleline.core;

/**
 * Tells a periodic check whether it can judge a silence. After a stall of the event loop (a suspended process, a long
 * garbage collection) overdue timers run before the sockets are read, in which the answer of a peer may lie that looks
 * silent by the clock. Reads no clock.
 */
public final class StallGuard {
    /** A check that comes so much later (ms) than its interval follows a stall. */
    private static final double LATE_MS = EventQueue.STALL_THRESHOLD_MS;

    private final double intervalMs;
    private double lastCheckAt;
    private double stallSeenAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates a guard for a check that is first made one interval from now.
     *
     * @param intervalMs time between two checks, ms
     * @param now time in ms
     */
    public StallGuard(double intervalMs, double now) {
        this.intervalMs = intervalMs;
        lastCheckAt = now;
    }

    /**
     * Records a check at a time (ms). Returns whether the event loop has read its sockets for an interval since the
     * last stall; until then nobody counts as silent. A timer may catch up on missed checks at once after a stall, so
     * that the second one proves nothing either.
     */
    public boolean mayJudge(double now) {
        if (now - lastCheckAt > intervalMs + LATE_MS) stallSeenAt = now;
        lastCheckAt = now;
        return now - stallSeenAt >= intervalMs;
    }
}
