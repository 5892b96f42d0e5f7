package trestleline.http;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.HashMap;
import java.util.Map;
import trestleline.config.GatewayConfig;

/**
 * Bounds what connections cost: their number, the time to the first request (a head that never ends takes no longer),
 * and the time between requests. Memory: one entry a connection, at most {@code limits.connections}.
 */
final class Connections {
    private final Vertx vertx;
    private final GatewayConfig.Limits limits;
    private final Map<HttpConnection, Long> timers = new HashMap<>();
    private long turnedAway, timedOut;

    Connections(Vertx vertx, GatewayConfig.Limits limits) {
        this.vertx = vertx;
        this.limits = limits;
    }

    void opened(HttpConnection c) {
        if (timers.size() >= limits.connections()) {
            turnedAway++;
            c.close();
            return;
        }
        timers.put(c, arm(c, limits.headMs()));
        c.exceptionHandler(e -> { }); // viewers' connections break all day; the close handler does the rest
        c.closeHandler(v -> {
            Long timer = timers.remove(c);
            if (timer != null) vertx.cancelTimer(timer);
        });
    }

    private long arm(HttpConnection c, double ms) {
        return vertx.setTimer((long) Math.max(1, ms), t -> {
            timedOut++;
            c.close();
        });
    }

    /** A request's head is complete. */
    void busy(HttpConnection c) {
        Long timer = timers.get(c);
        if (timer != null) vertx.cancelTimer(timer);
    }

    /** The answer is complete; the next head must follow in time, however slowly its bytes come. */
    void idle(HttpConnection c) {
        if (timers.containsKey(c)) timers.put(c, arm(c, limits.idleMs()));
    }

    int open() {
        return timers.size();
    }

    long turnedAway() {
        return turnedAway;
    }

    long timedOut() {
        return timedOut;
    }
}
