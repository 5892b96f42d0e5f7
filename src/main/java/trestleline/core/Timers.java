package trestleline.core;

/** Timers on the gateway's event loop. */
public interface Timers {
    /** Runs once, {@code ms} milliseconds from now or a little later, never within this call. */
    void after(double ms, Runnable task);
}
