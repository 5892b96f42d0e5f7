package trestleline.benchmark;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;

/** Servers for measurements: a media host that answers at once, without pacing, and a plain proxy as baseline. */
final class StubServers {
    private StubServers() {}

    /** Starts a media host that answers set-ups and segments at once; the result is its port. */
    static Future<Integer> startHost(Vertx vertx, int segmentBytes) {
        Buffer segment = Buffer.buffer(new byte[segmentBytes]);
        return vertx.createHttpServer()
                .requestHandler(request -> {
                    if (request.method() == HttpMethod.POST) {
                        request.response()
                                .setStatusCode(201)
                                .putHeader("Trestleline-Attempt", request.path().substring("/sessions/".length()))
                                .end();
                    } else if (request.method() == HttpMethod.DELETE) {
                        request.response().setStatusCode(204).end();
                    } else {
                        request.response()
                                .putHeader("CMSD-Dynamic", "\"host-a\";com.trestleline-share=1.0")
                                .end(segment);
                    }
                })
                .listen(0, "127.0.0.1")
                .map(HttpServer::actualPort);
    }

    /** Starts a proxy that only forwards requests to a local port and responses back; the result is its port. */
    static Future<Integer> startProxy(Vertx vertx, int targetPort) {
        HttpClientAgent client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(2048));
        return vertx.createHttpServer()
                .requestHandler(request -> forward(client, targetPort, request))
                .listen(0, "127.0.0.1")
                .map(HttpServer::actualPort);
    }

    private static void forward(HttpClientAgent client, int targetPort, HttpServerRequest request) {
        client.request(new RequestOptions()
                        .setHost("127.0.0.1")
                        .setPort(targetPort)
                        .setMethod(request.method())
                        .setURI(request.uri()))
                .compose(HttpClientRequest::send)
                .onComplete(response -> {
                    if (response.failed()) {
                        request.response().setStatusCode(502).end();
                        return;
                    }
                    request.response().setStatusCode(response.result().statusCode());
                    String length = response.result().getHeader("Content-Length");
                    if (length != null) request.response().putHeader("Content-Length", length);
                    else request.response().setChunked(true);
                    response.result().pipeTo(request.response());
                });
    }
}
