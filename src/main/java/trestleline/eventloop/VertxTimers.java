package trestleline.eventloop;

import io.vertx.core.Vertx;
import trestleline.core.Timers;

/** The core's timers on a Vert.x event loop. */
public final class VertxTimers implements Timers {
    private final Vertx vertx;

    /** Creates timers that run on the event loop of the caller of {@link #after}. */
    public VertxTimers(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public Timer after(double delayMs, Runnable task) {
        long delay = Math.max(1, (long) Math.ceil(delayMs));
        long id = vertx.setTimer(delay, timer -> task.run());
        return () -> vertx.cancelTimer(id);
    }
}
