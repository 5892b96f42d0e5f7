package trestleline.scenario;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trestleline.conformance.TrafficEvent;
import trestleline.emulation.BillingServer;
import trestleline.emulation.MediaHost;
import trestleline.emulation.Rack;
import trestleline.emulation.Trace;

/**
 * Applies the troubles of a scenario at their times to hosts, gateways and load. Runs on the emulation's event loop.
 */
final class TroubleInjector {
    private static final Logger LOG = LoggerFactory.getLogger(TroubleInjector.class);
    /** Arrivals, in seconds of the mean rate, that are sent to a gateway in a burst before it stalls. */
    private static final double BURST_ARRIVALS_S = 1.6;

    /** Share of the running hosts that are drained while a gateway stalls. */
    private static final double DRAINED_SHARE = 0.4;

    /** Time (ms) from the start of the burst to the stall. */
    private static final int BURST_LEAD_MS = 2;

    private final Vertx vertx;
    private final Fleet fleet;
    private final List<GatewayHandle> gateways;
    private final Trace trace;
    private final ViewerGenerator viewers;
    private final Consumer<String> progress;
    private final Random random;
    private final BillingServer billing;
    private final Path workDir;
    private final boolean[] gatewayDown;

    TroubleInjector(
            Vertx vertx,
            Fleet fleet,
            List<GatewayHandle> gateways,
            Trace trace,
            ViewerGenerator viewers,
            Consumer<String> progress,
            BillingServer billing,
            Path workDir,
            long seed) {
        this.vertx = vertx;
        this.fleet = fleet;
        this.gateways = gateways;
        this.trace = trace;
        this.viewers = viewers;
        this.progress = progress;
        this.billing = billing;
        this.workDir = workDir;
        random = new Random(seed);
        gatewayDown = new boolean[gateways.size()];
    }

    /** Runs a task after a delay of at least 10 ms, so that it never runs within this call. */
    private void schedule(double delayS, Runnable task) {
        vertx.setTimer((long) Math.max(10, delayS * 1000), timer -> task.run());
    }

    void scheduleAll(List<Scenario.Trouble> troubles) {
        for (Scenario.Trouble trouble : troubles) schedule(trouble.startS(), () -> begin(trouble));
    }

    private <T> List<T> randomShare(List<T> items, double share) {
        List<T> shuffled = new ArrayList<>(items);
        Collections.shuffle(shuffled, random);
        return shuffled.subList(0, (int) Math.min(shuffled.size(), Math.max(1, Math.round(share * shuffled.size()))));
    }

    private List<MediaHost> runningHosts(double share) {
        return randomShare(
                fleet.hosts().stream()
                        .filter(host -> host.mode() == MediaHost.Mode.RUNNING && !host.draining())
                        .toList(),
                share);
    }

