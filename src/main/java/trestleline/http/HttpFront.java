package trestleline.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import trestleline.cmcd.Cmcd;
import trestleline.cmcd.Cmsd;
import trestleline.config.GatewayConfig;
import trestleline.core.EndReason;
import trestleline.core.Gateway;
import trestleline.core.OpenSession;
import trestleline.core.Session;
import trestleline.core.Viewer;
import trestleline.hosts.HttpHostClient;
import trestleline.hosts.MediaRequestException;
import trestleline.media.Container;
import trestleline.media.LiveWindow;
import trestleline.media.Playlist;

/**
 * Serves HLS over HTTP/1.1 with CMCD and CMSD (docs/wire.md). A request for a playlist is a request for a session and
 * is held until the gateway answers it; segments are relayed from the session's host at the session's current rung. A
 * playlist that the same {@code sid} requests again while its session is pending or playing counts as the same request,
 * so that a player's retries set up no second session.
 *
 * <p>Not thread-safe: every method must be called on the gateway's event loop.
 */
public final class HttpFront {
    /** Response header with the id of the request, by which an answer can be found in the logs. */
    public static final String REQUEST_ID_HEADER = "Trestleline-Request";

    private static final String PLAYLIST_TYPE = "application/vnd.apple.mpegurl";
    private static final double SWEEP_INTERVAL_MS = 500;
    /** Bytes of a segment that may be queued for a viewer; reading from the host pauses at this limit. */
    private static final int WRITE_QUEUE_BYTES = 16384;

    private final Vertx vertx;
    private final GatewayConfig config;
    private final Gateway gateway;
    private final HttpHostClient hosts;
    private final DoubleSupplier clock;
    private final SessionRequests sessionRequests;
    private final ViewerTimeout viewerTimeout;
    private final Connections<ServedSession> connections;
    private final Cors cors;
    private final String entityName;
    private final SecureRandom random = new SecureRandom();
    private final Map<String, PendingRequest> pendingByIdentity = new HashMap<>();
    private final Map<String, ServedSession> byToken = new HashMap<>();
    private final Map<String, ServedSession> byIdentity = new HashMap<>();
    private final Map<Session, ServedSession> bySession = new HashMap<>();
    private HttpServer server;
    private long badRequests;
    private long hintsIgnored;
    private long requestsWithHints;
    private long segmentsSent;
    private long segmentsFailed;
    private long requestsTurnedAway;
    private long unnamedViewers;
    private boolean draining;

    /**
     * A session as it is handed over to the next process.
     *
     * @param open the gateway's record of the session
     * @param token path component that names the session in URLs
     * @param identity the viewer's identity, or null if it sent no {@code sid}
     * @param title name of the title
     */
    public record HandedOver(OpenSession open, String token, String identity, String title) {}

    /** A session and what is needed to serve it. */
    private final class ServedSession {
        final Session session;
        final GatewayConfig.Title title;
        final String token;
        final String identity;
        /** Whether the class is live: segments appear as time passes, and the session has no last segment. */
        final boolean live;

        double lastSeenMs = clock.getAsDouble();
        double reportedBufferMs = Double.NaN;
        int openTransfers;

        ServedSession(Session session, GatewayConfig.Title title, String token, String identity) {
            this.session = session;
            this.title = title;
            this.token = token;
            this.identity = identity;
            live = sessionRequests.requestClass(session.request().service()).live();
            byToken.put(token, this);
            connections.sessionStarted(this);
            bySession.put(session, this);
            if (identity != null) byIdentity.put(identity, this);
        }

        void remove() {
            if (byToken.remove(token) != null) connections.sessionEnded(this);
            removeFromIndexes();
        }

        private void removeFromIndexes() {
            bySession.remove(session);
            if (identity != null) byIdentity.remove(identity, this);
        }
    }

    /** A request that awaits the gateway's answer, with every HTTP request to be answered by it. */
    private final class PendingRequest implements Viewer {
        final List<HttpServerRequest> httpRequests = new ArrayList<>();
        final GatewayConfig.Title title;
        final String identity;
        final double startedAtMs = clock.getAsDouble();
        long requestId;

        PendingRequest(GatewayConfig.Title title, String identity) {
            this.title = title;
            this.identity = identity;
            if (identity != null) pendingByIdentity.put(identity, this);
        }

