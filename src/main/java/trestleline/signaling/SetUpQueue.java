package trestleline.signaling;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * FIFO queue of the set-ups of one connection that were read and are valid, but not passed to the core yet. A release
 * that arrives meanwhile takes its set-up out again, and neither is processed. Free of I/O.
 */
final class SetUpQueue {
    /**
     * A queued set-up.
     *
     * @param bytes memory reserved for it
     * @param queuedAt clock reading in ms
     */
    record QueuedSetUp(long id, SetUpReader.SetUp setUp, int bytes, double queuedAt) {}

    private final Map<Long, QueuedSetUp> byId = new LinkedHashMap<>();

    /** Appends a set-up whose id must not be queued already. */
    void add(QueuedSetUp queued) {
        byId.put(queued.id, queued);
    }

    /** Whether a set-up with this id is queued. */
    boolean contains(long id) {
        return byId.containsKey(id);
    }

    /** Removes and returns the set-up with this id, or returns null if there is none. */
    QueuedSetUp remove(long id) {
        return byId.remove(id);
    }

    /** Returns the oldest set-up without removing it, or null if the queue is empty. */
    QueuedSetUp peek() {
        return byId.isEmpty() ? null : byId.values().iterator().next();
    }

    /** Removes and returns the oldest set-up, or returns null if the queue is empty. */
    QueuedSetUp poll() {
        Iterator<QueuedSetUp> oldest = byId.values().iterator();
        if (!oldest.hasNext()) return null;
        QueuedSetUp queued = oldest.next();
        oldest.remove();
        return queued;
    }

    /** All queued set-ups, oldest first. */
    Collection<QueuedSetUp> all() {
        return byId.values();
    }

    boolean isEmpty() {
        return byId.isEmpty();
    }
}
