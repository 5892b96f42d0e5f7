package trestleline.benchmark;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import trestleline.config.ConfigReader;
import trestleline.config.GatewayConfig;
import trestleline.core.WallClock;
import trestleline.discovery.ListedHost;
import trestleline.emulation.HostListServer;
import trestleline.emulation.HostModel;
import trestleline.emulation.MediaHost;
import trestleline.emulation.Player;
import trestleline.emulation.Rack;
import trestleline.emulation.Trace;
import trestleline.media.Playlist;
import trestleline.placement.Placement;

/**
 * Runs a gateway process with a small heap against hostile clients while viewers play. The hostile clients send
 * requests with long, distinct session ids, request heads that never end or have very many fields, and pipelined
 * requests, read no responses, and leave connections idle, all at once.
 */
public final class HeapStress {
    /**
     * How many clients of each kind take part.
     *
     * @param viewers viewers; half of them arrive before the hostile clients, half while these run
     * @param longSessionIds requests that each have their own long session id
     * @param endlessHeads connections whose request head never ends
     * @param pipelines connections that send pipelined requests
     * @param pipelineDepth requests in each pipeline
     * @param stalledReaders connections that request segments and read no response
     * @param idleConnections connections that send nothing
     * @param shortFieldHeads connections whose unfinished request head has as many short fields as fit
     * @param seconds duration of the run
     */
    public record Workload(
            int viewers,
            int longSessionIds,
            int endlessHeads,
            int pipelines,
            int pipelineDepth,
            int stalledReaders,
            int idleConnections,
            int shortFieldHeads,
            double seconds) {
        /** The workload of the command {@code measure}. */
        public static final Workload FULL = new Workload(200, 3800, 1250, 100, 2000, 100, 10_000, 400, 20);
        /** A shorter workload, for tests. */
        public static final Workload SHORT = new Workload(60, 1500, 500, 50, 1000, 30, 2500, 0, 6);
        /** Heads of very many short fields alone, for tests. */
        public static final Workload SHORT_FIELDS = new Workload(20, 0, 0, 0, 0, 0, 0, 600, 5);
    }

    /**
     * Outcome of a run.
     *
     * @param heapMb maximum heap of the gateway, MB
     * @param alive whether the gateway process still ran at the end
     * @param viewers number of viewers
     * @param granted viewers that were granted a session
     * @param late viewers that were not granted a session within 5 s of their first request, retries included
     * @param interruptions sessions that were interrupted while they played
     * @param slowestStatusMs longest time (ms) that the gateway took to answer a status request
     * @param status last status of the gateway, empty if there was none
     */
    public record Result(
            int heapMb,
            boolean alive,
            int viewers,
            int granted,
            int late,
            int interruptions,
            long slowestStatusMs,
            JsonObject status) {
        /** Whether the gateway survived, granted every viewer a session in time and interrupted none. */
        public boolean survived() {
            return alive && late == 0 && interruptions == 0 && granted == viewers;
        }

        /** Returns the outcome as one line of text. */
        public String summary() {
            return String.format(
                    Locale.ROOT,
                    "heap %d MB: %s; %d viewers, %d granted, %d late or never, %d interruptions; slowest status %d ms; "
                            + "connections shed %d, sessions shed %d, connections crowded out %d, timed out %d, "
                            + "requests rejected %d; memory accounted %d of %d",
                    heapMb,
                    alive ? "alive" : "DIED",
                    viewers,
                    granted,
                    late,
                    interruptions,
                    slowestStatusMs,
                    counter("connectionsShed"),
                    counter("sessionsShed"),
                    counter("connectionsCrowded"),
                    counter("connectionsTimedOut"),
                    counter("turnedAway"),
                    counter("memory"),
                    counter("memoryLimit"));
        }

        private long counter(String key) {
            return status.getLong(key, -1L);
        }
    }

