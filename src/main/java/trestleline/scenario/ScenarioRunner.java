package trestleline.scenario;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import trestleline.conformance.ConformanceChecker;
import trestleline.conformance.RuleLimits;
import trestleline.conformance.TrafficEvent;
import trestleline.conformance.Verdict;
import trestleline.core.WallClock;
import trestleline.daemon.ComponentHooks;
import trestleline.emulation.BillingServer;
import trestleline.emulation.MediaHost;
import trestleline.emulation.Trace;
import trestleline.ledger.SealingKeys;
import trestleline.placement.Placement;

/**
 * Runs a scenario through real gateways on loopback sockets and checks the placement rules against what the emulated
 * hosts and players observed.
 */
public final class ScenarioRunner {
    /** Tolerance (ms) between two peers' views of one gateway: their event loops share the machine with all else. */
    private static final double OBSERVATION_SLACK_MS = 150;
    /** Time (s) allowed after the last viewer until billing is complete: receipts are polled with growing intervals. */
    private static final int LEDGER_WAIT_S = 40;
    /** Heartbeat period (ms) of the peers' event loop; a gap above three periods counts as a stall. */
    private static final int HEARTBEAT_MS = 10;

    private final Scenario scenario;
    private final boolean separateProcesses;
    private final Consumer<String> progress;
    private final Supplier<ComponentHooks> seams;

    /**
     * Creates a runner.
     *
     * @param separateProcesses whether each gateway runs in a child process
     * @param progress receives progress lines, possibly on another thread
     */
    public ScenarioRunner(Scenario scenario, boolean separateProcesses, Consumer<String> progress) {
        this(scenario, separateProcesses, progress, () -> ComponentHooks.NONE);
    }

    /** Creates a runner of in-process gateways that get the supplied seams between their parts at each start. */
    public ScenarioRunner(Scenario scenario, Consumer<String> progress, Supplier<ComponentHooks> seams) {
        this(scenario, false, progress, seams);
    }

    private ScenarioRunner(
            Scenario scenario, boolean separateProcesses, Consumer<String> progress, Supplier<ComponentHooks> seams) {
        this.scenario = scenario;
        this.separateProcesses = separateProcesses;
        this.progress = progress;
        this.seams = seams;
    }

    /** Returns the figures of the placement rules that the settings define. */
    public static RuleLimits ruleFigures(Placement.Settings settings) {
        Map<String, RuleLimits.ClassLimits> classes = new HashMap<>();
        for (Placement.RequestClass requestClass : settings.classes()) {
            RuleLimits.RetryPolicy repeat =
                    switch (requestClass.effect()) {
                        case PURE -> RuleLimits.RetryPolicy.FREELY;
                        case TOKEN -> RuleLimits.RetryPolicy.WITHIN_WINDOW;
                        case SIDE_EFFECT -> RuleLimits.RetryPolicy.NEVER;
                    };
            classes.put(
                    requestClass.name(),
                    new RuleLimits.ClassLimits(
                            repeat,
                            requestClass.dedupWindow(),
                            requestClass.minRung(),
                            requestClass.maxSessionsPerTitle()));
        }
        Placement.Rules rules = settings.rules();
        return new RuleLimits(
                classes,
                rules.graceToAnswer(),
                rules.drainGrace(),
                rules.coldShare(),
                rules.warmUp(),
                rules.overloadFactor(),
                rules.overloadWindow(),
                rules.freeRetries(),
                rules.retryShare(),
                rules.retryWindow(),
                OBSERVATION_SLACK_MS);
    }

