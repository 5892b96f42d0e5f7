package trestleline.scenario;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trestleline.config.GatewayConfig;
import trestleline.emulation.Player;
import trestleline.emulation.Trace;
import trestleline.placement.Placement;

/**
 * Generates viewers as a Poisson process that does not depend on the fate of earlier viewers (open-loop load). Runs on
 * the emulation's event loop.
 */
final class ViewerGenerator {
    private static final Logger LOG = LoggerFactory.getLogger(ViewerGenerator.class);
    private final Vertx vertx;
    private final Scenario scenario;
    private final List<GatewayHandle> gateways;
    private final Trace trace;
    private final DoubleSupplier clock;
    private final HttpClientAgent client;
    private final SplittableRandom random;
    private final List<GatewayConfig.Title> titles;
    private final Totals totals = new Totals();
    private double arrivalFactor = 1;
    private double firstTenantFactor = 1;
    private boolean accepting = true;
    private final Set<Player> activePlayers = new LinkedHashSet<>();
    /** Viewers so far; part of their session ids. */
    private long count;

    /** Outcomes of all viewers together. */
    static final class Totals {
        long viewers;
        long asked;
        long played;
        long refused;
        long failed;
        long cutOff;
        long abandoned;
        long unreachable;
        long unanswered;
        long segments;
        long interruptions;
        long playedToEnd;
        double stalledMs;
        final Histogram answerMs = new Histogram(60_000, 3);
    }

    ViewerGenerator(
            Vertx vertx,
            Scenario scenario,
            List<GatewayHandle> gateways,
            Trace trace,
            DoubleSupplier clock,
            long seed) {
        this.vertx = vertx;
        this.scenario = scenario;
        this.gateways = gateways;
        this.trace = trace;
        this.clock = clock;
        random = new SplittableRandom(seed);
        titles = new ArrayList<>(scenario.gatewayTemplate().titles().values());
        titles.sort(java.util.Comparator.comparing(GatewayConfig.Title::name));
        client = vertx.httpClientBuilder()
                .with(new HttpClientOptions().setConnectTimeout(1000).setKeepAliveTimeout(5))
                .with(new PoolOptions().setHttp1MaxSize(20_000).setMaxWaitQueueSize(1000))
                .withConnectHandler(connection ->
                        connection.exceptionHandler(error -> LOG.atDebug().log("viewer connection failed")))
                .build();
    }

    /** Multiplies all arrivals; 1 is the usual rate. */
    void arrivalFactor(double factor) {
        arrivalFactor = factor;
    }

    /** Multiplies the arrivals of the first tenant; 1 is the usual rate. */
    void firstTenantFactor(double factor) {
        firstTenantFactor = factor;
    }

    void start() {
        scheduleNextArrival();
    }

    void stopArrivals() {
        accepting = false;
    }

    /** Number of viewers that have not finished. */
    int activePlayers() {
        return activePlayers.size();
    }

    Totals totals() {
        return totals;
    }

    private void scheduleNextArrival() {
        if (!accepting) return;
        double firstTenantShare = shareOf(scenario.arrivals().tenantWeights(), 0);
        double arrivalsPerSecond =
                scenario.arrivals().perSecond() * arrivalFactor * (1 + (firstTenantFactor - 1) * firstTenantShare);
        double waitMs = -Math.log(1 - random.nextDouble()) / arrivalsPerSecond * 1000;
        vertx.setTimer((long) Math.max(1, waitMs), timer -> {
            if (!accepting) return;
            addViewer();
            scheduleNextArrival();
        });
    }

    private static double shareOf(Map<String, Double> weights, int index) {
        double sum = weights.values().stream().mapToDouble(weight -> weight).sum();
        return new ArrayList<>(weights.values()).get(index) / Math.max(1e-9, sum);
    }

    private String pickWeighted(Map<String, Double> weights, double firstFactor) {
        double sum = 0;
        boolean first = true;
        for (double weight : weights.values()) {
            sum += first ? weight * firstFactor : weight;
            first = false;
        }
        double remaining = random.nextDouble() * sum;
        String name = null;
        first = true;
        for (Map.Entry<String, Double> entry : weights.entrySet()) {
            name = entry.getKey();
            remaining -= first ? entry.getValue() * firstFactor : entry.getValue();
            first = false;
            if (remaining < 0) break;
        }
        return name;
    }

    private int pickTitle() {
        double sum = 0;
        for (int i = 0; i < titles.size(); i++)
            sum += Math.pow(i + 1, -scenario.arrivals().titleZipfExponent());
        double remaining = random.nextDouble() * sum;
        for (int i = 0; i < titles.size(); i++) {
            remaining -= Math.pow(i + 1, -scenario.arrivals().titleZipfExponent());
            if (remaining < 0) return i;
        }
        return titles.size() - 1;
    }