    private static final String GATEWAY_CONFIG = """
        { me: 0, fronts: 1, zone: "z", classes: [{ name: "safe", aim: 1000, deadline: 5000, effect: "pure", worth: 1 }],
          tenants: [{ name: "a" }], ladder: { kb: [2, 4, 8], worth: [0.3, 0.6, 1] },
          fleet: { places: 8, racks: 1, linkUnitKb: 100000, rackLinkKb: 1000000, kinds: [{ name: "k", slots: 20000 }] },
          list: { url: "URL" }, media: { segmentS: 1 }, limits: { headMs: 60000, idleMs: 60000 },
          titles: [{ name: "long", seconds: 600, home: 0, holders: 8 }] }""";
    /**
     * Source address of the hostile connections. From 127.0.0.1 they would take thousands of its ports, and other
     * processes may need to bind theirs again.
     */
    private static final String HOSTILE_ADDRESS = "127.0.0.2";

    /** Fields of four bytes that fit into the largest head. */
    private static final int SHORT_FIELDS = 2000;

    private static final String PLAYLIST_PATH = "/a/safe/long/index.m3u8";

    private final Workload workload;
    private final WallClock clock = new WallClock();
    private final List<NetSocket> sockets = Collections.synchronizedList(new ArrayList<>());

    /** Creates a benchmark that runs a workload. */
    public HeapStress(Workload workload) {
        this.workload = workload;
    }

    private static <T> T await(Future<T> future) throws ExecutionException, TimeoutException, InterruptedException {
        return future.toCompletionStage().toCompletableFuture().get(60, TimeUnit.SECONDS);
    }

