package trestleline.http;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Accounts for the memory (bytes) that viewers make this front use, against one limit, and selects what to shed once
 * the limit is exceeded (docs/operators.md). Uses no I/O and no clock; connections and sessions are identified by any
 * objects of the caller's. Its own memory is one entry per connection.
 *
 * <p>Order of shedding: first idle connections, the newest first; then connections in the middle of a long request
 * head, the oldest first, because one of them holds as much as several viewers; then whichever has kept this front
 * waiting for its next step for longest, because a genuine viewer takes it within moments: connections in the middle of
 * another head, connections that have sent nothing yet, connections silent since they were granted a session, and
 * sessions from which nothing has been fetched. These four kinds share one order by age, so that a flood of one kind is
 * older than a genuine viewer of another kind and is shed before it.
 *
 * <p>Requests already received are never shed, because each must get its one answer. Instead, requests without a viewer
 * identity are no longer admitted above three quarters of the limit, and those with one above the limit. Playing
 * connections are kept.
 *
 * @param <C> connections
 * @param <S> sessions
 */
final class MemoryBudget<C, S> {
    /** State of a connection. */
    enum ConnectionState {
        /** Accepted; nothing has been read yet. */
        ACCEPTED,
        /** In the middle of a request head. */
        HEAD,
        /** In the middle of a request head that is longer than those of players. */
        LONG_HEAD,
        /** Between requests. */
        IDLE,
        /** Received a session's playlist and has been silent since. */
        GRANTED,
        /** A request is being handled. */
        BUSY,
        /** Fetches a session's media. */
        PLAYING
    }

    /**
     * Bytes that a connection itself takes: objects of the HTTP library, timers, buffers. The measured size
     * (docs/measured.md), rounded up.
     */
    static final long CONNECTION_BYTES = 12_000;
    /** Bytes that a pending request takes besides its head. */
    static final long REQUEST_BYTES = 4_000;
    /** Bytes that a session takes, including those in the decision module and the core. */
    static final long SESSION_BYTES = 5_000;
    /** Bytes of a segment in transfer that may lie in the buffers of both sides. */
    static final long TRANSFER_BYTES = 48_000;
    /** Bytes of memory per byte of a request head, once it is parsed into names and values. */
    static final int HEAD_MEMORY_FACTOR = 4;
    /** Bytes of memory per field of a request head, however short it is. */
    static final long FIELD_BYTES = 200;
    /** Bytes above which a request head is long: a player's has a few hundred. */
    static final int LONG_HEAD_BYTES = 2048;
    /** Lines above which a request head is long: a player's has some twenty. */
    private static final int LONG_HEAD_LINES = 64;

    private static final double UNNAMED_LIMIT_FRACTION = 0.75;
    private static final List<ConnectionState> STATES_SHED_BY_AGE =
            List.of(ConnectionState.HEAD, ConnectionState.ACCEPTED, ConnectionState.GRANTED);

    private final long limitBytes;
    private final Map<C, Entry> entries = new HashMap<>();
    private final Map<ConnectionState, TreeMap<Long, C>> byStateAndAge = new EnumMap<>(ConnectionState.class);
    /** Sessions from which nothing has been fetched, by the sequence number of their start. */
    private final TreeMap<Long, S> unfetchedByAge = new TreeMap<>();

    private final Map<S, Long> unfetchedSequence = new HashMap<>();
    private long usedBytes;
    private long nextSequence;
    /** Number of connections closed to free memory. */
    private long shed;

    private long sessionsShed;

    private static final class Entry {
        /** Sequence number of the connection's last change of state; lower is older. */
        long sequence;

        ConnectionState state = ConnectionState.ACCEPTED;
        long bytes = CONNECTION_BYTES;
        /** Bytes and line ends of the unfinished request head. */
        long headBytes;

        int headLines;

        Entry(long sequence) {
            this.sequence = sequence;
        }

        void startHead() {
            headBytes = 0;
            headLines = 0;
        }
    }

    MemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
        for (ConnectionState state : ConnectionState.values()) byStateAndAge.put(state, new TreeMap<>());
    }

    void opened(C connection) {
        Entry entry = new Entry(nextSequence++);
        entries.put(connection, entry);
        byStateAndAge.get(entry.state).put(entry.sequence, connection);
        usedBytes += entry.bytes;
    }

    void closed(C connection) {
        Entry entry = entries.remove(connection);
        if (entry == null) return;
        byStateAndAge.get(entry.state).remove(entry.sequence);
        usedBytes -= entry.bytes;
    }

    /** Sets the state of a connection and the bytes that it takes beyond {@link #CONNECTION_BYTES}. */
    void setState(C connection, ConnectionState state, long extraBytes) {
        Entry entry = entries.get(connection);
        if (entry == null) return;
        byStateAndAge.get(entry.state).remove(entry.sequence);
        if (entry.state != state) entry.sequence = nextSequence++; // age counts from the last change of state
        entry.state = state;
        byStateAndAge.get(state).put(entry.sequence, connection);
        usedBytes += CONNECTION_BYTES + extraBytes - entry.bytes;
        entry.bytes = CONNECTION_BYTES + extraBytes;
    }

    /**
     * Adds bytes of a request head that were read, with the number of line ends among them; a busy or playing
     * connection is accounted for by its request.
     */
    void headBytesRead(C connection, long bytes, int lines) {
        Entry entry = entries.get(connection);
        if (entry == null || entry.state == ConnectionState.BUSY || entry.state == ConnectionState.PLAYING) return;
        if (!inHead(entry)) entry.startHead();
        entry.headBytes += bytes;
        entry.headLines += lines;
        boolean isLong = entry.headBytes > LONG_HEAD_BYTES || entry.headLines > LONG_HEAD_LINES;
        setState(
                connection,
                isLong ? ConnectionState.LONG_HEAD : ConnectionState.HEAD,
                entry.headBytes * HEAD_MEMORY_FACTOR + entry.headLines * FIELD_BYTES);
    }

    private static boolean inHead(Entry entry) {
        return entry.state == ConnectionState.HEAD || entry.state == ConnectionState.LONG_HEAD;
    }

    /** A request head is complete and its request is being handled. A playing connection stays playing. */
    void requestReceived(C connection) {
        Entry entry = entries.get(connection);
        if (entry == null || entry.state == ConnectionState.PLAYING) return;
        setState(
                connection, ConnectionState.BUSY, REQUEST_BYTES + (inHead(entry) ? entry.bytes - CONNECTION_BYTES : 0));
    }

    /** A session starts. */
    void sessionStarted(S session) {
        usedBytes += SESSION_BYTES;
        unfetchedSequence.put(session, nextSequence);
        unfetchedByAge.put(nextSequence++, session);
    }

    /** Media of the session was requested. */
    void mediaRequested(S session) {
        Long sequence = unfetchedSequence.remove(session);
        if (sequence != null) unfetchedByAge.remove(sequence);
    }

    /** The session ended; must be called once per session. */
    void sessionEnded(S session) {
        usedBytes -= SESSION_BYTES;
        mediaRequested(session);
    }

    /** Returns the state of a connection, or null if it is not known. */
    ConnectionState state(C connection) {
        Entry entry = entries.get(connection);
        return entry == null ? null : entry.state;
    }

    /** What to shed: a connection to close or a session to end; the other component is null. */
    record ShedTarget<C, S>(C connection, S session) {}

    /**
     * Selects what to shed next and removes it from the account. Returns null if {@code moreBytes} fit or if nothing
     * may be shed.
     */
    ShedTarget<C, S> shed(long moreBytes) {
        if (usedBytes + moreBytes <= limitBytes) return null;
        if (!byStateAndAge.get(ConnectionState.IDLE).isEmpty())
            return shedConnection(
                    byStateAndAge.get(ConnectionState.IDLE).lastEntry().getValue());
        Map.Entry<Long, C> oldest = byStateAndAge.get(ConnectionState.LONG_HEAD).firstEntry();
        if (oldest != null) return shedConnection(oldest.getValue());
        for (ConnectionState state : STATES_SHED_BY_AGE) {
            Map.Entry<Long, C> first = byStateAndAge.get(state).firstEntry();
            if (first != null && (oldest == null || first.getKey() < oldest.getKey())) oldest = first;
        }
        if (!unfetchedByAge.isEmpty() && (oldest == null || unfetchedByAge.firstKey() < oldest.getKey())) {
            S session = unfetchedByAge.firstEntry().getValue();
            sessionEnded(session);
            sessionsShed++;
            return new ShedTarget<>(null, session);
        }
        return oldest == null ? null : shedConnection(oldest.getValue());
    }

    private ShedTarget<C, S> shedConnection(C connection) {
        closed(connection);
        shed++;
        return new ShedTarget<>(connection, null);
    }

    /** Returns the number of sessions ended to free memory. */
    long sessionsShedCount() {
        return sessionsShed;
    }

    /**
     * Returns whether a request that takes so many more bytes may be admitted; to be called after shedding.
     *
     * @param named whether the viewer sent an identity
     */
    boolean admits(boolean named, long moreBytes) {
        return usedBytes + moreBytes <= (named ? limitBytes : limitBytes * UNNAMED_LIMIT_FRACTION);
    }

    long usedBytes() {
        return usedBytes;
    }

    long limitBytes() {
        return limitBytes;
    }

    /** Returns the number of connections closed to free memory. */
    long connectionsShedCount() {
        return shed;
    }
}
