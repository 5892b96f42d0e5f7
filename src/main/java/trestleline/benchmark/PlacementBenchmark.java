package trestleline.benchmark;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import trestleline.placement.Placement;
import trestleline.placement.PlacementPolicy;

/**
 * Measures how long the placement policy takes to handle one event, by kind of event and size of fleet. A gateway's
 * event loop is blocked for that long. Viewers arrive and leave in simulated time, at a rate that asks for about what
 * the links of the fleet carry.
 */
final class PlacementBenchmark {
    /** Rate of each rung, kB per second. */
    private static final double[] RUNG_RATES_KB = {283, 481, 816, 1387, 2357};

    /**
     * What a run measured.
     *
     * @param hosts number of media hosts
     * @param gateways number of gateways that share the hosts
     * @param peakSessions highest number of concurrent sessions of the simulated gateway
     * @param latencyNs handling time (ns) of the events of each kind
     */
    record Result(int hosts, int gateways, int peakSessions, Map<String, Histogram> latencyNs) {}

    /** An action that is due at a simulated time; tasks due together run in the order of their sequence numbers. */
    private record Task(double dueMs, long sequence, Runnable action) {}

    private final PriorityQueue<Task> tasks = new PriorityQueue<>(
            (a, b) -> a.dueMs != b.dueMs ? Double.compare(a.dueMs, b.dueMs) : Long.compare(a.sequence, b.sequence));
    private final Map<String, Histogram> latencyNs = new LinkedHashMap<>();
    private final Map<Long, String> hostByRequest = new LinkedHashMap<>();
    private final SplittableRandom random = new SplittableRandom(11);
    private final int hosts;
    private final int gateways;
    private final PlacementPolicy policy;
    private double nowMs = 1e6;
    private long nextSequence;
    private long lastRequestId;
    private int activeSessions;
    private int peakSessions;
    private boolean recording;

    private PlacementBenchmark(int hosts, int gateways) {
        this.hosts = hosts;
        this.gateways = gateways;
        var paid = new Placement.RequestClass(
                "paid", 1500, 0, 3000, Placement.Effect.SIDE_EFFECT, "all", 0, 2, 1, 4, 1.2, 9, false);
        var safe = new Placement.RequestClass(
                "safe", 1000, 0, 5000, Placement.Effect.PURE, "all", 0, 1, 0, 3, 1, 0, false);
        double linkUnitKb = 13238;
        policy = new PlacementPolicy(
                new Placement.Settings(
                        0,
                        gateways,
                        "z",
                        10,
                        false,
                        900,
                        0,
                        List.of("load_share", "x1"),
                        "pull",
                        List.of(paid, safe),
                        List.of(),
                        0.1,
                        new Placement.Ladder(RUNG_RATES_KB, new double[] {0.22, 0.44, 0.64, 0.82, 1}, 0.7, 10, 1),
                        new Placement.Fleet(
                                hosts,
                                Math.max(1, hosts / 5),
                                linkUnitKb * hosts,
                                linkUnitKb * 5 * 0.7,
                                linkUnitKb,
                                List.of("k"),
                                new int[] {33},
                                1,
                                "silent"),
                        new Placement.Rules(40, 0, 0, 0, 0, 0.4, 9000, 500, 2, 1000, 5, true, true, true, 2000, 250),
                        new Placement.Penalties(0, 0.01, 0.2, 0.05, 0)),
                5,
                nowMs);
    }

    /**
     * Runs the benchmark.
     *
     * @param hosts number of media hosts
     * @param gateways number of gateways that share them; one of these is simulated
     * @param seconds simulated time that is recorded, after a minute of warm-up
     */
    static Result run(int hosts, int gateways, double seconds) {
        var benchmark = new PlacementBenchmark(hosts, gateways);
        benchmark.simulate(seconds);
        return new Result(hosts, gateways, benchmark.peakSessions, benchmark.latencyNs);
    }

    private void simulate(double seconds) {
        List<Placement.HostEntry> entries = new ArrayList<>();
        for (int host = 0; host < hosts; host++)
            entries.add(new Placement.HostEntry("h" + host, "Running", "k", 0, "z", 1, host));
        handleEvent("list", new Placement.HostListUpdate("whole", entries, 1));
        // sessions last 45 s on average, so that a host carries about 11
        double requestsPerSecond = hosts * 11.0 / gateways / 45;
        scheduleArrival(1000 / requestsPerSecond);
        double warmUpEnd = nowMs + 60_000;
        double end = warmUpEnd + seconds * 1000;
        while (!tasks.isEmpty() && tasks.peek().dueMs < end) {
            Task task = tasks.poll();
            nowMs = task.dueMs;
            recording = nowMs >= warmUpEnd;
            task.action.run();
        }
    }

    private void schedule(double delayMs, Runnable action) {
        tasks.add(new Task(nowMs + delayMs, nextSequence++, action));
    }

    private void scheduleArrival(double meanGapMs) {
        schedule(-Math.log(1 - random.nextDouble()) * meanGapMs, () -> {
            long requestId = ++lastRequestId;
            handleEvent(
                    "request",
                    new Placement.NewRequest(new Placement.SessionRequest(
                            requestId,
                            random.nextInt(3) == 0 ? "paid" : "safe",
                            "",
                            requestId,
                            random.nextInt(hosts * 5),
                            3000,
                            Double.NaN,
                            random.nextInt(hosts),
                            Math.min(hosts, 5),
                            4,
                            0)));
            scheduleArrival(meanGapMs);
        });
    }

    private void handleEvent(String kind, Placement.Event event) {
        long startNs = System.nanoTime();
        List<Placement.Action> actions = policy.handle(nowMs, event);
        long elapsedNs = System.nanoTime() - startNs;
        if (recording)
            latencyNs
                    .computeIfAbsent(kind, k -> new Histogram(60_000_000_000L, 3))
                    .recordValue(Math.max(1, elapsedNs));
        for (Placement.Action action : actions) {
            if (action instanceof Placement.StartAttempt attempt) {
                schedule(80, () -> {
                    hostByRequest.put(attempt.req(), attempt.host());
                    peakSessions = Math.max(peakSessions, ++activeSessions);
                    handleEvent("plays", new Placement.SessionStarted(attempt.req(), 0, attempt.host(), 80));
                    schedule(45_000 * (0.5 + random.nextDouble()), () -> {
                        activeSessions--;
                        handleEvent(
                                "ends",
                                new Placement.AttemptEnded(
                                        attempt.req(),
                                        0,
                                        hostByRequest.remove(attempt.req()),
                                        45_000,
                                        true,
                                        "Ok",
                                        Map.of()));
                    });
                });
            } else if (action instanceof Placement.StartTimer timer) {
                schedule(
                        Math.max(0.01, timer.delay()),
                        () -> handleEvent(
                                timer.tag().equals("pack") ? "re-pack" : "timer",
                                new Placement.TimerFired(timer.tag())));
            } else if (action instanceof Placement.ProbeHost probe) {
                schedule(
                        2,
                        () -> handleEvent(
                                "probe",
                                new Placement.ProbeResult(
                                        probe.host(),
                                        "Ok",
                                        2,
                                        Map.of(
                                                "load_share",
                                                0.6 + 0.4 * random.nextDouble(),
                                                "x1",
                                                0.7 + 0.4 * random.nextDouble()))));
            }
        }
    }
}
