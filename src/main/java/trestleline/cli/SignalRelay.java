package trestleline.cli;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import trestleline.node.PlatformNode;

/**
 * Passes the signals of the platform to the gateway. Signals that arrive before the gateway exists are kept and passed
 * on once it is attached. They arrive on threads of their own, several at a time.
 */
final class SignalRelay {
    private final Path file;
    private final CountDownLatch stopped = new CountDownLatch(1);
    private PlatformNode node;
    private boolean reloadPending;
    private boolean stopPending;

    SignalRelay(Path file) {
        this.file = file;
    }

    /**
     * Asks for the settings to be read again. Startup may have read older settings than these, so a request made before
     * the gateway exists is repeated once it is attached.
     */
    void reload() {
        PlatformNode target;
        synchronized (this) {
            reloadPending = node == null;
            target = node;
        }
        if (target != null) target.reload(file);
    }

    /** Asks for a graceful shutdown. */
    void stop() {
        PlatformNode target;
        synchronized (this) {
            stopPending = true;
            target = node;
        }
        if (target != null) target.stop().onComplete(x -> stopped.countDown());
    }

    /** Sets the gateway, before it is started, and passes on what was asked for earlier. */
    void attach(PlatformNode gateway) {
        boolean pendingReload;
        boolean pendingStop;
        synchronized (this) {
            node = gateway;
            pendingReload = reloadPending;
            pendingStop = stopPending;
        }
        if (pendingReload) gateway.reload(file);
        if (pendingStop) gateway.stop().onComplete(x -> stopped.countDown());
    }

    /** Returns whether a shutdown was asked for. */
    synchronized boolean stopRequested() {
        return stopPending;
    }

    /** Waits up to {@code seconds} for the gateway to stop; returns whether it has. */
    boolean stopped(int seconds) throws InterruptedException {
        return stopped.await(seconds, TimeUnit.SECONDS);
    }
}
