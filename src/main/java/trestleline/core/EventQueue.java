package trestleline.core;

import java.util.ArrayDeque;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Queue of a gateway's tasks, run in order of arrival while the event loop keeps time.
 *
 * <p>After a stall of the loop (a suspended process, a long garbage collection) all timers are due at once and would
 * run before the host responses and list changes that lie unread in the sockets: set-ups would go to hosts that have
 * long been listed as gone, and hosts that answered in time would be blamed for a timeout. While the loop is late, only
 * tasks that stem from the host list and from hosts are run; all others are deferred until the sockets have been read
 * once more. The size is bounded by the live requests, their attempts and their timers.
 */
final class EventQueue {
    private static final Logger LOG = LoggerFactory.getLogger(EventQueue.class);
    /** Interval between heartbeats of the event loop, ms. */
    static final double HEARTBEAT_INTERVAL_MS = 20;
    /** The loop counts as stalled if its last heartbeat is longer ago than this (ms). Well below any drain grace. */
    static final double STALL_THRESHOLD_MS = 100;

    /** Where a task stems from, which decides whether it runs while the loop is late. */
    enum Priority {
        /** A change of the host list; runs at once. */
        HOST_LIST,
        /** A response or notification of a host, or the end or takeover of a session; runs at once. */
        HOST_RESPONSE,
        /** Anything else; deferred while the loop is late. */
        DEFERRABLE
    }

    private final DoubleSupplier clock;
    private final ArrayDeque<Runnable> urgentTasks = new ArrayDeque<>();
    private final ArrayDeque<Runnable> deferrableTasks = new ArrayDeque<>();
    private double lastHeartbeatMs;
    private boolean running;
    private boolean lateHeartbeatSkipped;
    private long stallCount;

    EventQueue(DoubleSupplier clock) {
        this.clock = clock;
        lastHeartbeatMs = clock.getAsDouble();
    }

    /** Returns how long (ms) an input that is read now may have waited unread, or 0 while the loop keeps time. */
    double lagMs() {
        double elapsedMs = clock.getAsDouble() - lastHeartbeatMs;
        return elapsedMs > STALL_THRESHOLD_MS ? elapsedMs : 0;
    }

    /** Returns the number of stalls of the loop so far. */
    long stallCount() {
        return stallCount;
    }

    /** Adds a task and runs all that may run now, unless called by a running task. */
    void submit(Priority priority, Runnable task) {
        (priority == Priority.DEFERRABLE ? deferrableTasks : urgentTasks).addLast(task);
        runPending();
    }

    /**
     * Records a heartbeat of the event loop and runs deferred tasks. The first heartbeat that finds the loop late is
     * not counted: it may have been due before the stall and run right after it, before any socket was read.
     *
     * @return time (ms) until the next heartbeat
     */
    double heartbeat() {
        if (lagMs() > 0 && !lateHeartbeatSkipped) {
            lateHeartbeatSkipped = true;
            stallCount++;
            return 1;
        }
        lateHeartbeatSkipped = false;
        lastHeartbeatMs = clock.getAsDouble();
        runPending();
        return HEARTBEAT_INTERVAL_MS;
    }

    private void runPending() {
        if (running) return;
        running = true;
        try {
            while (true) {
                Runnable next = urgentTasks.pollFirst();
                if (next == null && lagMs() == 0) next = deferrableTasks.pollFirst();
                if (next == null) return;
                run(next);
            }
        } finally {
            running = false;
        }
    }

    /** Runs a task; its exception ends neither the tasks behind it nor the heartbeat that may have called it. */
    private static void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException exception) {
            LOG.atError().setCause(exception).log("a task of the event queue threw an exception");
        }
    }
}
