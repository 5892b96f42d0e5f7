package trestleline.hosts;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trestleline.cmcd.Cmsd;
import trestleline.core.Attempt;
import trestleline.core.EndReason;
import trestleline.core.Gateway;
import trestleline.core.MediaHosts;
import trestleline.core.Session;
import trestleline.placement.Placement;

/**
 * The gateway's client for media hosts over HTTP/1.1 (docs/wire.md). A set-up provably never ran if no byte of it was
 * written, or if the host refused it by name. Anything else after the first byte (a reset, a time-out, an error, an
 * answer for another attempt) proves nothing, on a new connection as on a reused one. The HTTP library neither repeats
 * requests nor follows redirects here.
 */
public final class HttpHostClient implements MediaHosts, ReceiptSource {
    /** Response header that names the attempt that the response is about. */
    public static final String ATTEMPT_HEADER = "Trestleline-Attempt";
    /** Response header; {@code never} means that the host did not and will not run the attempt. */
    public static final String RAN_HEADER = "Trestleline-Ran";

    private static final Logger LOG = LoggerFactory.getLogger(HttpHostClient.class);
    private static final int MAX_RELEASE_TRIES = 3;
    private static final int MAX_CONNECTIONS_PER_HOST = 2048;
    /**
     * Time (s) after which idle connections are closed: before hosts close them, so that few set-ups are sent on a
     * connection that is being closed.
     */
    private static final int KEEP_ALIVE_S = 10;

    private final Vertx vertx;
    private final Placement.Rules rules;
    private final MeasurementThrottle throttle;
    private final boolean loadsInResponses;
    private final double silenceTimeoutMs;
    private final DoubleSupplier clock;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private Gateway gateway;
    private long brokenConnections;
    private boolean closed;

    /** A host's address, with the HTTP client that connects to it. */
    private static final class Endpoint {
        final String ip;
        final int port;
        HttpClientAgent client;
        /** Number of connections that the client has open, in an array of one that its handlers update. */
        int[] openConnections;

        int pendingRequests;
        boolean listed = true;
        /**
         * Attempts that play there. The endpoint is kept for them when the host is no longer listed, as a host that is
         * still alive has to be told when they end.
         */
        final Set<String> heldAttempts = new HashSet<>();

        Endpoint(String ip, int port) {
            this.ip = ip;
            this.port = port;
        }
    }

    /**
     * Creates a client that knows no hosts yet.
     *
     * @param silenceTimeoutMs time (ms) within which a host has to answer a request for media
     * @param clock the current time in ms
     */
    public HttpHostClient(Vertx vertx, Placement.Settings settings, double silenceTimeoutMs, DoubleSupplier clock) {
        this.vertx = vertx;
        this.rules = settings.rules();
        this.silenceTimeoutMs = silenceTimeoutMs;
        this.clock = clock;
        loadsInResponses = settings.reportVia().equals("piggyback");
        throttle = new MeasurementThrottle(settings.reportInterval(), loadsInResponses);
    }

    /** Sets the gateway that measurements from hosts are forwarded to. */
    public void attach(Gateway gateway) {
        this.gateway = gateway;
    }

    /**
     * Sets the address of a listed host. A host whose address changed gets a new endpoint, and the connections to the
     * old address are closed.
     */
    public void setHostAddress(String host, String ip, int port) {
        Endpoint endpoint = endpoints.get(host);
        if (closed) return;
        if (endpoint != null && endpoint.ip.equals(ip) && endpoint.port == port) {
            endpoint.listed = true;
            return;
        }
        if (endpoint != null && endpoint.client != null) endpoint.client.close();
        endpoints.put(host, new Endpoint(ip, port));
    }

    /**
     * Sets the hosts listed now; endpoints of others are removed once no request is pending and no session plays there.
     */
    public void setListedHosts(Set<String> hosts) {
        endpoints.forEach((name, endpoint) -> endpoint.listed = hosts.contains(name));
        endpoints.entrySet().removeIf(entry -> {
            boolean removable = !entry.getValue().listed
                    && entry.getValue().pendingRequests == 0
                    && entry.getValue().heldAttempts.isEmpty();
            if (removable) {
                throttle.remove(entry.getKey());
                if (entry.getValue().client != null) entry.getValue().client.close();
            }
            return removable;
        });
    }

