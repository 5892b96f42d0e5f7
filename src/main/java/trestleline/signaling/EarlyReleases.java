package trestleline.signaling;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Releases that were read before the set-up that they release. Connections are read in any order: the set-up may still
 * be unread on another one. Bounded in number and time. Free of I/O.
 *
 * @param <C> connections
 */
final class EarlyReleases<C> {
    /** Releases that are remembered; the oldest are dropped beyond this. */
    private static final int MAX_RELEASES = 256;
    /** How long (ms) a release is remembered. */
    private static final double RETENTION_MS = 1000;

    private record EarlyRelease<C>(C connection, double expiresAt) {}

    private final Map<Long, EarlyRelease<C>> byId = new LinkedHashMap<>();

    /** Remembers from now (ms) on that a connection has released an id. */
    void add(long id, C connection, double now) {
        byId.put(id, new EarlyRelease<>(connection, now + RETENTION_MS));
        if (byId.size() > MAX_RELEASES) byId.remove(byId.keySet().iterator().next());
    }

    /**
     * Removes the release of an id. Returns whether it applies to a set-up on a connection: it has not expired and came
     * on another one, as the messages of one connection are in order.
     */
    boolean consume(long id, C connection, double now) {
        EarlyRelease<C> release = byId.remove(id);
        return release != null && release.connection != connection && release.expiresAt > now;
    }

    /** Forgets the releases whose time is over. */
    void expire(double now) {
        byId.values().removeIf(release -> release.expiresAt < now);
    }
}