        void join(HttpServerRequest request) {
            httpRequests.add(request);
            request.response().closeHandler(v -> {
                if (httpRequests.remove(request) && httpRequests.isEmpty()) {
                    if (identity != null) pendingByIdentity.remove(identity, this);
                    gateway.cancelRequest(requestId);
                }
            });
        }

        /** Removes this request and returns the HTTP requests to answer, with the request id set on each response. */
        private List<HttpServerRequest> takeHttpRequests() {
            if (identity != null) pendingByIdentity.remove(identity, this);
            List<HttpServerRequest> taken = List.copyOf(httpRequests);
            httpRequests.clear();
            for (HttpServerRequest request : taken)
                request.response()
                        .putHeader(REQUEST_ID_HEADER, config.settings().gatewayIndex() + "-" + requestId);
            return taken;
        }

        @Override
        public void granted(Session session) {
            byte[] bytes = new byte[16];
            random.nextBytes(bytes);
            String token = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
            var served = new ServedSession(session, title, token, identity);
            for (HttpServerRequest request : takeHttpRequests())
                sendPlaylist(request, served, clock.getAsDouble() - startedAtMs);
        }

        @Override
        public void refused(double retryAfterMs) {
            for (HttpServerRequest request : takeHttpRequests()) {
                if (retryAfterMs > 0) {
                    request.response().putHeader("Retry-After", Long.toString((long) Math.ceil(retryAfterMs / 1000)));
                }
                sendText(request.response(), 503, "no room now");
            }
        }

        @Override
        public void failed() {
            for (HttpServerRequest request : takeHttpRequests())
                sendText(request.response(), 502, "the session could not be set up");
        }

        @Override
        public void ended(Session session, EndReason reason) {
            removeSession(session);
        }
    }

    /**
     * Ends a session to free memory. Only sessions from which nothing has been fetched are shed; the viewer may request
     * another one.
     */
    private void shed(ServedSession served) {
        byToken.remove(served.token);
        served.removeFromIndexes();
        gateway.endSession(served.session, EndReason.VIEWER_GONE);
    }

    private void removeSession(Session session) {
        ServedSession served = bySession.get(session);
        if (served != null) served.remove();
    }

    /**
     * Creates a front that does not listen yet.
     *
     * @param vertx provides the server and the timers
     * @param config settings of the gateway
     * @param gateway places the sessions
     * @param hosts client from which segments are fetched
     * @param clock current time, in milliseconds since the epoch
     */
    public HttpFront(Vertx vertx, GatewayConfig config, Gateway gateway, HttpHostClient hosts, DoubleSupplier clock) {
        this.vertx = vertx;
        this.config = config;
        this.gateway = gateway;
        this.hosts = hosts;
        this.clock = clock;
        sessionRequests = new SessionRequests(config.settings());
        viewerTimeout =
                new ViewerTimeout(config.limits().bufferMs(), config.media().segmentS() * 1000);
        connections = new Connections<>(vertx, config.limits(), clock, this::shed);
        cors = new Cors(config.listen().origins());
        entityName = "trestleline-" + config.settings().gatewayIndex();
    }

    /** Starts to listen; the future holds the port, or fails if the address cannot be bound. */
    public Future<Integer> start() {
        int idleTimeoutS = (int) Math.max(1, Math.ceil(config.limits().idleMs() / 1000));
        server = vertx.createHttpServer(new HttpServerOptions()
                .setMaxHeaderSize(config.limits().headBytes())
                .setMaxInitialLineLength(4096)
                .setIdleTimeout(idleTimeoutS)
                .setMaxFormAttributeSize(0)
                .setTcpNoDelay(true)
                .setHandle100ContinueAutomatically(false)
                .setHttp2ClearTextEnabled(false)
                .setReuseAddress(true));
        server.connectionHandler(connections::opened);
        server.exceptionHandler(e -> badRequests++);
        server.requestHandler(this::handleRequest);
        vertx.setTimer((long) SWEEP_INTERVAL_MS, t -> sweepSessions());
        return server.listen(config.listen().port(), config.listen().host()).map(HttpServer::actualPort);
    }

    /** Accepts no new sessions from now on; playing sessions are served further. */
    public void drain() {
        draining = true;
    }

