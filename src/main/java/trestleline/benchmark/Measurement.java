package trestleline.benchmark;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpMethod;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import trestleline.config.ConfigReader;
import trestleline.config.GatewayConfig;
import trestleline.core.WallClock;
import trestleline.daemon.GatewayNode;
import trestleline.discovery.ListedHost;
import trestleline.emulation.HostListServer;
import trestleline.emulation.Trace;
import trestleline.placement.Placement;

/**
 * Measures the overhead of the gateway compared with a plain proxy in the same run, the placement policy's time on the
 * event loop, and the ledger. The command {@code measure} runs it.
 */
public final class Measurement {
    private static final int CLIENTS = 32;
    private static final int SEGMENT_BYTES = 65536;
    private static final int ROUNDS = 3;
    private static final String GATEWAY_CONFIG = """
        { fronts: 1, zone: "z", classes: [{ name: "safe", aim: 1000, deadline: 5000, effect: "pure", worth: 1 }],
          tenants: [{ name: "a" }], ladder: { kb: [100, 200, 400], worth: [0.3, 0.6, 1] },
          fleet: { places: 1, racks: 1, linkUnitKb: 100000000, rackLinkKb: 100000000, kinds: [{ name: "k", slots: 100000 }] },
          list: { url: "URL" }, media: { segmentS: 1 }, limits: { bufferMs: 600000, idleMs: 600000 },
          titles: [{ name: "one", seconds: 1, home: 0, holders: 1 }, { name: "long", seconds: 2000, home: 0, holders: 1 }] }""";
    private final Consumer<String> output;

    /** Creates a measurement that passes each line of its results to {@code output}. */
    public Measurement(Consumer<String> output) {
        this.output = output;
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(120, TimeUnit.SECONDS);
    }

    private void output(String format, Object... values) {
        output.accept(String.format(Locale.ROOT, format, values));
    }

    /** Configuration of a gateway that reads its host list from a URL. */
    static GatewayConfig gatewayConfig(String hostListUrl) {
        return GatewayConfig.read(ConfigReader.parse("measurement", GATEWAY_CONFIG.replace("URL", hostListUrl)));
    }

    /**
     * Measures the ledger's store, recovery and export, and paid set-ups with and without a ledger.
     *
     * @param seconds duration of each round of set-ups
     * @param entries number of ledger entries to recover and export
     * @throws Exception if a gateway, store or endpoint fails or does not answer in time
     */
    public void measureLedger(double seconds, int entries) throws Exception {
        new LedgerBenchmark(output, entries).run();
        measurePaidSetUps(seconds);
    }

    /** Measures paid set-ups through two gateways, one with and one without a ledger, in alternation. */
    private void measurePaidSetUps(double seconds) throws Exception {
        Vertx endpointsVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        Vertx loadVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        Path directory = Files.createTempDirectory("trestleline-paid");
        Files.writeString(directory.resolve("keys"), "k " + "5a".repeat(32) + "\n");
        var feed = new HostListServer(endpointsVertx, Trace.none(), new WallClock());
        await(feed.start());
        int hostPort = await(StubServers.startHost(endpointsVertx, 1024));
        endpointsVertx.runOnContext(v -> feed.publish(List.of(new ListedHost(
                new Placement.HostEntry("host-a", "Running", "k", 0, "z", 1, 0), "127.0.0.1", hostPort))));
        List<GatewayNode> nodes = new java.util.ArrayList<>();
        int[] gatewayPorts = new int[2];
        try {
            for (int i = 0; i < 2; i++) {
                String ledger = i == 0
                        ? ""
                        : "ledger: { file: '" + directory.resolve("ledger") + "', keys: '" + directory.resolve("keys")
                                + "' }, ";
                nodes.add(new GatewayNode(GatewayConfig.read(ConfigReader.parse(
                        "measurement",
                        GATEWAY_CONFIG
                                .replace("URL", feed.url("0"))
                                .replace("\"pure\"", "\"side_effect\"")
                                .replace("{ fronts", "{ " + ledger + "fronts")))));
                gatewayPorts[i] = await(nodes.get(i).start());
                while (await(nodes.get(i).counts()).hosts() == 0) Thread.onSpinWait();
            }
            for (int clients : new int[] {1, 16}) {
                for (int round = 0; round < 2; round++) {
                    LoadGenerator without = await(LoadGenerator.openShortSessions(
                            loadVertx, gatewayPorts[0], clients, seconds, "/a/safe/one/"));
                    LoadGenerator with = await(LoadGenerator.openShortSessions(
                            loadVertx, gatewayPorts[1], clients, seconds, "/a/safe/one/"));
                    output(
                            "ledger: paid set-ups with ledger/without ledger, %d clients, round %d: p50 %.2f, p99 %.2f (failed %d, %d)",
                            clients,
                            round,
                            ratio(with, without, 50),
                            ratio(with, without, 99),
                            with.failed(),
                            without.failed());
                }
            }
        } finally {
            for (GatewayNode node : nodes) await(node.stop());
            for (Vertx v : List.of(endpointsVertx, loadVertx)) await(v.close());
            try (var paths = Files.walk(directory)) {
                for (Path path :
                        paths.sorted(java.util.Comparator.reverseOrder()).toList()) Files.deleteIfExists(path);
            }
        }
    }

