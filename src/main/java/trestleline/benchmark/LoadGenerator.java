package trestleline.benchmark;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.util.List;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;
import trestleline.media.Playlist;

/** Generates load for a set time by closed-loop clients, each of which always has one request in flight. */
final class LoadGenerator {
    private final Vertx vertx;
    private final HttpClientAgent client;
    private final int port;
    private final long deadlineNs;
    private final Histogram latencyUs = new Histogram(60_000_000L, 3);
    private long succeeded;
    private long failed;
    private int activeClients;
    private final Promise<LoadGenerator> completion = Promise.promise();

    private LoadGenerator(Vertx vertx, int port, double seconds) {
        this.vertx = vertx;
        this.port = port;
        client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(1024));
        deadlineNs = System.nanoTime() + (long) (seconds * 1e9);
    }

    /** Rate of successful requests per second, over a duration of {@code seconds}. */
    double requestsPerSecond(double seconds) {
        return succeeded / seconds;
    }

    /** Latencies of the timed requests, failed ones included, in microseconds. */
    Histogram latencyUs() {
        return latencyUs;
    }

    /** Number of failed requests. */
    long failed() {
        return failed;
    }

    /** Each client repeats one request; {@code path} maps the index of a client to its path. */
    static Future<LoadGenerator> repeatRequest(
            Vertx vertx, int port, int clients, double seconds, HttpMethod method, IntFunction<String> path) {
        var load = new LoadGenerator(vertx, port, seconds);
        vertx.runOnContext(v -> {
            load.activeClients = clients;
            for (int client = 0; client < clients; client++) load.requestAgain(method, path, client);
        });
        return load.completion.future();
    }

    private void requestAgain(HttpMethod method, IntFunction<String> path, int clientIndex) {
        if (System.nanoTime() >= deadlineNs) {
            clientFinished();
            return;
        }
        timedRequest(method, path.apply(clientIndex)).onComplete(r -> requestAgain(method, path, clientIndex));
    }

    private Future<byte[]> timedRequest(HttpMethod method, String path) {
        long startNs = System.nanoTime();
        return client.request(method, port, "127.0.0.1", path)
                .compose(HttpClientRequest::send)
                .compose(r -> r.body()
                        .compose(b -> r.statusCode() < 300
                                ? Future.succeededFuture(b.getBytes())
                                : Future.failedFuture("status " + r.statusCode())))
                .onComplete(r -> {
                    if (r.succeeded()) succeeded++;
                    else failed++;
                    latencyUs.recordValue(Math.min(60_000_000L, (System.nanoTime() - startNs) / 1000));
                });
    }

    /** Each client opens a session at a gateway and fetches its segments one after another; these are timed. */
    static Future<LoadGenerator> fetchSegments(Vertx vertx, int port, int clients, double seconds, String base) {
        var load = new LoadGenerator(vertx, port, seconds);
        vertx.runOnContext(v -> {
            load.activeClients = clients;
            for (int c = 0; c < clients; c++) load.openSession(base);
        });
        return load.completion.future();
    }

    private void openSession(String base) {
        client.request(HttpMethod.GET, port, "127.0.0.1", base + "index.m3u8")
                .compose(HttpClientRequest::send)
                .compose(r -> r.body())
                .onComplete(response -> {
                    if (response.failed() || !response.result().toString().startsWith("#EXTM3U")) {
                        failed++;
                        clientFinished();
                        return;
                    }
                    List<String> uris = Playlist.parseUris(response.result().toString());
                    fetchNextSegment(base, uris, 0);
                });
    }

    private void fetchNextSegment(String base, List<String> uris, int index) {
        if (System.nanoTime() >= deadlineNs) {
            clientFinished();
            return;
        }
        if (index >= uris.size()) {
            openSession(base);
            return;
        }
        timedRequest(HttpMethod.GET, base + uris.get(index)).onComplete(r -> fetchNextSegment(base, uris, index + 1));
    }

    /** Each client opens sessions and fetches the one segment of each; only the opening is timed. */
    static Future<LoadGenerator> openShortSessions(Vertx vertx, int port, int clients, double seconds, String base) {
        var load = new LoadGenerator(vertx, port, seconds);
        vertx.runOnContext(v -> {
            load.activeClients = clients;
            for (int c = 0; c < clients; c++) load.runShortSession(base);
        });
        return load.completion.future();
    }

    private void runShortSession(String base) {
        if (System.nanoTime() >= deadlineNs) {
            clientFinished();
            return;
        }
        timedRequest(HttpMethod.GET, base + "index.m3u8").onComplete(playlist -> {
            if (playlist.failed()) {
                runShortSession(base);
                return;
            }
            client.request(
                            HttpMethod.GET,
                            port,
                            "127.0.0.1",
                            base
                                    + Playlist.parseUris(new String(playlist.result()))
                                            .get(0))
                    .compose(HttpClientRequest::send)
                    .compose(r -> r.body())
                    .onComplete(x -> runShortSession(base));
        });
    }

    private void clientFinished() {
        if (--activeClients == 0) client.close().onComplete(x -> completion.complete(this));
    }
}