    /** Picks a gateway at random; each is {@code gatewayPreference} times as likely as the one before it. */
    private int pickGateway() {
        double sum = 0;
        double preference = scenario.arrivals().gatewayPreference();
        for (int i = 0; i < gateways.size(); i++) sum += Math.pow(preference, i);
        double remaining = random.nextDouble() * sum;
        for (int i = 0; i < gateways.size(); i++) {
            remaining -= Math.pow(preference, i);
            if (remaining < 0) return i;
        }
        return 0;
    }

    /** Returns a picker that yields the given gateway first (-1: none), then random ones. */
    private java.util.function.IntSupplier gatewayPicker(int first) {
        int[] nextGateway = {first};
        return () -> {
            int picked = nextGateway[0] >= 0 ? nextGateway[0] : pickGateway();
            nextGateway[0] = -1;
            return picked;
        };
    }

    /** Adds viewers at once; each sends its first request to the given gateway. */
    void addBurst(int gateway, int viewers) {
        for (int i = 0; i < viewers; i++) addViewer(gateway);
    }

    private void addViewer() {
        addViewer(-1);
    }

    private void addViewer(int firstGateway) {
        Scenario.Arrivals arrivals = scenario.arrivals();
        Placement.Settings settings = scenario.gatewayTemplate().settings();
        String className = pickWeighted(arrivals.classWeights(), 1);
        String tenant = pickWeighted(arrivals.tenantWeights(), firstTenantFactor);
        Placement.RequestClass requestClass = settings.classes().stream()
                .filter(candidate -> candidate.name().equals(className))
                .findFirst()
                .orElseThrow();
        double[] ladderKbPerS = settings.ladder().ratesKb();
        boolean smallScreen = random.nextDouble() < arrivals.smallScreenShare();
        boolean lowBandwidthHint = random.nextDouble() < arrivals.lowBandwidthHintShare();
        long topKbps = smallScreen
                ? Math.round(ladderKbPerS[ladderKbPerS.length / 2] * requestClass.rateFactor() * 8 * 1.01)
                : 0;
        long throughputKbps = lowBandwidthHint ? Math.round(ladderKbPerS[0] * requestClass.rateFactor() * 8) : 0;
        int maxRequests = random.nextDouble() < arrivals.retryingShare() ? 4 : 1;
        double abandonMs = random.nextDouble() < arrivals.abandoningShare()
                ? 20 + random.nextDouble() * requestClass.deadline() / 4
                : 0;
        String sessionId = String.format("%016x-%04x", random.nextLong(), count++);
        var script = new Player.Script(
                tenant,
                className,
                titles.get(pickTitle()).name(),
                topKbps,
                throughputKbps,
                requestClass.effect() == Placement.Effect.SIDE_EFFECT,
                requestClass.deadline(),
                arrivals.prefetchS(),
                scenario.gatewayTemplate().media().segmentS(),
                maxRequests,
                arrivals.retryPauseMs(),
                abandonMs,
                random.nextBoolean());
        totals.viewers++;
        var player = new Player(
                vertx,
                client,
                trace,
                clock,
                script,
                sessionId,
                GatewayConfig.stableId(sessionId),
                gatewayPicker(firstGateway),
                index -> gateways.get(index).port(),
                random.nextLong(),
                this::onPlayerDone);
        activePlayers.add(player);
        player.start();
    }

    private void onPlayerDone(Player player, Player.Result result) {
        activePlayers.remove(player);
        count(result);
    }

    /** Adds the viewers that have not finished to the totals; their pending requests count as unanswered. */
    void addUnfinished() {
        for (Player player : activePlayers) count(player.result());
        activePlayers.clear();
    }

    private void count(Player.Result result) {
        totals.asked += result.asked;
        totals.played += result.granted;
        totals.refused += result.refused;
        totals.failed += result.failed;
        totals.cutOff += result.cut;
        totals.abandoned += result.left;
        totals.unreachable += result.connectFailures;
        totals.unanswered += result.waiting();
        if (result.cutReason != null)
            LOG.atInfo().addKeyValue("because", result.cutReason).log("viewer request cut off");
        totals.segments += result.segments;
        totals.interruptions += result.breaks;
        totals.stalledMs += result.stalledMs;
        if (result.finished) totals.playedToEnd++;
        if (!Double.isNaN(result.firstAnswerMs))
            totals.answerMs.recordValue(Math.min(60_000, Math.round(result.firstAnswerMs)));
    }
}
