package trestleline.daemon;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trestleline.billing.LedgerService;
import trestleline.config.GatewayConfig;
import trestleline.core.AttemptJournal;
import trestleline.core.Counts;
import trestleline.core.Gateway;
import trestleline.core.PreWriteCheck;
import trestleline.core.Timers;
import trestleline.core.WallClock;
import trestleline.discovery.HostListClient;
import trestleline.discovery.ListedHost;
import trestleline.eventloop.VertxTimers;
import trestleline.hosts.HttpHostClient;
import trestleline.http.HttpFront;
import trestleline.ledger.store.LedgerStore;
import trestleline.ledger.store.MvStoreLedger;
import trestleline.placement.Placement;

/** A running gateway: core, HTTP front end, host client and host list client, all on one event loop of its own. */
public final class GatewayNode {
    private static final Logger LOG = LoggerFactory.getLogger(GatewayNode.class);

    /** Opens the store of the ledger. */
    public interface StoreOpener {
        /** Opens the store in {@code file}, creating it if it does not exist. */
        LedgerStore open(Path file) throws IOException;
    }

    private final GatewayConfig config;
    private final StoreOpener storeOpener;
    private final ComponentHooks hooks;
    private final Vertx vertx;
    private final Context eventLoop;
    private Gateway gateway;
    private HttpHostClient hostClient;
    private HttpFront httpFront;
    private HostListClient listClient;
    private LedgerService ledgerKeeper;
    private boolean stopped;

    /** Creates a gateway; {@link #start} starts it. */
    public GatewayNode(GatewayConfig config) {
        this(config, MvStoreLedger::new, ComponentHooks.NONE);
    }

    /** Creates a gateway whose ledger is kept in a store of the caller's; tests use it to inject store failures. */
    public GatewayNode(GatewayConfig config, StoreOpener storeOpener) {
        this(config, storeOpener, ComponentHooks.NONE);
    }

    /** Creates a gateway with hooks between its components. */
    public GatewayNode(GatewayConfig config, ComponentHooks hooks) {
        this(config, MvStoreLedger::new, hooks);
    }

