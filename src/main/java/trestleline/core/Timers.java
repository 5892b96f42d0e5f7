package trestleline.core;

/** Timers on the gateway's event loop. */
public interface Timers {
    /**
     * Runs a task once.
     *
     * @param delayMs delay in milliseconds; the task may run a little later, and never within this call
     * @param task the task; it is kept until it has run or the timer is cancelled
     * @return the timer, to be cancelled when what it watches is over: a delay may be stated by a peer
     */
    Timer after(double delayMs, Runnable task);

    /** A timer that was started. */
    interface Timer {
        /** Stops the timer and releases its task. Does nothing if the timer has fired or was cancelled. */
        void cancel();
    }
}
