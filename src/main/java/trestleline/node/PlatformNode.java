package trestleline.node;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trestleline.core.AttemptJournal;
import trestleline.core.Gateway;
import trestleline.core.WallClock;
import trestleline.discovery.ListedHost;
import trestleline.discovery.LoopbackAddress;
import trestleline.eventloop.VertxTimers;
import trestleline.feed.FeedClient;
import trestleline.feed.FeedParser;
import trestleline.placement.Placement;
import trestleline.rtsp.RtspHostClient;
import trestleline.settings.InvalidInputException;
import trestleline.signaling.SignalingServer;

/**
 * One gateway on the platform: core, viewer front end, host clients and control feed on one event loop, without disk or
 * ledger.
 */
public final class PlatformNode {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformNode.class);
    /** Subtracted from each deadline (ms), so that the answer reaches the viewer in time. */
    private static final double DEADLINE_MARGIN_MS = 25;
    /**
     * New set-ups keep arriving for less than this time (ms) after the request to stop, and are answered with a
     * refusal. The platform kills the process no earlier than this time plus the longest deadline of any class.
     */
    private static final double STOP_GRACE_MS = 700;

    /** Part of the longest deadline (ms) that the platform counts at most. */
    private static final double MAX_COUNTED_DEADLINE_MS = 3000;

    /** Reserve (ms) between the planned end of the shutdown and the time at which the platform may kill the process. */
    private static final double STOP_RESERVE_MS = 450;

    private static final int STOP_CHECK_INTERVAL_MS = 50;

    private final NodeConfig config;
    private final Vertx vertx;
    private final Context loop;
    private final DoubleSupplier clock = new WallClock();
    private Gateway gateway;
    private RtspHostClient hosts;
    private SignalingServer front;
    private FeedClient feed;
    /** Address of the control feed, from the latest configuration. */
    private LoopbackAddress feedAddress;

    private boolean stopping;

    /** Creates the gateway and its event loop without starting it. */
    public PlatformNode(NodeConfig config) {
        this.config = config;
        feedAddress = config.feedAddress();
        vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        loop = vertx.getOrCreateContext();
    }

    /**
     * Starts to serve; completes with the port. Fails with {@code IllegalArgumentException} if the placement module
     * rejects the settings, with {@code IllegalStateException} if {@link #stop} was called before, and with an I/O
     * error if the port cannot be opened.
     */
    public Future<Integer> start() {
        Promise<Integer> port = Promise.promise();
        loop.runOnContext(v -> {
            if (stopping) {
                port.fail(new IllegalStateException("stopped before it was started"));
                return;
            }
            try {
                createComponents();
            } catch (RuntimeException e) {
                port.fail(e);
                return;
            }
            front.start(config.listenAddress().ip(), config.listenAddress().port())
                    .onComplete(port);
        });
        return port.future();
    }

    private void createComponents() {
        Placement.Settings settings = config.settings();
        hosts = new RtspHostClient(vertx, settings, config.hostIdleTimeoutMs(), config.maxHostConnections(), clock);
        feed = new FeedClient(
                vertx,
                config.feedParser(),
                this::updateHosts,
                update -> gateway.updateHostList(update),
                clock,
                config.seed() ^ 0x5eed);
        gateway = new Gateway(
                settings,
                config.seed(),
                Long.toString(System.currentTimeMillis(), 36),
                DEADLINE_MARGIN_MS,
                clock,
                new VertxTimers(vertx),
                hosts,
                feed,
                AttemptJournal.NONE);
        hosts.attach(gateway);
        front = new SignalingServer(
                vertx, settings, gateway, config.maxViewerConnections(), config.maxOpenSetUps(), clock);
        feed.start(config.initialEvents(), feedAddress);
    }

    /** Applies a change to the host clients before the placement module sees it and may send to a new host. */
    private void updateHosts(FeedParser.Change change) {
        Set<String> listedHosts = new HashSet<>();
        for (ListedHost listed : change.hosts()) {
            listedHosts.add(listed.entry().host());
            if (listed.entry().status().equals("Deleted"))
                hosts.markDelisted(listed.entry().host());
            else
                hosts.addHost(
                        listed.entry().host(),
                        listed.ip(),
                        listed.port(),
                        listed.entry().status().equals("Running"),
                        listed.entry().startedAt());
        }
        if (change.mode().equals("whole")) {
            for (String host : hosts.hostNames()) if (!listedHosts.contains(host)) hosts.markDelisted(host);
        }
    }

    /**
     * Reads the configuration again, on the caller's thread, and switches to the feed address that it names; an invalid
     * file changes nothing. Synchronized, because of two concurrent reloads the one that read the older file could
     * otherwise finish last.
     */
    public synchronized void reload(Path file) {
        try {
            switchFeed(NodeConfig.feedAddress(file));
        } catch (InvalidInputException e) {
            LOG.atError()
                    .addKeyValue("fault", e.getMessage())
                    .log("new settings cannot be used; keeping the current ones");
        }
    }

    /** Switches to the feed at another address; may be called before {@link #start}. */
    public void switchFeed(LoopbackAddress address) {
        loop.runOnContext(v -> {
            feedAddress = address;
            if (feed != null) feed.switchAddress(address);
        });
    }

    /**
     * Shuts down gracefully: new set-ups are refused and open ones answered. Sessions are ended on both sides, spread
     * over the remaining time: hundreds of viewers that reconnect at once would slow the other gateways down, and
     * sessions that keep playing meanwhile lose nothing, as the next process does not start earlier. Completes at once
     * if the gateway was not started, as it has accepted nothing.
     */
    public Future<Void> stop() {
        Promise<Void> done = Promise.promise();
        loop.runOnContext(v -> {
            if (stopping) return;
            stopping = true;
            if (front == null) {
                done.complete();
                return;
            }
            front.drain();
            double startedAt = clock.getAsDouble();
            double maxDuration = STOP_GRACE_MS + MAX_COUNTED_DEADLINE_MS - STOP_RESERVE_MS;
            double longestDeadline = 0;
            for (Placement.RequestClass requestClass : config.settings().classes())
                longestDeadline = Math.max(longestDeadline, requestClass.deadline());
            double duration =
                    Math.max(STOP_GRACE_MS, Math.min(maxDuration, STOP_GRACE_MS + longestDeadline - STOP_RESERVE_MS));
            vertx.setPeriodic(STOP_CHECK_INTERVAL_MS, timer -> {
                double elapsed = clock.getAsDouble() - startedAt;
                // While the loop lags, set-ups that arrived within the grace period may still be unread in the socket.
                if (elapsed < STOP_GRACE_MS
                        || elapsed < duration && (front.activeCount() > 0 || gateway.loopLag() > 0)) {
                    if (elapsed >= STOP_GRACE_MS)
                        front.endOldestSessions(
                                (int) Math.ceil(front.activeCount() * STOP_CHECK_INTERVAL_MS / (duration - elapsed)));
                    return;
                }
                vertx.cancelTimer(timer);
                LOG.atInfo().addKeyValue("held", front.activeCount()).log("ending");
                feed.close();
                gateway.stop();
                // Pending writes are flushed in the next iterations of the event loop.
                front.stop()
                        .onComplete(stopped -> vertx.setTimer(2 * STOP_CHECK_INTERVAL_MS, timerId -> {
                            hosts.close();
                            done.complete();
                        }));
            });
        });
        return done.future();
    }

    /** One-line summary of the counters for the log, read on the event loop. */
    public Future<String> summary() {
        Promise<String> summary = Promise.promise();
        loop.runOnContext(v -> summary.complete(gateway.counts() + " viewers " + front.connections() + " turned away "
                + front.rejectionCounts() + " hosts " + hosts.stateSummary() + " feed " + feed.disconnects()));
        return summary.future();
    }

    /** Number of requests and sessions that the front end holds, read on the event loop. */
    public Future<Integer> heldCount() {
        Promise<Integer> count = Promise.promise();
        loop.runOnContext(v -> count.complete(front.activeCount()));
        return count.future();
    }

    /** Blocks the event loop, as a preempted CPU does; for tests. Completes when the loop is blocked. */
    public Future<Void> blockEventLoop(long durationMs) {
        Promise<Void> blocked = Promise.promise();
        loop.runOnContext(v -> {
            blocked.complete();
            try {
                Thread.sleep(durationMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        return blocked.future();
    }

    /** Closes everything at once, as a killed process would; for tests. */
    public Future<Void> kill() {
        Promise<Void> halted = Promise.promise();
        loop.runOnContext(v -> {
            if (gateway != null) gateway.halt();
            if (hosts != null) hosts.close();
            if (feed != null) feed.close();
            halted.complete();
        });
        Promise<Void> done = Promise.promise();
        halted.future().onComplete(result -> new Thread(() -> vertx.close().onComplete(done)).start());
        return done.future();
    }
}