    private GatewayNode(GatewayConfig config, StoreOpener storeOpener, ComponentHooks hooks) {
        this.config = config;
        this.storeOpener = storeOpener;
        this.hooks = hooks;
        vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(2).setInternalBlockingPoolSize(2));
        eventLoop = vertx.getOrCreateContext();
    }

    /** Restores what an earlier process saved, then serves. The result is the port. */
    public Future<Integer> start() {
        Promise<Integer> startedPort = Promise.promise();
        var random = new SecureRandom();
        long seed = random.nextLong();
        String generation = hooks.generation(Long.toString(System.currentTimeMillis(), 36));
        Placement.Settings settings = hooks.settings(config.settings());
        LOG.atInfo()
                .addKeyValue("gateway", config.settings().gatewayIndex())
                .addKeyValue("seed", seed)
                .log("starting");
        eventLoop.runOnContext(v -> vertx.executeBlocking(this::openLedger).onComplete(opened -> {
            if (opened.failed()) {
                startedPort.fail(opened.cause());
                return;
            }
            if (stopped) { // stopped during startup: release the lock on the ledger file
                if (opened.result() != null) opened.result().store().closeWithoutFlush();
                startedPort.fail("gateway stopped during startup");
                return;
            }
            createComponents(settings, seed, generation, opened.result(), random);
            record SavedState(ListedHost.Line hostList, List<HttpFront.HandedOver> sessions) {}
            vertx.executeBlocking(() -> new SavedState(listClient.readSaved(), HandoverFile.takeOver(handoverFile())))
                    .compose(saved -> {
                        listClient.start(saved.hostList());
                        int resumed = 0;
                        for (HttpFront.HandedOver session : saved.sessions()) if (httpFront.resume(session)) resumed++;
                        if (resumed > 0)
                            LOG.atInfo()
                                    .addKeyValue("sessions", resumed)
                                    .log("sessions resumed from the handover file");
                        return (ledgerKeeper == null ? Future.<Void>succeededFuture() : ledgerKeeper.start())
                                .compose(x -> httpFront.start());
                    })
                    .onComplete(startedPort);
        }));
        return startedPort
                .future()
                .onSuccess(p -> LOG.atInfo()
                        .addKeyValue("gateway", config.settings().gatewayIndex())
                        .addKeyValue("port", p)
                        .log("listening"));
    }

    /**
     * Opens the ledger, or returns null if none is configured. Runs on a worker, as disk reads would block the event
     * loop.
     */
    private LedgerFactory.Opened openLedger() throws IOException {
        return config.ledger().enabled() ? LedgerFactory.open(config.ledger(), storeOpener) : null;
    }

    /** Creates the components and connects them; runs on the event loop. */
    private void createComponents(
            Placement.Settings settings,
            long seed,
            String generation,
            LedgerFactory.Opened opened,
            SecureRandom random) {
        var clock = new WallClock();
        Timers timers = hooks.timers(new VertxTimers(vertx));
        hostClient = new HttpHostClient(vertx, settings, config.media().silentMs(), clock);
        listClient = new HostListClient(
                vertx, config, hostClient, hooks.hostListListener(u -> gateway.updateHostList(u)), random.nextLong());
        AttemptJournal journal = AttemptJournal.NONE;
        if (opened != null) {
            ledgerKeeper = LedgerFactory.keeper(
                    vertx, config, opened, hooks, generation, hostClient, clock, random.nextLong());
            journal = ledgerKeeper;
        }
        gateway = new Gateway(
                settings,
                hooks.decisionModule(settings, seed, clock.getAsDouble()),
                hooks.preWriteCheck(PreWriteCheck.DEFAULT),
                generation,
                config.limits().marginMs(),
                clock,
                timers,
                hooks.mediaHosts(hostClient),
                listClient,
                hooks.attemptJournal(journal));
        hostClient.attach(gateway);
        httpFront = new HttpFront(vertx, config, gateway, hostClient, clock);
    }

    /** Returns the handover file, or null if none is configured. */
    private Path handoverFile() {
        return config.handover().isEmpty() ? null : Path.of(config.handover());
    }

    /** Stops admitting sessions; those that play go on. */
    public void drain() {
        eventLoop.runOnContext(v -> httpFront.drain());
    }

    /**
     * Shuts down gracefully: open requests are answered, and playing sessions are handed over if a handover file is
     * configured.
     */
    public Future<Void> stop() {
        Promise<Void> done = Promise.promise();
        eventLoop.runOnContext(v -> {
            stopped = true;
            if (httpFront == null) { // startup did not get that far
                if (gateway != null) gateway.halt();
                new Thread(() -> vertx.close().onComplete(done)).start();
                return;
            }
            httpFront.drain();
            List<HttpFront.HandedOver> sessions = handoverFile() == null ? List.of() : httpFront.handOver();
            vertx.executeBlocking(() -> HandoverFile.write(handoverFile(), sessions))
                    .onComplete(written -> {
                        if (written.failed())
                            LOG.atError()
                                    .setCause(written.cause())
                                    .log("could not write the handover file; sessions are not handed over");
                        listClient.close();
                        if (sessions.isEmpty() || written.failed()) gateway.stop();
                        else gateway.stopKeepingSessions();
                        // closed from another thread: an event loop that closes itself cannot complete the future
                        Future<Void> ledgerStopped =
                                ledgerKeeper == null ? Future.succeededFuture() : ledgerKeeper.stop();
                        ledgerStopped
                                .eventually(() -> httpFront.stop())
                                .onComplete(x -> new Thread(() -> vertx.close().onComplete(done)).start());
                    });
        });
        return done.future();
    }

    /** Ends like a crash: sockets are closed, requests are not answered and sessions are not handed over. */
    public Future<Void> kill() {
        Promise<Void> halted = Promise.promise();
        eventLoop.runOnContext(v -> {
            stopped = true;
            if (gateway != null) gateway.halt();
            if (hostClient != null) hostClient.close();
            if (ledgerKeeper != null) ledgerKeeper.kill();
            halted.complete();
        });
        // closed from another thread: an event loop that closes itself cannot complete the future
        Promise<Void> done = Promise.promise();
        halted.future().onComplete(h -> new Thread(() -> vertx.close().onComplete(done)).start());
        return done.future();
    }

    /**
     * Blocks the event loop, like a long pause of the process; for rehearsals. Completes when the loop runs again.
     *
     * @param ms length of the pause
     */
    public Future<Void> stall(long ms) {
        Promise<Void> resumed = Promise.promise();
        eventLoop.runOnContext(v -> {
            try {
                Thread.sleep(ms);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            resumed.complete();
        });
        return resumed.future();
    }

    /** Returns the counters of the core, read on the event loop. */
    public Future<Counts> counts() {
        Promise<Counts> promise = Promise.promise();
        eventLoop.runOnContext(v -> promise.complete(gateway.counts()));
        return promise.future();
    }

    /** Returns the counters of the ledger, read on the event loop; null if there is no ledger. */
    public Future<LedgerService.Counts> ledger() {
        Promise<LedgerService.Counts> promise = Promise.promise();
        eventLoop.runOnContext(v -> promise.complete(ledgerKeeper == null ? null : ledgerKeeper.counts()));
        return promise.future();
    }

    /** Returns the number of requests and sessions that the front end holds, read on the event loop. */
    public Future<Integer> held() {
        Promise<Integer> promise = Promise.promise();
        eventLoop.runOnContext(v -> promise.complete(httpFront.openSessionsAndRequests()));
        return promise.future();
    }
}