    private void begin(Scenario.Trouble trouble) {
        progress.accept("trouble: " + trouble.name() + " for " + trouble.durationS() + " s");
        LOG.atInfo()
                .addKeyValue("trouble", trouble.name())
                .addKeyValue("at", nowMs())
                .log("trouble");
        switch (trouble.name()) {
            case "balancer_crash" -> crashGateways(trouble);
            case "balancer_stall" -> {
                for (MediaHost host : fleet.hosts()) applyForDuration(trouble, host::setCloseAfterResponse);
                stallGateways(trouble, trouble.durationS());
            }
            case "burst" ->
                applyForDuration(trouble, active -> viewers.arrivalFactor(active ? trouble.magnitude() : 1));
            case "tenant_burst" ->
                applyForDuration(trouble, active -> viewers.firstTenantFactor(active ? trouble.magnitude() : 1));
            case "crash" -> runningHosts(trouble.share()).forEach(host -> crashHost(host, trouble.durationS()));
            case "vanish" -> runningHosts(trouble.share()).forEach(host -> vanish(host, trouble.durationS()));
            case "zone_loss" -> crashRack(trouble);
            case "hang" -> runningHosts(trouble.share()).forEach(host -> applyForDuration(trouble, host::hang));
            case "fast_errors" ->
                runningHosts(trouble.share())
                        .forEach(host -> applyForDuration(
                                trouble, active -> host.setErrorRate(active ? trouble.magnitude() : 0)));
            case "neighbour" ->
                runningHosts(trouble.share())
                        .forEach(host -> applyForDuration(
                                trouble, active -> host.setLinkContention(active ? trouble.magnitude() : 1)));
            case "origin_slow" ->
                fleet.hosts()
                        .forEach(host -> applyForDuration(
                                trouble, active -> host.setSetUpSlowdown(active ? trouble.magnitude() : 1)));
            case "shared_slow" -> {
                for (Rack rack : fleet.racks())
                    applyForDuration(trouble, active -> rack.setCapacityDivisor(active ? trouble.magnitude() : 1));
            }
            case "discovery_stale" -> {
                applyForDuration(
                        trouble,
                        active -> fleet.feed()
                                .delayMs(
                                        active
                                                ? trouble.magnitude()
                                                : fleet.scenario().listDelay().announcedMs()));
                // Half of the gateways get each change even later: no gateway may rely on what another was told.
                for (int gateway = 0; gateway < gateways.size(); gateway += 2) {
                    String delayedGateway = Integer.toString(gateway);
                    applyForDuration(
                            trouble,
                            active ->
                                    fleet.feed().gatewayDelayMs(delayedGateway, active ? trouble.magnitude() / 4 : 0));
                }
            }
            case "desk_faults" -> {
                if (billing != null)
                    applyForDuration(trouble, active -> billing.faultRate(active ? trouble.magnitude() : 0));
            }
            case "stale_return" -> restoreStaleLedgers(trouble);
            case "preempt" -> runningHosts(trouble.share()).forEach(host -> preempt(host, trouble));
            default -> throw new IllegalStateException(trouble.name());
        }
    }

    private void applyForDuration(Scenario.Trouble trouble, Consumer<Boolean> toggle) {
        toggle.accept(true);
        schedule(trouble.durationS(), () -> toggle.accept(false));
    }

    private void crashHost(MediaHost host, double downtimeS) {
        host.crash();
        fleet.publish(vertx, host, "Deleted", fleet.scenario().listDelay().unannouncedMs());
        schedule(downtimeS, () -> host.start(false).onSuccess(port -> fleet.publish(vertx, host, "Running", 0)));
    }

    private void vanish(MediaHost host, double durationS) {
        host.becomeUnreachable();
        fleet.publish(vertx, host, "Deleted", fleet.scenario().listDelay().unannouncedMs());
        schedule(durationS, () -> host.reappear().onSuccess(port -> fleet.publish(vertx, host, "Running", 0)));
    }

    /** Announces that a host drains, crashes it after that, and starts a replacement after {@code periodS}. */
    private void preempt(MediaHost host, Scenario.Trouble trouble) {
        Runnable drain = () -> {
            if (host.draining()) return;
            host.drain(true);
            fleet.feed().publishNow(List.of(fleet.listed(host, "Stopping")));
        };
        host.taskAtNextSetUp(drain); // exactly when a set-up arrives, if one does soon
        schedule(trouble.durationS() / 4, drain);
        schedule(trouble.durationS(), () -> {
            host.crash();
            fleet.publish(vertx, host, "Deleted", 0);
            schedule(
                    trouble.periodS(),
                    () -> host.start(false).onSuccess(port -> fleet.publish(vertx, host, "Running", 0)));
        });
    }

    /** Crashes all hosts of a random rack, and a share of the gateways if the magnitude is above 0. */
    private void crashRack(Scenario.Trouble trouble) {
        int rackCount = fleet.racks().size();
        int failedRack = random.nextInt(rackCount);
        for (MediaHost host : fleet.hosts()) {
            if (host.spec().slot() % rackCount == failedRack && host.mode() == MediaHost.Mode.RUNNING)
                crashHost(host, trouble.durationS());
        }
        if (gateways.size() > 1 && trouble.magnitude() > 0) crashGateways(trouble);
    }

    private List<Integer> runningGateways(double share) {
        List<Integer> running = new ArrayList<>();
        for (int gateway = 0; gateway < gateways.size(); gateway++) if (!gatewayDown[gateway]) running.add(gateway);
        return randomShare(running, share);
    }

    private double nowMs() {
        return fleet.clock().getAsDouble();
    }