    /** Closes the server and its connections; does nothing if it was not started. */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    /** Returns the playing sessions, for the next process of this gateway to {@link #resume}. */
    public List<HandedOver> handOver() {
        List<HandedOver> handedOver = new ArrayList<>();
        for (ServedSession served : byToken.values()) {
            handedOver.add(new HandedOver(
                    gateway.handOver(served.session), served.token, served.identity, served.title.name()));
        }
        return handedOver;
    }

    /**
     * Resumes a session that an earlier process served.
     *
     * @param handedOver the session as {@link #handOver} returned it
     * @return false if the session's title or class is no longer configured; it is not resumed then
     */
    public boolean resume(HandedOver handedOver) {
        GatewayConfig.Title title = config.titles().get(handedOver.title());
        if (title == null
                || sessionRequests.requestClass(handedOver.open().ask().service()) == null) return false;
        PendingRequest viewer = new PendingRequest(title, null);
        new ServedSession(
                gateway.resumeSession(handedOver.open(), viewer), title, handedOver.token(), handedOver.identity());
        return true;
    }

    private void handleRequest(HttpServerRequest request) {
        connections.requestReceived(request.connection());
        HttpServerResponse response = request.response();
        response.exceptionHandler(e -> {});
        response.endHandler(v -> connections.responseSent(request.connection()));
        if (request.decoderResult().isFailure()) {
            badRequests++;
            sendText(response, 400, "malformed");
            return;
        }
        cors.addHeaders(request, response);
        if (request.method() == HttpMethod.OPTIONS) {
            cors.answerPreflight(request, response);
            return;
        }
        HlsRequest hlsRequest = HlsRequest.of(request.path());
        if (hlsRequest == null) {
            if (request.path() != null && request.path().equals("/-/status")) sendStatus(response);
            else sendNotFound(response, "no such path");
        } else if (request.method() == HttpMethod.HEAD) {
            handleHead(response, hlsRequest);
        } else if (request.method() != HttpMethod.GET) {
            badRequests++;
            response.putHeader("Allow", "GET, HEAD, OPTIONS");
            sendText(response, 405, "only GET");
        } else if (hlsRequest.requestsSession()) requestSession(request, hlsRequest);
        else if (hlsRequest.requestsLivePlaylist()) sendLivePlaylist(request, hlsRequest);
        else relaySegment(request, hlsRequest);
    }

    /** Answers a {@code HEAD} as a {@code GET} would be, without its effects: no session is requested. */
    private void handleHead(HttpServerResponse response, HlsRequest hlsRequest) {
        ServedSession served = hlsRequest.requestsSession() ? null : byToken.get(hlsRequest.token());
        boolean found = hlsRequest.requestsSession()
                ? isConfigured(hlsRequest)
                : served != null && served.session.open() && exists(served, hlsRequest);
        response.setStatusCode(found ? 200 : hlsRequest.requestsSession() ? 404 : 410)
                .putHeader("Cache-Control", "no-store");
        if (found)
            response.putHeader(
                    "Content-Type",
                    hlsRequest.requestsSession() || hlsRequest.requestsLivePlaylist()
                            ? PLAYLIST_TYPE
                            : served.title.container().mediaType());
        response.end();
    }

    private boolean isConfigured(HlsRequest hlsRequest) {
        return config.titles().containsKey(hlsRequest.title())
                && sessionRequests.requestClass(hlsRequest.service()) != null
                && config.settings().tenants().stream()
                        .anyMatch(tenant -> tenant.name().equals(hlsRequest.tenant()));
    }

    /** Returns whether the session has the file that is requested. */
    private boolean exists(ServedSession served, HlsRequest hlsRequest) {
        if (!served.title.name().equals(hlsRequest.title())) return false;
        if (hlsRequest.requestsLivePlaylist()) return served.live;
        if (hlsRequest.requestsInitializationSegment()) return served.title.container() == Container.FMP4;
        if (!hlsRequest.of(served.title.container())) return false;
        return served.live
                ? config.media().liveWindow().serves(hlsRequest.segmentNumber(), clock.getAsDouble())
                : hlsRequest.segmentNumber()
                        < Playlist.segmentCount(
                                served.title.seconds(), config.media().segmentS());
    }

    private void sendNotFound(HttpServerResponse response, String text) {
        badRequests++;
        sendText(response, 404, text);
    }

    private static void sendText(HttpServerResponse response, int status, String text) {
        if (response.ended() || response.closed()) return;
        response.setStatusCode(status)
                .putHeader("Content-Type", "text/plain")
                .putHeader("Cache-Control", "no-store")
                .end(text + "\n");
    }

