package trestleline.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import trestleline.config.GatewayConfig;

/**
 * Limits what viewers' connections may use: their number, their memory ({@link MemoryBudget}), the time to the first
 * complete request head, the time between requests, and the requests queued on one connection. Its own memory is one
 * entry per connection, at most {@code limits.connections}.
 *
 * @param <S> sessions
 */
final class Connections<S> {
    /** Requests that may be pending on one connection, including the one being handled. */
    private static final int MAX_PENDING_REQUESTS = 4;
    /** Bytes of one socket read at most: what is read at once is also decoded at once. */
    private static final int MAX_READ_BYTES = 4096;
    /** Bytes of the shortest field of a head: name, colon and line end. */
    private static final int MIN_FIELD_BYTES = 4;
    /**
     * Bytes by which the account may exceed the limit while one read is processed: memory is freed only after it,
     * because a request that is answered right away needs none.
     */
    static final long OVERSHOOT_BYTES = MemoryBudget.HEAD_MEMORY_FACTOR * (long) MAX_READ_BYTES
            + MemoryBudget.FIELD_BYTES * (MAX_READ_BYTES / MIN_FIELD_BYTES)
            + MemoryBudget.REQUEST_BYTES;

    /** A timeout that fires later than this (ms) was delayed by the event loop and is extended instead. */
    private static final double MAX_TIMER_DELAY_MS = 50;

    private static final double TIMEOUT_EXTENSION_MS = 250;

    private final Vertx vertx;
    private final DoubleSupplier clock;
    private final GatewayConfig.Limits limits;
    private final MemoryBudget<HttpConnection, S> budget;
    private final Consumer<S> sessionShedder;
    private final Map<HttpConnection, Long> timers = new HashMap<>();
    private long turnedAway;
    private long timedOut;
    private long queueOverflows;

    /** @param sessionShedder ends a session to free memory */
    Connections(Vertx vertx, GatewayConfig.Limits limits, DoubleSupplier clock, Consumer<S> sessionShedder) {
        this.sessionShedder = sessionShedder;
        this.clock = clock;
        this.vertx = vertx;
        this.limits = limits;
        budget = new MemoryBudget<>(limits.memory());
    }

    void opened(HttpConnection connection) {
        if (timers.size() >= limits.connections()) {
            turnedAway++;
            closeNow(connection);
            return;
        }
        Channel channel = ((ConnectionBase) connection).channel();
        channel.config().setRecvByteBufAllocator(new AdaptiveRecvByteBufAllocator(256, 1024, MAX_READ_BYTES));
        // Memory is freed after the bytes were processed: a head that is complete by then counts as a request and not
        // as an unfinished head.
        channel.pipeline()
                .addFirst(new ChannelHandlers.ReadMeter(
                        (bytes, lines) -> budget.headBytesRead(connection, bytes, lines), () -> freeMemory(0)));
        channel.pipeline()
                .addBefore(
                        "handler",
                        "queue",
                        new ChannelHandlers.PipeliningLimit(MAX_PENDING_REQUESTS, () -> queueOverflows++));
        timers.put(connection, startTimeout(connection, limits.headMs()));
        budget.opened(connection);
        connection.exceptionHandler(e -> {}); // broken connections are normal; the close handler cleans up
        connection.closeHandler(v -> {
            budget.closed(connection);
            Long timer = timers.remove(connection);
            if (timer != null) vertx.cancelTimer(timer);
        });
        freeMemory(0);
    }

    /** Sheds connections and sessions until so many more bytes fit or nothing is left to shed. */
    private void freeMemory(long moreBytes) {
        for (MemoryBudget.ShedTarget<HttpConnection, S> target = budget.shed(moreBytes);
                target != null;
                target = budget.shed(moreBytes)) {
            if (target.connection() != null) closeNow(target.connection());
            else sessionShedder.accept(target.session());
        }
    }

    /** Closes the channel directly: an orderly close would wait for a peer that may never read. */
    private static void closeNow(HttpConnection connection) {
        ((ConnectionBase) connection).channel().close();
    }

    private long startTimeout(HttpConnection connection, double timeoutMs) {
        double dueMs = clock.getAsDouble() + timeoutMs;
        return vertx.setTimer((long) Math.max(1, timeoutMs), t -> {
            if (clock.getAsDouble() - dueMs > MAX_TIMER_DELAY_MS) {
                // After a stall of the event loop, this timer runs before the bytes that arrived meanwhile are read.
                timers.put(connection, startTimeout(connection, TIMEOUT_EXTENSION_MS));
                return;
            }
            timedOut++;
            closeNow(connection);
        });
    }

    /** A request head is complete. */
    void requestReceived(HttpConnection connection) {
        Long timer = timers.get(connection);
        if (timer != null) vertx.cancelTimer(timer);
        budget.requestReceived(connection);
    }

    /** A session's playlist is sent on the connection. */
    void playlistSent(HttpConnection connection) {
        if (budget.state(connection) != MemoryBudget.ConnectionState.PLAYING)
            budget.setState(connection, MemoryBudget.ConnectionState.GRANTED, 0);
    }

    /** A segment or live playlist of a session is requested on the connection. */
    void mediaRequested(HttpConnection connection, S session) {
        budget.mediaRequested(session);
        budget.setState(connection, MemoryBudget.ConnectionState.PLAYING, MemoryBudget.TRANSFER_BYTES);
        freeMemory(0);
    }

    /** A response is complete; the next request head must be complete in time, however slowly its bytes arrive. */
    void responseSent(HttpConnection connection) {
        if (!timers.containsKey(connection)) return;
        timers.put(connection, startTimeout(connection, limits.idleMs()));
        MemoryBudget.ConnectionState state = budget.state(connection);
        boolean keepsState =
                state == MemoryBudget.ConnectionState.PLAYING || state == MemoryBudget.ConnectionState.GRANTED;
        budget.setState(connection, keepsState ? state : MemoryBudget.ConnectionState.IDLE, 0);
    }

    /** Returns whether a session may be requested, after shedding what may be shed to make it fit. */
    boolean admitsSession(boolean named) {
        freeMemory(MemoryBudget.SESSION_BYTES);
        return budget.admits(named, MemoryBudget.SESSION_BYTES);
    }

    /** A session starts. */
    void sessionStarted(S session) {
        budget.sessionStarted(session);
    }

    /** A session ended; must be called once per session, and not for one that was shed. */
    void sessionEnded(S session) {
        budget.sessionEnded(session);
    }

    MemoryBudget<HttpConnection, S> budget() {
        return budget;
    }

    int openCount() {
        return timers.size();
    }

    /** Returns the number of connections closed at once because the limit of connections was reached. */
    long turnedAway() {
        return turnedAway;
    }

    /** Returns the number of connections closed because no complete request head came in time. */
    long timedOut() {
        return timedOut;
    }

    /** Returns the number of connections closed because too many requests were pending on them. */
    long queueOverflows() {
        return queueOverflows;
    }
}