    /**
     * Measures the placement policy at several sizes of fleet.
     *
     * @param seconds simulated time that each size is measured for
     */
    public void measurePlacement(double seconds) {
        output("module: us per event, by kind (p50 / p99 / max), after a minute of warm-up in simulated time");
        PlacementBenchmark.run(60, 4, seconds); // warms up the JIT compiler
        for (int[] size : new int[][] {{12, 3}, {60, 40}, {160, 107}, {300, 200}, {60, 4}, {160, 8}, {300, 15}}) {
            PlacementBenchmark.Result result = PlacementBenchmark.run(size[0], size[1], seconds);
            var line = new StringBuilder(String.format(
                    Locale.ROOT,
                    "%d hosts, %d gateways, up to %d sessions at this gateway:",
                    result.hosts(),
                    result.gateways(),
                    result.peakSessions()));
            for (Map.Entry<String, Histogram> entry : result.latencyNs().entrySet()) {
                Histogram latency = entry.getValue();
                line.append(String.format(
                        Locale.ROOT,
                        " %s %.0f / %.0f / %.0f;",
                        entry.getKey(),
                        latency.getValueAtPercentile(50) / 1e3,
                        latency.getValueAtPercentile(99) / 1e3,
                        latency.getMaxValue() / 1e3));
            }
            output.accept(line.toString());
        }
    }

    /**
     * Compares set-ups and segments through a gateway with the same through a plain proxy, in alternation, and measures
     * the heap per open session.
     *
     * @param seconds duration of each round
     * @throws Exception if a server fails or does not answer in time
     */
    public void measureRequestPath(double seconds) throws Exception {
        Vertx endpointsVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        Vertx proxyVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        Vertx loadVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        var clock = new WallClock();
        var feed = new HostListServer(endpointsVertx, Trace.none(), clock);
        await(feed.start());
        int hostPort = await(StubServers.startHost(endpointsVertx, SEGMENT_BYTES));
        int proxyPort = await(StubServers.startProxy(proxyVertx, hostPort));
        var node = new GatewayNode(gatewayConfig(feed.url("0")));
        endpointsVertx.runOnContext(v -> feed.publish(List.of(new ListedHost(
                new Placement.HostEntry("host-a", "Running", "k", 0, "z", 1, 0), "127.0.0.1", hostPort))));
        int gatewayPort = await(node.start());
        while (await(node.counts()).hosts() == 0) Thread.onSpinWait();
        try {
            output(
                    "path: %d clients, segments of %d bytes, %d alternating rounds of %.0f s each, the first as warm-up",
                    CLIENTS, SEGMENT_BYTES, ROUNDS, seconds);
            for (int round = 0; round < ROUNDS; round++) {
                LoadGenerator proxySegments = await(LoadGenerator.repeatRequest(
                        loadVertx, proxyPort, CLIENTS, seconds, HttpMethod.GET, c -> "/sessions/x/0/0.aac"));
                LoadGenerator gatewaySegments =
                        await(LoadGenerator.fetchSegments(loadVertx, gatewayPort, CLIENTS, seconds, "/a/safe/long/"));
                output(
                        "segment, round %d: gateway/proxy throughput %.2f, p50 %.2f, p99 %.2f (failed %d, %d)",
                        round,
                        gatewaySegments.requestsPerSecond(seconds) / proxySegments.requestsPerSecond(seconds),
                        ratio(gatewaySegments, proxySegments, 50),
                        ratio(gatewaySegments, proxySegments, 99),
                        gatewaySegments.failed(),
                        proxySegments.failed());
                LoadGenerator proxySetUps = await(LoadGenerator.repeatRequest(
                        loadVertx, proxyPort, CLIENTS, seconds, HttpMethod.POST, c -> "/sessions/x"));
                LoadGenerator gatewaySetUps = await(
                        LoadGenerator.openShortSessions(loadVertx, gatewayPort, CLIENTS, seconds, "/a/safe/one/"));
                output(
                        "set-up, round %d: gateway/proxy p50 %.2f, p99 %.2f (failed %d, %d)",
                        round,
                        ratio(gatewaySetUps, proxySetUps, 50),
                        ratio(gatewaySetUps, proxySetUps, 99),
                        gatewaySetUps.failed(),
                        proxySetUps.failed());
            }
            measureSessionMemory(loadVertx, gatewayPort, node);
        } finally {
            await(node.stop());
            for (Vertx v : List.of(endpointsVertx, proxyVertx, loadVertx)) await(v.close());
        }
    }

    /** Ratio of two latencies at a percentile. */
    private static double ratio(LoadGenerator measured, LoadGenerator baseline, double percentile) {
        return (double) measured.latencyUs().getValueAtPercentile(percentile)
                / Math.max(1, baseline.latencyUs().getValueAtPercentile(percentile));
    }

    /** Measures the heap that an open session takes. */
    private void measureSessionMemory(Vertx loadVertx, int gatewayPort, GatewayNode node) throws Exception {
        int count = 500;
        var client = loadVertx.createHttpClient();
        openSessions(client, gatewayPort, count); // allocates what exists once only, which must not count
        long heapBeforeBytes = usedHeapBytes();
        int sessionsBefore = await(node.counts()).playing();
        openSessions(client, gatewayPort, count);
        int added = await(node.counts()).playing() - sessionsBefore;
        output(
                "memory: %d more open sessions, %d bytes of heap each, placement module included",
                added, (usedHeapBytes() - heapBeforeBytes) / Math.max(1, added));
        await(client.close());
    }

    private static void openSessions(HttpClientAgent client, int gatewayPort, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            await(client.request(HttpMethod.GET, gatewayPort, "127.0.0.1", "/a/safe/long/index.m3u8")
                    .compose(q -> q.send())
                    .compose(x -> x.end()));
        }
    }

    /** Returns the lowest use of the heap over several seconds: a re-pack allocates temporary tables meanwhile. */
    private static long usedHeapBytes() throws InterruptedException {
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 40; i++) {
            System.gc();
            Thread.sleep(100);
            least = Math.min(
                    least,
                    Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
        }
        return least;
    }
}