    private Cmcd readHints(HttpServerRequest request) {
        Cmcd hints = Cmcd.fromHeaders(
                request.getHeader("CMCD-Object"),
                request.getHeader("CMCD-Request"),
                request.getHeader("CMCD-Status"),
                request.getHeader("CMCD-Session"));
        if (!hints.hasHints() && hints.ignoredCount() == 0) hints = Cmcd.fromQuery(request.query());
        hintsIgnored += hints.ignoredCount();
        if (hints.hasHints()) requestsWithHints++;
        return hints;
    }

    private void requestSession(HttpServerRequest request, HlsRequest hlsRequest) {
        HttpServerResponse response = request.response();
        GatewayConfig.Title title = config.titles().get(hlsRequest.title());
        if (!isConfigured(hlsRequest)) {
            sendNotFound(response, "no such tenant, class or title");
            return;
        }
        Cmcd hints = readHints(request);
        // A sid identifies one viewer of one title. Without a sid, each request counts as a viewer of its own.
        String identity = hints.sessionId() == null
                ? null
                : String.join("/", hlsRequest.tenant(), hlsRequest.service(), hlsRequest.title(), hints.sessionId());
        ServedSession served = identity == null ? null : byIdentity.get(identity);
        if (served != null) {
            served.lastSeenMs = clock.getAsDouble();
            sendPlaylist(request, served, 0);
            return;
        }
        PendingRequest samePending = identity == null ? null : pendingByIdentity.get(identity);
        if (samePending != null) {
            samePending.join(request);
            return;
        }
        if (draining
                || gateway.counts().waiting() + byToken.size()
                        >= config.limits().open()
                || !connections.admitsSession(identity != null)) {
            requestsTurnedAway++;
            response.putHeader("Retry-After", "1");
            sendText(response, 503, "turned away at the door");
            return;
        }
        PendingRequest pending = new PendingRequest(title, identity);
        pending.join(request);
        pending.requestId = gateway.request(
                sessionRequests.create(hlsRequest, title, hints, "unnamed-" + unnamedViewers++), pending);
    }

    /**
     * Returns this gateway's {@code CMSD-Dynamic} parameters: duress, estimated throughput (kbit/s), maximum suggested
     * bitrate (kbit/s) and response delay (ms).
     */
    private Map<String, Object> hopParameters(Session session, double delayMs) {
        long rateKbps = Math.round(sessionRequests.rateKbps(session.request().service(), session.rung()));
        double deliveredShare = hosts.deliveredShare(session.host());
        Map<String, Object> parameters = new LinkedHashMap<>();
        if (deliveredShare < 0.98) parameters.put("du", true);
        parameters.put("etp", Math.max(1, Math.round(rateKbps * deliveredShare)));
        parameters.put("mb", rateKbps);
        parameters.put("rd", Math.round(delayMs));
        return parameters;
    }

