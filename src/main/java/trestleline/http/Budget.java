package trestleline.http;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * What viewers make this front hold, in bytes against one limit, and who goes when it is exceeded (docs/operators.md). Free
 * of I/O and clock; a connection is whatever the caller names it by. Its own memory: one entry a connection.
 *
 * <p>Order: idle connections, the newest first; heads that don't end, the oldest first, as a rightful one ends within
 * moments; connections that have said nothing yet, the oldest first. Requests already taken are never shed, as each is owed
 * its one answer: those without a name are no longer admitted from three quarters of the limit on, named ones from all of
 * it. What plays is kept.
 */
final class Budget<C> {
    /** How a connection stands. */
    enum Standing {
        /** Accepted, nothing read yet. */
        FRESH,
        /** In the middle of a head. */
        HEAD,
        /** Between requests. */
        IDLE,
        /** A request is under way on it. */
        BUSY,
        /** Fetches a session's media. */
        PLAYING
    }

    /** Bytes that a connection costs by itself: library objects, timers, buffers. Measured (docs/measured.md), rounded up. */
    static final long CONNECTION = 12_000;
    /** Bytes that a request held costs besides its head. */
    static final long REQUEST = 4_000;
    /** Bytes that a session costs, module and core included. */
    static final long SESSION = 5_000;
    /** Bytes that a piece of media under way may lie in buffers of both sides. */
    static final long PIECE = 48_000;
    /** What a byte of a head comes to once it is read into names and values. */
    static final int HEAD_FACTOR = 4;
    private static final double UNNAMED = 0.75;

    private final long limit;
    private final Map<C, Place> places = new HashMap<>();
    private final Map<Standing, TreeMap<Long, C>> order = new EnumMap<>(Standing.class);
    private long used, opened, shed;

    private static final class Place {
        final long number;
        Standing standing = Standing.FRESH;
        long bytes = CONNECTION;

        Place(long number) {
            this.number = number;
        }
    }

    Budget(long limit) {
        this.limit = limit;
        for (Standing s : Standing.values()) order.put(s, new TreeMap<>());
    }

    void opened(C c) {
        Place p = new Place(opened++);
        places.put(c, p);
        order.get(p.standing).put(p.number, c);
        used += p.bytes;
    }

    void closed(C c) {
        Place p = places.remove(c);
        if (p == null) return;
        order.get(p.standing).remove(p.number);
        used -= p.bytes;
    }

    /** From now on it stands so, and holds so many bytes beyond what a connection costs. */
    void stands(C c, Standing standing, long bytes) {
        Place p = places.get(c);
        if (p == null) return;
        order.get(p.standing).remove(p.number);
        p.standing = standing;
        order.get(standing).put(p.number, c);
        used += CONNECTION + bytes - p.bytes;
        p.bytes = CONNECTION + bytes;
    }

    /** Bytes of a head were read from it; a connection at work is told by its request. */
    void read(C c, long bytes) {
        Place p = places.get(c);
        if (p == null || p.standing == Standing.BUSY || p.standing == Standing.PLAYING) return;
        long before = p.standing == Standing.HEAD ? p.bytes - CONNECTION : 0;
        stands(c, Standing.HEAD, before + bytes * HEAD_FACTOR);
    }

    /** The head that was read is whole: a request is under way. What plays stays what plays. */
    void taken(C c) {
        Place p = places.get(c);
        if (p == null || p.standing == Standing.PLAYING) return;
        stands(c, Standing.BUSY, REQUEST + (p.standing == Standing.HEAD ? p.bytes - CONNECTION : 0));
    }

    /** A session begins or ends. */
    void session(int by) {
        used += by * SESSION;
    }

    Standing standing(C c) {
        Place p = places.get(c);
        return p == null ? null : p.standing;
    }

    /** The next connection to close, or null when there is room for {@code more} bytes or none may go. */
    C shed(long more) {
        if (used + more <= limit) return null;
        C next = null;
        if (!order.get(Standing.IDLE).isEmpty()) next = order.get(Standing.IDLE).lastEntry().getValue();
        else if (!order.get(Standing.HEAD).isEmpty()) next = order.get(Standing.HEAD).firstEntry().getValue();
        else if (!order.get(Standing.FRESH).isEmpty()) next = order.get(Standing.FRESH).firstEntry().getValue();
        if (next == null) return null;
        closed(next);
        shed++;
        return next;
    }

    /** Whether a request may be taken that makes the front hold so much more; asked after shedding. */
    boolean admits(boolean named, long more) {
        return used + more <= (named ? limit : limit * UNNAMED);
    }

    long used() {
        return used;
    }

    long limit() {
        return limit;
    }

    /** Connections closed to make room. */
    long shedSoFar() {
        return shed;
    }
}