    private HttpClientAgent clientFor(Endpoint endpoint) {
        if (endpoint.client == null) {
            int[] openConnections = {0};
            endpoint.client = vertx.httpClientBuilder()
                    .with(new HttpClientOptions()
                            .setConnectTimeout((int) Math.max(1, rules.connectTimeout()))
                            .setKeepAliveTimeout(KEEP_ALIVE_S)
                            .setMaxHeaderSize(16384))
                    .with(new PoolOptions()
                            .setHttp1MaxSize(MAX_CONNECTIONS_PER_HOST)
                            .setMaxWaitQueueSize(MAX_CONNECTIONS_PER_HOST))
                    .withConnectHandler(connection -> {
                        openConnections[0]++;
                        connection.exceptionHandler(e -> onConnectionError(endpoint, e));
                        connection.closeHandler(v -> openConnections[0]--);
                    })
                    .build();
            endpoint.openConnections = openConnections;
        }
        return endpoint.client;
    }

    /** Counts a broken connection; requests on it are failed by their own handlers. */
    private void onConnectionError(Endpoint endpoint, Throwable error) {
        brokenConnections++;
        LOG.atDebug()
                .addKeyValue("port", endpoint.port)
                .addKeyValue("cause", error.getMessage())
                .log("connection to a host broke");
    }

    /** Returns the number of connections to hosts that broke, for the operator. */
    public long brokenConnections() {
        return brokenConnections;
    }

    /** Opens no connections from now on: sessions not released yet are left to the hosts' own time-outs. */
    public void close() {
        endpoints.clear();
        closed = true;
    }

    private static RequestOptions requestOptions(Endpoint endpoint, HttpMethod method, String uri) {
        return new RequestOptions()
                .setHost(endpoint.ip)
                .setPort(endpoint.port)
                .setMethod(method)
                .setURI(uri);
    }

    /** Cancels a request whose outcome is already settled; its handlers, if any, change nothing. */
    private static void cancelRequest(HttpClientRequest request) {
        request.reset().onFailure(e -> LOG.atTrace().log("request had already finished"));
    }

    private static Map<String, Double> loadReport(HttpClientResponse response, String host) {
        return Cmsd.loadReport(Cmsd.numericParameters(response.getHeader(Cmsd.DYNAMIC_HEADER), host));
    }

    // Set-ups

    @Override
    public PendingSetUp setUp(Attempt attempt, SetUpListener listener) {
        var setUp = new SetUp(attempt, listener);
        setUp.connect();
        return setUp;
    }

    /** Writes a set-up as an HTTP request and reads its response. */
    private final class SetUp extends ExchangeDriver {
        private Endpoint endpoint;
        private HttpClientRequest request;
        private Map<String, Double> load = Map.of();

        SetUp(Attempt attempt, SetUpListener listener) {
            super(vertx, attempt, listener);
        }

        void connect() {
            endpoint = endpoints.get(attempt.host());
            if (endpoint == null) {
                handle(Exchange.Event.NO_ADDRESS);
                return;
            }
            endpoint.pendingRequests++;
            startConnectTimer(rules.connectTimeout());
            String uri =
                    "/sessions/" + attempt.id() + "?title=" + attempt.request().title() + "&class="
                            + attempt.requestClass().name() + "&tenant="
                            + attempt.request().tenant() + "&viewer="
                            + attempt.request().key()
                            + "&rung=" + attempt.rung();
            clientFor(endpoint)
                    .request(requestOptions(endpoint, HttpMethod.POST, uri))
                    .onComplete(result -> {
                        if (result.failed()) {
                            handle(Exchange.Event.CONNECT_FAILED);
                            return;
                        }
                        request = result.result();
                        request.exceptionHandler(e -> handle(Exchange.Event.BROKEN));
                        handle(Exchange.Event.CONNECTED);
                    });
        }

        @Override
        protected void finished() {
            if (endpoint != null) endpoint.pendingRequests--;
        }

        @Override
        protected void onPlaying() {
            endpoint.heldAttempts.add(attempt.id());
            listener.sessionStarted(load);
        }