    /**
     * Starts a gateway with a maximum heap of {@code heapMb} MB, runs the workload against it and kills it.
     *
     * @throws Exception if the gateway does not start, or an endpoint fails or does not answer in time
     */
    public Result run(int heapMb) throws Exception {
        Vertx endpointsVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        Vertx loadVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));
        Path directory = Files.createTempDirectory("trestleline-heap");
        Process[] gateway = new Process[1];
        try {
            var feed = new HostListServer(endpointsVertx, Trace.none(), clock);
            await(feed.start());
            String config = GATEWAY_CONFIG.replace("URL", feed.url("0"));
            Placement.Settings settings =
                    GatewayConfig.read(ConfigReader.parse("heap", config)).settings();
            var physics = new HostModel(settings, 1, 5, 20, 0, 1.3);
            var rack = new Rack(1e6);
            List<ListedHost> hosts = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                var mediaHost = new MediaHost(
                        endpointsVertx,
                        new MediaHost.Spec("host-" + i, "k", "z", i, 20_000, 1e5),
                        rack,
                        physics,
                        Trace.none(),
                        clock,
                        i);
                hosts.add(new ListedHost(
                        new Placement.HostEntry("host-" + i, "Running", "k", 0, "z", 1, i),
                        "127.0.0.1",
                        await(mediaHost.start(true))));
            }
            endpointsVertx.runOnContext(v -> feed.publish(hosts));
            int port = startGateway(directory, config, heapMb, gateway);
            return attack(endpointsVertx, loadVertx, port, heapMb, gateway[0]);
        } finally {
            if (gateway[0] != null) gateway[0].destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            await(loadVertx.close());
            await(endpointsVertx.close());
            for (String fileName : new String[] {"gateway.json5", "log"})
                Files.deleteIfExists(directory.resolve(fileName));
            Files.deleteIfExists(directory);
        }
    }

    private static int startGateway(Path directory, String config, int heapMb, Process[] gateway) throws IOException {
        Path file = Files.writeString(directory.resolve("gateway.json5"), config);
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        gateway[0] = new ProcessBuilder(
                        java,
                        "-Xmx" + heapMb + "m",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "trestleline.cli.Main",
                        "serve",
                        file.toString())
                .redirectError(directory.resolve("log").toFile())
                .start();
        String line = new BufferedReader(new InputStreamReader(gateway[0].getInputStream())).readLine();
        if (line == null)
            throw new IOException("the gateway process did not start: " + Files.readString(directory.resolve("log")));
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).trim());
    }

    private Result attack(Vertx endpointsVertx, Vertx loadVertx, int port, int heapMb, Process gateway)
            throws Exception {
        HttpClientAgent viewers = endpointsVertx
                .httpClientBuilder()
                .with(new HttpClientOptions().setKeepAliveTimeout(30))
                .with(new PoolOptions().setHttp1MaxSize(2000))
                .withConnectHandler(c -> c.exceptionHandler(e -> {}))
                .build();
        List<Player> players = new ArrayList<>();
        for (int i = 0; i < workload.viewers(); i++) {
            // retries when the gateway closes its connection, as browsers do; its time limit runs from the first
            // request
            var script = new Player.Script("a", "safe", "long", 0, 0, true, 5000, 3, 1, 10, 100, 0, false);
            players.add(new Player(
                    endpointsVertx,
                    viewers,
                    Trace.none(),
                    clock,
                    script,
                    "viewer-" + i,
                    i,
                    () -> 0,
                    g -> port,
                    i,
                    (player, r) -> {}));
        }
        int half = workload.viewers() / 2;
        for (int i = 0; i < half; i++) startAfter(endpointsVertx, players.get(i), 100 + 20L * i);
        Thread.sleep(100 + 20L * half + 500);
        loadVertx.runOnContext(v -> startHostileClients(loadVertx, port));
        double arrivalIntervalMs = workload.seconds() * 700 / Math.max(1, workload.viewers() - half);
        for (int i = half; i < players.size(); i++)
            startAfter(endpointsVertx, players.get(i), (long) (1 + arrivalIntervalMs * (i - half)));
        HttpClientAgent statusClient =
                endpointsVertx.createHttpClient(); // separate client: the gateway may shed its idle connection
        long endNs = System.nanoTime() + (long) (workload.seconds() * 1e9);
        long slowestMs = 0;
        JsonObject status = new JsonObject();
        while (System.nanoTime() < endNs && gateway.isAlive()) {
            long startNs = System.nanoTime();
            JsonObject response = fetchStatus(statusClient, port);
            slowestMs = Math.max(slowestMs, (System.nanoTime() - startNs) / 1_000_000);
            if (response != null) status = response;
            Thread.sleep(200);
        }
        CompletableFuture<Result> result = new CompletableFuture<>();
        long slowestStatusMs = slowestMs;
        JsonObject lastStatus = status;
        endpointsVertx.runOnContext(v -> {
            int granted = 0;
            int late = 0;
            int interruptions = 0;
            for (Player player : players) {
                if (player.result().granted > 0) granted++;
                interruptions += player.result().brokenDuringPlayback;
                if (player.result().granted == 0 || player.result().firstGrantMs > 5000) late++;
            }
            result.complete(new Result(
                    heapMb,
                    gateway.isAlive(),
                    players.size(),
                    granted,
                    late,
                    interruptions,
                    slowestStatusMs,
                    lastStatus));
        });
        return result.get(10, TimeUnit.SECONDS);
    }

    private static void startAfter(Vertx vertx, Player player, long delayMs) {
        vertx.setTimer(delayMs, t -> player.start());
    }

    private static JsonObject fetchStatus(HttpClientAgent client, int port) throws InterruptedException {
        try {
            return client.request(HttpMethod.GET, port, "127.0.0.1", "/-/status")
                    .compose(HttpClientRequest::send)
                    .compose(r -> r.body())
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS)
                    .toJsonObject();
        } catch (ExecutionException | TimeoutException e) {
            return null;
        }
    }

    /** Starts the hostile clients, spread evenly over the first half of the run. */
    private void startHostileClients(Vertx vertx, int port) {
        NetClient netClient = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(5000).setLocalAddress(HOSTILE_ADDRESS));
        HttpClientAgent httpClient = vertx.httpClientBuilder()
                .with(new HttpClientOptions().setKeepAliveTimeout(30).setLocalAddress(HOSTILE_ADDRESS))
                .with(new PoolOptions().setHttp1MaxSize(600).setMaxWaitQueueSize(10_000))
                .withConnectHandler(c -> c.exceptionHandler(e -> {}))
                .build();
        double rampUpMs = workload.seconds() * 500;
        for (int i = 0; i < workload.longSessionIds(); i++) {
            String sessionId = "n" + i + "x".repeat(55);
            String padding = "y".repeat(6000);
            runAfter(
                    vertx,
                    rampUpMs * i / workload.longSessionIds(),
                    () -> httpClient
                            .request(HttpMethod.GET, port, "127.0.0.1", PLAYLIST_PATH)
                            .compose(r -> r.putHeader("CMCD-Session", "sid=\"" + sessionId + "\"")
                                    .putHeader("X-Padding", padding)
                                    .send())
                            .onComplete(r -> {}));
        }
        for (int i = 0; i < workload.endlessHeads(); i++) {
            runAfter(
                    vertx,
                    rampUpMs * i / workload.endlessHeads(),
                    () -> openSocket(netClient, port, socket -> {
                        socket.write("GET " + PLAYLIST_PATH + " HTTP/1.1\r\nHost: x\r\nX-End: " + "z".repeat(6000));
                        vertx.setPeriodic(500, t -> socket.write("z").onFailure(e -> vertx.cancelTimer(t)));
                    }));
        }
        Buffer pipelinedRequests = Buffer.buffer();
        for (int i = 0; i < workload.pipelineDepth(); i++)
            pipelinedRequests.appendString(
                    "GET " + PLAYLIST_PATH + "?CMCD=sid%3D%22p" + i + "%22 HTTP/1.1\r\nHost: x\r\n\r\n");
        for (int i = 0; i < workload.pipelines(); i++) {
            runAfter(
                    vertx,
                    rampUpMs * i / workload.pipelines(),
                    () -> openSocket(netClient, port, socket -> {
                        socket.pause();
                        socket.write(pipelinedRequests);
                    }));
        }
        for (int i = 0; i < workload.stalledReaders(); i++) {
            runAfter(
                    vertx,
                    rampUpMs * i / workload.stalledReaders(),
                    () -> httpClient
                            .request(HttpMethod.GET, port, "127.0.0.1", PLAYLIST_PATH)
                            .compose(HttpClientRequest::send)
                            .compose(r -> r.body())
                            .onSuccess(b -> requestWithoutReading(netClient, port, b.toString())));
        }
        String shortFields = "GET " + PLAYLIST_PATH + " HTTP/1.1\r\nHost: x\r\n" + "a:\r\n".repeat(SHORT_FIELDS);
        for (int i = 0; i < workload.shortFieldHeads(); i++) {
            runAfter(
                    vertx,
                    rampUpMs * i / workload.shortFieldHeads(),
                    () -> openSocket(netClient, port, socket -> socket.write(shortFields)));
        }
        for (int i = 0; i < workload.idleConnections(); i++)
            runAfter(vertx, rampUpMs * i / workload.idleConnections(), () -> openSocket(netClient, port, socket -> {}));
    }

    /** Requests three segments at once and reads no response. */
    private void requestWithoutReading(NetClient netClient, int port, String playlist) {
        if (!playlist.startsWith("#EXTM3U")) return; // rejected
        List<String> uris = Playlist.parseUris(playlist);
        openSocket(netClient, port, socket -> {
            socket.pause();
            for (int i = 0; i < 3; i++)
                socket.write(
                        "GET " + PLAYLIST_PATH.replace("index.m3u8", uris.get(i)) + " HTTP/1.1\r\nHost: x\r\n\r\n");
        });
    }

    private void openSocket(NetClient netClient, int port, java.util.function.Consumer<NetSocket> onConnected) {
        netClient.connect(port, "127.0.0.1").onSuccess(socket -> {
            socket.exceptionHandler(e -> {});
            sockets.add(socket);
            onConnected.accept(socket);
        });
    }

    private static void runAfter(Vertx vertx, double delayMs, Runnable task) {
        vertx.setTimer((long) Math.max(1, delayMs), t -> task.run());
    }
}