    private void sendPlaylist(HttpServerRequest request, ServedSession served, double delayMs) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) return;
        connections.playlistSent(request.connection());
        response.putHeader("Content-Type", PLAYLIST_TYPE)
                .putHeader("Cache-Control", "no-store")
                .putHeader(Cmsd.STATIC_HEADER, Cmsd.formatStatic(Map.of("n", entityName)))
                .putHeader(
                        Cmsd.DYNAMIC_HEADER, Cmsd.appendHop(null, entityName, hopParameters(served.session, delayMs)))
                .end(
                        served.live
                                ? Playlist.liveMaster(served.token, served.title.container(), peakBitsPerSecond(served))
                                : Playlist.vod(
                                        served.token,
                                        served.title.container(),
                                        served.title.seconds(),
                                        config.media().segmentS()));
    }

    private long peakBitsPerSecond(ServedSession served) {
        return Math.round(sessionRequests.rateKbps(
                        served.session.request().service(),
                        config.settings().ladder().ratesKb().length - 1)
                * 1000);
    }

    /** Sends the current media playlist of a live session. Counts as activity of the viewer; requests no session. */
    private void sendLivePlaylist(HttpServerRequest request, HlsRequest hlsRequest) {
        ServedSession served = findSession(request, hlsRequest);
        if (served == null) return;
        LiveWindow window = config.media().liveWindow();
        connections.mediaRequested(request.connection(), served);
        request.response()
                .putHeader("Content-Type", PLAYLIST_TYPE)
                .putHeader("Cache-Control", "no-store")
                .end(Playlist.liveMedia(
                        served.title.container(),
                        config.media().segmentS(),
                        window.oldestListed(clock.getAsDouble()),
                        window.listedSegments()));
    }

    /**
     * Returns the session that a request names, and records that its viewer is active; returns null if there is no such
     * session or file, after having answered the request.
     */
    private ServedSession findSession(HttpServerRequest request, HlsRequest hlsRequest) {
        ServedSession served = byToken.get(hlsRequest.token());
        if (served == null || !served.session.open()) {
            sendText(request.response(), 410, "no such session; ask for the playlist again");
            return null;
        }
        if (!exists(served, hlsRequest)) {
            sendNotFound(request.response(), "no such segment");
            return null;
        }
        readHints(request).bufferMs().ifPresent(bufferMs -> served.reportedBufferMs = bufferMs);
        served.lastSeenMs = clock.getAsDouble();
        return served;
    }

    private void relaySegment(HttpServerRequest request, HlsRequest hlsRequest) {
        ServedSession served = findSession(request, hlsRequest);
        if (served == null) return;
        connections.mediaRequested(request.connection(), served);
        served.openTransfers++;
        boolean last = !served.live
                && hlsRequest.segmentNumber()
                        == Playlist.segmentCount(
                                        served.title.seconds(), config.media().segmentS())
                                - 1;
        new SegmentTransfer(served, request.response(), last).fetch(hlsRequest.file(), served.lastSeenMs);
    }

    /** Relays one segment from host to viewer, with bounded memory whichever of the two stalls. */
    private final class SegmentTransfer {
        private final ServedSession served;
        private final HttpServerResponse viewerResponse;
        private final boolean last;
        private HttpClientResponse hostResponse;
        private double lastProgressMs;
        private boolean paused;
        private boolean done;

        SegmentTransfer(ServedSession served, HttpServerResponse viewerResponse, boolean last) {
            this.served = served;
            this.viewerResponse = viewerResponse;
            this.last = last;
        }

        void fetch(String file, double requestedAtMs) {
            viewerResponse.closeHandler(v -> finish(false));
            hosts.requestMedia(served.session, file).onComplete(result -> {
                if (result.failed()) {
                    fetchFailed(result.cause());
                } else if (done) {
                    hostResponse = result.result();
                    resetHostRequest();
                } else {
                    hostResponse = result.result();
                    relay(requestedAtMs);
                }
            });
        }

        private void relay(double requestedAtMs) {
            lastProgressMs = clock.getAsDouble();
            viewerResponse.setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
            String hostHops = hostResponse.getHeader(Cmsd.DYNAMIC_HEADER);
            String length = hostResponse.getHeader("Content-Length");
            String hostStatic = hostResponse.getHeader(Cmsd.STATIC_HEADER);
            if (length != null) viewerResponse.putHeader("Content-Length", length);
            else viewerResponse.setChunked(true);
            if (hostStatic != null) viewerResponse.putHeader(Cmsd.STATIC_HEADER, hostStatic);
            // Parts of a segment are not served; a Range request may be answered with the whole (RFC 9110, 14.2).
            viewerResponse.putHeader("Accept-Ranges", "none");
            viewerResponse
                    .putHeader("Content-Type", served.title.container().mediaType())
                    .putHeader("Cache-Control", "no-store")
                    .putHeader(
                            Cmsd.DYNAMIC_HEADER,
                            Cmsd.appendHop(
                                    hostHops,
                                    entityName,
                                    hopParameters(served.session, lastProgressMs - requestedAtMs)));
            hostResponse.handler(bytes -> {
                lastProgressMs = clock.getAsDouble();
                served.lastSeenMs = lastProgressMs;
                if (done) return;
                viewerResponse.write(bytes);
                if (!viewerResponse.writeQueueFull()) return;
                paused = true;
                hostResponse.pause();
                viewerResponse.drainHandler(v -> {
                    paused = false;
                    lastProgressMs = clock.getAsDouble();
                    hostResponse.resume();
                });
            });
            hostResponse.exceptionHandler(e -> hostStopped(EndReason.HOST_LOST));
            hostResponse.endHandler(v -> {
                if (done) return;
                viewerResponse.end();
                finish(true);
            });
            watchHost();
            hostResponse.resume();
        }

        /**
         * Detects a host that stops in the middle of a segment. A viewer that stops reading is caught by the idle
         * timeout of its connection instead.
         */
        private void watchHost() {
            vertx.setTimer((long) config.media().silentMs(), t -> {
                if (done) return;
                if (!paused
                        && clock.getAsDouble() - lastProgressMs
                                >= config.media().silentMs()) hostStopped(EndReason.HOST_SILENT);
                else watchHost();
            });
        }

        private void hostStopped(EndReason reason) {
            if (done) return;
            finish(false);
            gateway.endSession(served.session, reason);
            viewerResponse.reset();
        }

        private void fetchFailed(Throwable cause) {
            EndReason reason =
                    cause instanceof MediaRequestException failure ? failure.sessionEnd() : EndReason.HOST_LOST;
            boolean alreadyDone = done;
            if (!done) finish(false);
            segmentsFailed++;
            if (reason != null) gateway.endSession(served.session, reason);
            if (!alreadyDone)
                sendText(viewerResponse, reason == EndReason.HOST_SILENT ? 504 : 502, "the host did not deliver");
        }

        private void resetHostRequest() {
            hostResponse.request().reset();
        }

        private void finish(boolean complete) {
            if (done) return;
            done = true;
            served.openTransfers--;
            served.lastSeenMs = clock.getAsDouble();
            if (hostResponse != null && !complete) resetHostRequest();
            if (!complete) return;
            segmentsSent++;
            if (last && served.session.open()) {
                served.remove();
                gateway.endSession(served.session, EndReason.PLAYED_OUT);
            }
        }
    }

    /** Removes ended sessions and ends those whose viewer has timed out; repeats itself. */
    private void sweepSessions() {
        double nowMs = clock.getAsDouble();
        for (ServedSession served : List.copyOf(byToken.values())) {
            if (!served.session.open()) {
                served.remove();
            } else if (served.openTransfers == 0
                    && nowMs - served.lastSeenMs
                            > viewerTimeout.timeoutMs(served.reportedBufferMs) + gateway.loopLag()) {
                served.remove();
                gateway.endSession(served.session, EndReason.VIEWER_GONE);
            }
        }
        vertx.setTimer((long) SWEEP_INTERVAL_MS, t -> sweepSessions());
    }

    private void sendStatus(HttpServerResponse response) {
        var counts = gateway.counts();
        var json = new io.vertx.core.json.JsonObject()
                .put("gateway", config.settings().gatewayIndex())
                .put("asked", counts.asked())
                .put("granted", counts.granted())
                .put("refused", counts.refused())
                .put("failed", counts.failed())
                .put("left", counts.left())
                .put("attempts", counts.attempts())
                .put("droppedBeforeWrite", counts.dropped())
                .put("overdue", counts.overdue())
                .put("moduleBugs", counts.bugs())
                .put("stalls", counts.stalls())
                .put("waiting", counts.waiting())
                .put("playing", counts.playing())
                .put("hosts", counts.hosts())
                .put("listVersion", counts.listVersion())
                .put("connections", connections.openCount())
                .put("connectionsTurnedAway", connections.turnedAway())
                .put("connectionsTimedOut", connections.timedOut())
                .put("connectionsShed", connections.budget().connectionsShedCount())
                .put("connectionsCrowded", connections.queueOverflows())
                .put("sessionsShed", connections.budget().sessionsShedCount())
                .put("memory", connections.budget().usedBytes())
                .put("memoryLimit", connections.budget().limitBytes())
                .put("memoryStep", Connections.OVERSHOOT_BYTES)
                .put("badRequests", badRequests)
                .put("hinted", requestsWithHints)
                .put("hintsIgnored", hintsIgnored)
                .put("segments", segmentsSent)
                .put("segmentsFailed", segmentsFailed)
                .put("turnedAway", requestsTurnedAway)
                .put("tokens", byToken.size())
                .put("links", hosts.endpoints())
                .put("hostConnectionsBroken", hosts.brokenConnections())
                .put("draining", draining);
        response.putHeader("Content-Type", "application/json").end(json.encode() + "\n");
    }

    /** Returns how many sessions and pending requests are kept here, for tests that look for leaks. */
    public int openSessionsAndRequests() {
        return byToken.size() + pendingByIdentity.size();
    }
}
