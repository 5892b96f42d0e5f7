package trestleline.signaling;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Serves the connections that have something to process in turn, in passes of bounded length: whatever one connection
 * sends, each other one waits for one turn of every connection before it at most. Free of I/O.
 *
 * @param <C> connections
 */
final class ReadyConnections<C> {
    /** Messages of one connection per turn at most. */
    static final int MAX_MESSAGES_PER_TURN = 128;
    /** Messages that one turn of all connections should not exceed by much. */
    private static final int MESSAGES_PER_ROUND = 256;
    /**
     * Length of a pass, ms, after which the event loop reads its sockets and runs its timers. Well below the lateness
     * at which the core puts off requests.
     */
    static final double MAX_PASS_MS = 20;

    /** Processes some messages of a connection. */
    interface Turn<C> {
        /** Processes up to {@code messages} messages; returns whether the connection needs another turn. */
        boolean run(C connection, int messages);
    }

    private final DoubleSupplier clock;
    private final Turn<C> turn;
    private final ArrayDeque<C> waiting = new ArrayDeque<>();
    private final Set<C> members = new LinkedHashSet<>();

    /**
     * @param clock current time in ms
     * @param turn processes a connection's messages
     */
    ReadyConnections(DoubleSupplier clock, Turn<C> turn) {
        this.clock = clock;
        this.turn = turn;
    }

    /** Appends a connection unless it is waiting already. */
    void add(C connection) {
        if (members.add(connection)) waiting.addLast(connection);
    }

    /** Whether a connection waits for a turn. */
    boolean contains(C connection) {
        return members.contains(connection);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Gives each connection that waits now one turn, the longest waiting first, until the pass has lasted too long. */
    void runPass() {
        double startedAt = clock.getAsDouble();
        int messages = Math.max(1, Math.min(MAX_MESSAGES_PER_TURN, MESSAGES_PER_ROUND / Math.max(1, waiting.size())));
        for (int remaining = waiting.size(); remaining > 0; remaining--) {
            C connection = waiting.pollFirst();
            members.remove(connection);
            if (turn.run(connection, messages)) add(connection);
            if (clock.getAsDouble() - startedAt > MAX_PASS_MS) return;
        }
    }
}
