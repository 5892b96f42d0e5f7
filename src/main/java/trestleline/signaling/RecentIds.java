package trestleline.signaling;

import java.util.HashSet;
import java.util.Set;

/**
 * Ids of requests that are over and may have run at a host, so that none of them runs again under the same id. An id is
 * remembered for {@link #RETENTION_MS} at least, unless {@link #MAX_IDS} others come meanwhile, and for twice as long
 * at most. Free of I/O; reads no clock.
 */
final class RecentIds {
    /** How long (ms) an id is remembered at least: several times the longest wait of a viewer. */
    static final double RETENTION_MS = 30_000;
    /** Ids in one generation, some 60 bytes each. */
    static final int MAX_IDS = 16_384;

    private Set<Long> current = new HashSet<>();
    private Set<Long> previous = new HashSet<>();
    /** When the current generation began; clock reading in ms. */
    private double currentSince = Double.NEGATIVE_INFINITY;

    /** Remembers an id from now (ms) on. */
    void add(long id, double now) {
        if (current.size() >= MAX_IDS) startGeneration(now);
        expire(now);
        current.add(id);
    }

    /** Whether an id is remembered at a time (ms). */
    boolean contains(long id, double now) {
        expire(now);
        return current.contains(id) || previous.contains(id);
    }

    private void expire(double now) {
        if (now - currentSince < RETENTION_MS) return;
        boolean idle = now - currentSince >= 2 * RETENTION_MS;
        startGeneration(now);
        if (idle) previous = new HashSet<>();
    }

    private void startGeneration(double now) {
        previous = current;
        current = new HashSet<>();
        currentSince = now;
    }
}