        @Override
        protected void closeConnection() {
            if (request != null) cancelRequest(request);
        }

        @Override
        protected void releaseAtHost() {
            release(attempt);
        }

        @Override
        protected Map<String, Double> responseLoad() {
            return load;
        }

        @Override
        protected void writeSetUp() {
            request.putHeader("Content-Length", "0");
            request.send().onComplete(result -> {
                if (result.failed()) {
                    handle(Exchange.Event.BROKEN);
                    return;
                }
                HttpClientResponse response = result.result();
                response.exceptionHandler(e -> {}); // only the response head counts
                if (loadsInResponses) load = loadReport(response, attempt.host());
                handle(Exchange.classifyResponse(
                        response.statusCode(),
                        response.getHeader(ATTEMPT_HEADER),
                        response.getHeader(RAN_HEADER),
                        attempt.id()));
            });
        }
    }

    // Probes and releases

    @Override
    public void probe(String host, ProbeListener listener) {
        Endpoint endpoint = endpoints.get(host);
        if (endpoint == null) {
            listener.probeEnded(false, Map.of());
            return;
        }
        clientFor(endpoint)
                .request(requestOptions(endpoint, HttpMethod.GET, "/status").setTimeout((long) rules.connectTimeout()))
                .compose(HttpClientRequest::send)
                .onComplete(result -> {
                    boolean ok = result.succeeded() && result.result().statusCode() == 200;
                    listener.probeEnded(ok, ok ? loadReport(result.result(), host) : Map.of());
                });
    }

    @Override
    public void release(Attempt attempt) {
        release(attempt, 1);
    }

    private void release(Attempt attempt, int tries) {
        Endpoint endpoint = endpoints.get(attempt.host());
        if (endpoint == null) return;
        endpoint.heldAttempts.remove(attempt.id());
        endpoint.pendingRequests++;
        clientFor(endpoint)
                .request(requestOptions(endpoint, HttpMethod.DELETE, "/sessions/" + attempt.id())
                        .setTimeout((long) (4 * rules.connectTimeout())))
                .compose(HttpClientRequest::send)
                .onComplete(result -> {
                    endpoint.pendingRequests--;
                    if (result.succeeded() || tries >= MAX_RELEASE_TRIES) return;
                    vertx.setTimer(100L << tries, t -> release(attempt, tries + 1));
                });
    }

    // Receipts

    @Override
    public Set<String> hostNames() {
        return Set.copyOf(endpoints.keySet());
    }

    @Override
    public Future<Boolean> queryAttempt(String host, String attempt) {
        return fetchText(host, "/receipts/" + attempt).compose(text -> switch (text.trim()) {
            case "ran" -> Future.succeededFuture(true);
            case "never" -> Future.succeededFuture(false);
            default -> Future.failedFuture("the receipt is neither 'ran' nor 'never'");
        });
    }

    @Override
    public Future<List<Receipt>> listReceipts(String host, String gatewayName, double after) {
        return fetchText(host, "/receipts?gateway=" + gatewayName + "&after=" + (long) after)
                .map(text -> {
                    List<Receipt> receipts = new ArrayList<>();
                    for (String line : text.split("\n")) {
                        String[] fields = line.split(" ");
                        if (fields.length == 6) {
                            receipts.add(new Receipt(
                                    fields[0],
                                    fields[1],
                                    fields[2],
                                    Long.parseLong(fields[3]),
                                    Long.parseLong(fields[4]),
                                    Double.parseDouble(fields[5])));
                        }
                    }
                    return receipts;
                });
    }

    private Future<String> fetchText(String host, String uri) {
        Endpoint endpoint = endpoints.get(host);
        if (endpoint == null) return Future.failedFuture("no address for " + host);
        Promise<String> promise = Promise.promise();
        long timer = vertx.setTimer((long) (8 * rules.connectTimeout()), t -> promise.tryFail("no answer in time"));
        clientFor(endpoint)
                .request(requestOptions(endpoint, HttpMethod.GET, uri))
                .compose(HttpClientRequest::send)
                .compose(response -> response.statusCode() == 200
                        ? response.body()
                        : Future.failedFuture("status " + response.statusCode()))
                .onComplete(result -> {
                    vertx.cancelTimer(timer);
                    if (result.succeeded()) promise.tryComplete(result.result().toString());
                    else promise.tryFail(result.cause());
                });
        return promise.future();
    }