    /**
     * Runs the scenario to its end. Blocks for its duration and until the last viewers finish: at most the longest
     * title and 20 s more, then the wait for the ledger.
     */
    public Report run() throws IOException, InterruptedException, ExecutionException, TimeoutException {
        Path workDir = Files.createTempDirectory("trestleline-day");
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(8));
        var clock = new WallClock();
        var trace = new Trace();
        List<GatewayHandle> gateways = new ArrayList<>();
        try {
            Fleet fleet = new Fleet(scenario, vertx, trace, clock);
            await(fleet.start(), 30);
            BillingServer billing = null;
            if (scenario.ledgerEnabled()) {
                billing = new BillingServer(vertx, scenario.seed() * 31 + 3);
                await(billing.start(), 10);
                Files.writeString(workDir.resolve("keys"), ledgerKeyText(scenario));
            }
            for (int gateway = 0; gateway < scenario.gatewayCount(); gateway++) {
                String listUrl = fleet.feed().url(Integer.toString(gateway));
                String savedListFile = workDir.resolve("list-" + gateway).toString();
                int gatewayIndex = gateway;
                Map<String, String> ledgerSettings = billing == null
                        ? Map.of()
                        : Map.of(
                                "file",
                                ledgerFile(workDir, gateway).toString(),
                                "keys",
                                workDir.resolve("keys").toString(),
                                "desk",
                                billing.url());
                gateways.add(
                        separateProcesses
                                ? new ChildProcessGateway(
                                        vertx,
                                        workDir,
                                        gatewayIndex,
                                        port -> scenario.gatewayJson(
                                                gatewayIndex, port, listUrl, savedListFile, ledgerSettings))
                                : new InProcessGateway(
                                        port -> scenario.gatewayConfig(
                                                gatewayIndex, port, listUrl, savedListFile, ledgerSettings),
                                        seams));
            }
            await(Future.all(gateways.stream().map(GatewayHandle::start).toList()), 120);
            progress.accept(String.format(
                    Locale.ROOT,
                    "%s: %d hosts, %d gateways%s, seed %d",
                    scenario.name(),
                    fleet.hosts().size(),
                    scenario.gatewayCount(),
                    separateProcesses ? " in separate processes" : "",
                    scenario.seed()));
            double startMs = clock.getAsDouble();
            for (int gateway = 0; gateway < scenario.gatewayCount(); gateway++)
                trace.add(new TrafficEvent.GatewayUp(startMs, Integer.toString(gateway)));
            var viewers = new ViewerGenerator(vertx, scenario, gateways, trace, clock, scenario.seed() * 31 + 1);
            var troubles = new TroubleInjector(
                    vertx,
                    fleet,
                    gateways,
                    trace,
                    viewers,
                    this::reportProgress,
                    billing,
                    workDir,
                    scenario.seed() * 31 + 2);
            recordLoopStalls(vertx, clock, trace);
            vertx.runOnContext(ignored -> {
                fleet.feed().delayMs(scenario.listDelay().announcedMs());
                viewers.start();
                troubles.scheduleAll(scenario.troubles());
            });
            double longestTitleS = scenario.gatewayTemplate().titles().values().stream()
                    .mapToDouble(title -> title.seconds())
                    .max()
                    .orElse(0);
            double arrivalsEndMs = startMs + scenario.durationS() * 1000;
            double deadlineMs = arrivalsEndMs + longestTitleS * 1000 + 20_000;
            boolean arrivalsStopped = false;
            double nextProgressMs = startMs + 5000;
            while (clock.getAsDouble() < deadlineMs && !(arrivalsStopped && viewers.activePlayers() == 0)) {
                Thread.sleep(50);
                double nowMs = clock.getAsDouble();
                if (!arrivalsStopped && nowMs >= arrivalsEndMs) {
                    arrivalsStopped = true;
                    vertx.runOnContext(ignored -> viewers.stopArrivals());
                }
                if (nowMs < nextProgressMs) continue;
                nextProgressMs += 5000;
                reportProgress(String.format(
                        Locale.ROOT,
                        "%3.0f s: %d viewers, %d active",
                        (nowMs - startMs) / 1000,
                        viewers.totals().viewers,
                        viewers.activePlayers()));
            }
            double endMs = clock.getAsDouble();
            Promise<Integer> activeAtEnd = Promise.promise();
            vertx.runOnContext(ignored -> {
                activeAtEnd.complete(viewers.activePlayers());
                viewers.addUnfinished();
            });
            int unfinishedViewers = await(activeAtEnd.future(), 10);
            List<TrafficEvent> observations = trace.events();
            Verdict verdict = ConformanceChecker.verdict(
                    ruleFigures(scenario.gatewayTemplate().settings()), observations, endMs);
            // After a broken rule the ledger may never be complete: an overloaded host that went down gives no
            // receipts.
            LedgerComparison ledger = billing == null
                    ? null
                    : awaitLedger(
                            vertx, fleet, billing, !verdict.violatedRules().isEmpty());
            return buildReport(
                    observations, verdict, viewers, fleet, (arrivalsEndMs - startMs) / 1000, unfinishedViewers, ledger);
        } finally {
            for (GatewayHandle gateway : gateways) awaitQuietly(gateway.stop());
            awaitQuietly(vertx.close());
            deleteTree(workDir);
        }
    }

    /** Records stalls of the peers' own event loop, since their observations are late then. */
    private static void recordLoopStalls(Vertx vertx, WallClock clock, Trace trace) {
        double[] lastTickMs = {clock.getAsDouble()};
        vertx.setPeriodic(HEARTBEAT_MS, timer -> {
            double nowMs = clock.getAsDouble();
            if (nowMs - lastTickMs[0] > 3 * HEARTBEAT_MS)
                trace.add(new TrafficEvent.ObserverStalled(lastTickMs[0], nowMs));
            lastTickMs[0] = nowMs;
        });
    }

    private static String ledgerKeyText(Scenario scenario) {
        return "day " + HexFormat.of().toHexDigits(scenario.seed()).repeat(2) + "\n";
    }

    private static SealingKeys ledgerKeys(Scenario scenario) {
        return SealingKeys.parse(ledgerKeyText(scenario));
    }

    static Path ledgerFile(Path workDir, int gateway) {
        return workDir.resolve("ledger-" + gateway);
    }

    /** Waits until billing holds what ran at the hosts, or a timeout passes, and returns the last comparison. */
    private LedgerComparison awaitLedger(Vertx vertx, Fleet fleet, BillingServer billing, boolean violated)
            throws InterruptedException, ExecutionException, TimeoutException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(violated ? LEDGER_WAIT_S / 5 : LEDGER_WAIT_S);
        while (true) {
            Promise<LedgerComparison> compared = Promise.promise();
            vertx.runOnContext(ignored -> {
                billing.faultRate(0);
                compared.complete(LedgerComparison.compare(fleet, billing, ledgerKeys(scenario)));
            });
            LedgerComparison comparison = await(compared.future(), 10);
            if (comparison.matches() || System.nanoTime() > deadlineNanos) return comparison;
            Thread.sleep(100);
        }
    }

    private void reportProgress(String line) {
        progress.accept(line);
    }

    private Report buildReport(
            List<TrafficEvent> observations,
            Verdict verdict,
            ViewerGenerator viewers,
            Fleet fleet,
            double durationS,
            int unfinishedViewers,
            LedgerComparison ledger) {
        ViewerGenerator.Totals totals = viewers.totals();
        long setUps = observations.stream()
                .filter(observation -> observation instanceof TrafficEvent.SetUpReceived)
                .count();
        long overloadedHosts = fleet.hosts().stream()
                .filter(host -> host.mode() == MediaHost.Mode.OVERLOADED)
                .count();
        return new Report(
                scenario.name(),
                scenario.seed(),
                durationS,
                totals.viewers,
                totals.asked,
                totals.played,
                totals.refused,
                totals.failed,
                totals.cutOff,
                totals.abandoned,
                totals.unreachable,
                totals.unanswered,
                totals.segments,
                totals.interruptions,
                totals.playedToEnd,
                totals.stalledMs,
                totals.answerMs.getValueAtPercentile(50),
                totals.answerMs.getValueAtPercentile(99),
                totals.answerMs.getMaxValue(),
                setUps,
                overloadedHosts,
                unfinishedViewers,
                verdict,
                ledger);
    }

    private static <T> T await(Future<T> future, int seconds)
            throws InterruptedException, ExecutionException, TimeoutException {
        return future.toCompletionStage().toCompletableFuture().get(seconds, TimeUnit.SECONDS);
    }

    private static void awaitQuietly(Future<Void> future) throws InterruptedException {
        try {
            await(future, 15);
        } catch (ExecutionException | TimeoutException error) {
            // The verdict is final by now; whatever does not stop in time ends with the process.
        }
    }

    private static void deleteTree(Path root) throws IOException {
        try (var paths = Files.walk(root)) {
            for (Path path : paths.sorted(java.util.Comparator.reverseOrder()).toList()) Files.deleteIfExists(path);
        }
    }
}
