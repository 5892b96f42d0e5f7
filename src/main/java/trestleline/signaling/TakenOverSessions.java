package trestleline.signaling;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds the sessions that were handed over and are said to play at a host. Nothing on the wire tells whether the host
 * knows them, so that without a bound a client could hand over sessions until the memory is used up. At a limit the
 * connection that has handed over the most at the host has to give up one for another connection's. Free of I/O.
 *
 * @param <C> connections
 * @param <S> sessions
 */
final class TakenOverSessions<C, S> {
    /** Sessions at all hosts, of some 1.5 KB each. */
    static final int MAX_TOTAL = 4096;

    private static final class HostSessions<C, S> {
        final Map<C, ArrayDeque<S>> byConnection = new LinkedHashMap<>();
        int count;

        int countOf(C connection) {
            ArrayDeque<S> sessions = byConnection.get(connection);
            return sessions == null ? 0 : sessions.size();
        }

        C largestConnection() {
            C largest = null;
            for (C connection : byConnection.keySet()) {
                if (largest == null || countOf(connection) > countOf(largest)) largest = connection;
            }
            return largest;
        }
    }

    private final int maxPerHost;
    private final Map<String, HostSessions<C, S>> byHost = new HashMap<>();
    private int total;

    /** Creates an empty set with a limit for each host. */
    TakenOverSessions(int maxPerHost) {
        this.maxPerHost = maxPerHost;
    }

    /**
     * Adds a session that a connection hands over. Returns null, or the session that has to end: the added one, which
     * is then not kept, or one of another connection, which was removed for it.
     */
    S add(String host, C connection, S session) {
        HostSessions<C, S> sessions = byHost.get(host);
        S removed = null;
        if (total >= MAX_TOTAL || sessions != null && sessions.count >= maxPerHost) {
            C largest = sessions == null ? null : sessions.largestConnection();
            if (largest == null || sessions.countOf(largest) <= sessions.countOf(connection) + 1) return session;
            removed = sessions.byConnection.get(largest).peekLast();
            remove(host, largest, removed);
        }
        sessions = byHost.computeIfAbsent(host, name -> new HostSessions<>());
        sessions.byConnection
                .computeIfAbsent(connection, owner -> new ArrayDeque<>())
                .addLast(session);
        sessions.count++;
        total++;
        return removed;
    }

    /** Removes a session that has ended; does nothing if it is not there. */
    void remove(String host, C connection, S session) {
        HostSessions<C, S> sessions = byHost.get(host);
        ArrayDeque<S> own = sessions == null ? null : sessions.byConnection.get(connection);
        if (own == null || !own.removeLastOccurrence(session)) return;
        sessions.count--;
        total--;
        if (own.isEmpty()) sessions.byConnection.remove(connection);
        if (sessions.count == 0) byHost.remove(host);
    }

    /** Number of sessions at all hosts. */
    int total() {
        return total;
    }
}