    private void crashGateways(Scenario.Trouble trouble) {
        for (int gateway : runningGateways(trouble.share())) {
            gatewayDown[gateway] = true;
            trace.add(new TrafficEvent.GatewayDown(nowMs(), Integer.toString(gateway)));
            gateways.get(gateway).kill().onComplete(killed -> schedule(trouble.durationS(), () -> startAgain(gateway)));
        }
    }

    /** Copies the ledgers of some gateways while they are down, and later restarts them with that stale copy. */
    private void restoreStaleLedgers(Scenario.Trouble trouble) {
        for (int gateway : runningGateways(trouble.share())) {
            Path ledgerFile = ScenarioRunner.ledgerFile(workDir, gateway);
            Path copy = workDir.resolve("copy-" + gateway);
            restartWith(gateway, () -> copy(ledgerFile, copy));
            schedule(trouble.durationS(), () -> restartWith(gateway, () -> copy(copy, ledgerFile)));
        }
    }

    private static void copy(Path from, Path to) throws IOException {
        Files.copy(from, to, StandardCopyOption.REPLACE_EXISTING);
    }

    private interface FileOperation {
        void run() throws IOException;
    }

    private void restartWith(int gateway, FileOperation whileDown) {
        gatewayDown[gateway] = true;
        trace.add(new TrafficEvent.GatewayDown(nowMs(), Integer.toString(gateway)));
        gateways.get(gateway)
                .kill()
                .onComplete(killed -> schedule(
                        0.3,
                        () -> vertx.executeBlocking(() -> {
                                    whileDown.run();
                                    return null;
                                })
                                .onComplete(done -> {
                                    if (done.failed())
                                        progress.accept("ledger of gateway " + gateway + " could not be copied: "
                                                + done.cause());
                                    startAgain(gateway);
                                })));
    }

    private void startAgain(int gateway) {
        gateways.get(gateway)
                .start()
                .onComplete(started -> vertx.runOnContext(ignored -> {
                    if (started.failed()) {
                        progress.accept("gateway " + gateway + " failed to restart: " + started.cause());
                        return;
                    }
                    trace.add(new TrafficEvent.GatewayUp(nowMs(), Integer.toString(gateway)));
                    gatewayDown[gateway] = false;
                }));
    }

    private void stallGateway(int gateway, long stallMs) {
        if (gatewayDown[gateway]) return;
        double stalledFromMs = nowMs();
        gateways.get(gateway)
                .stall(stallMs)
                .onComplete(resumed ->
                        trace.add(new TrafficEvent.GatewayStalled(stalledFromMs, Integer.toString(gateway), nowMs())));
    }

    /** Ends the drains of hosts that are still running, and announces it at once. */
    private void cancelDrains(List<MediaHost> drained) {
        for (MediaHost host : drained) {
            if (host.mode() != MediaHost.Mode.RUNNING || !host.draining()) continue;
            host.drain(false);
            fleet.feed().publishNow(List.of(fleet.listed(host, "Running")));
        }
    }

    /**
     * Stalls a share of the running gateways for {@code magnitude} ms, every {@code periodS} seconds, until the
     * remaining time is used up.
     */
    private void stallGateways(Scenario.Trouble trouble, double remainingS) {
        if (remainingS <= 0) return;
        for (int gateway : runningGateways(trouble.share())) {
            // The gateway stalls with requests in flight, while the host list changes unseen.
            int halfBurst = (int)
                    Math.round(BURST_ARRIVALS_S * fleet.scenario().arrivals().perSecond() / 2);
            viewers.addBurst(gateway, halfBurst);
            vertx.setTimer(1, timer -> viewers.addBurst(gateway, halfBurst));
            // It stalls while it handles these requests, with connects still pending.
            vertx.setTimer(BURST_LEAD_MS, timer -> stallGateway(gateway, (long) trouble.magnitude()));
        }
        schedule(0.03, () -> {
            List<MediaHost> drained = runningHosts(DRAINED_SHARE);
            for (MediaHost host : drained) host.drain(true);
            fleet.feed()
                    .publishNow(drained.stream()
                            .map(host -> fleet.listed(host, "Stopping"))
                            .toList());
            schedule((trouble.magnitude() + 300) / 1000, () -> cancelDrains(drained));
        });
        schedule(trouble.periodS(), () -> stallGateways(trouble, remainingS - trouble.periodS()));
    }
}