    /**
     * Lets the next request open a new connection; requests pending on the old connections still complete there. The
     * HTTP library's own shutdown would fail a set-up that still waits for its connection, so the old client is closed
     * only when its connections have closed after their idle time.
     */
    @Override
    public void closeIdleConnections(String host) {
        Endpoint endpoint = endpoints.get(host);
        if (endpoint == null || endpoint.client == null) return;
        closeWhenIdle(endpoint.client, endpoint.openConnections);
        endpoint.client = null;
    }

    private void closeWhenIdle(HttpClientAgent client, int[] openConnections) {
        vertx.setTimer(1000L * KEEP_ALIVE_S, t -> {
            if (openConnections[0] == 0) client.close();
            else closeWhenIdle(client, openConnections);
        });
    }

    // Media

    /**
     * Requests one piece of media from the session's host, at the session's current rung. The response is paused; the
     * caller reads it.
     *
     * @param fileName the name of a segment, or of the initialization segment
     * @return the response, or a failure with a {@link MediaRequestException}
     */
    public Future<HttpClientResponse> requestMedia(Session session, String fileName) {
        String host = session.host();
        Endpoint endpoint = endpoints.get(host);
        if (endpoint == null)
            return Future.failedFuture(new MediaRequestException("no address for " + host, EndReason.HOST_LOST));
        endpoint.heldAttempts.add(session.attempt().id());
        endpoint.pendingRequests++;
        Promise<HttpClientResponse> promise = Promise.promise();
        HttpClientRequest[] sent = new HttpClientRequest[1];
        long timer = vertx.setTimer((long) silenceTimeoutMs, t -> {
            if (!promise.tryFail(new MediaRequestException(host + " did not answer in time", EndReason.HOST_SILENT)))
                return;
            if (sent[0] != null) cancelRequest(sent[0]);
        });
        String uri = "/sessions/" + session.attempt().id() + "/" + session.rung() + "/" + fileName;
        clientFor(endpoint)
                .request(requestOptions(endpoint, HttpMethod.GET, uri))
                .compose(request -> {
                    sent[0] = request;
                    if (promise.future().isComplete()) cancelRequest(request);
                    return request.send();
                })
                .onComplete(result -> {
                    vertx.cancelTimer(timer);
                    if (result.failed()) {
                        promise.tryFail(new MediaRequestException(
                                host + ": " + result.cause().getMessage(), EndReason.HOST_LOST));
                        return;
                    }
                    HttpClientResponse response = result.result();
                    response.pause();
                    response.exceptionHandler(e -> {}); // replaced by the caller's own handler
                    forwardMeasurements(session, response);
                    int status = response.statusCode();
                    if (status == 200 && promise.tryComplete(response)) return;
                    EndReason sessionEnd = status == 404 || status == 410 ? EndReason.HOST_LOST : null;
                    promise.tryFail(new MediaRequestException(host + " answered " + status, sessionEnd));
                    response.resume();
                });
        promise.future().onComplete(r -> endpoint.pendingRequests--);
        return promise.future();
    }

    private void forwardMeasurements(Session session, HttpClientResponse response) {
        Map<String, Double> values = Cmsd.numericParameters(response.getHeader(Cmsd.DYNAMIC_HEADER), session.host());
        Double share = values.get(Cmsd.SHARE_KEY);
        for (MeasurementThrottle.Measurement measurement :
                throttle.takeDue(session.host(), clock.getAsDouble(), share, Cmsd.loadReport(values))) {
            gateway.reportSessionNotice(session, measurement.kind(), measurement.value());
        }
    }

    /** Returns the share of their rates that sessions at this host got, as last forwarded; 1 if it was never short. */
    public double deliveredShare(String host) {
        return throttle.lastShare(host);
    }

    /** Returns the number of hosts with an address held here, for the operator. */
    public int endpoints() {
        return endpoints.size();
    }
}
