package trestleline.emulation;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import trestleline.cmcd.Cmsd;
import trestleline.conformance.TrafficEvent;
import trestleline.media.Container;
import trestleline.media.Fmp4;
import trestleline.placement.Placement;

/**
 * Emulates a media host (docs/wire.md): accepts set-ups and serves silent media, paced by its link and its rack's
 * uplink. It warms up after a start, goes down when overloaded while cold, and has methods that inject faults. All
 * calls are made on the event loop of its Vert.x instance, which has a single one.
 */
public final class MediaHost {
    /**
     * Description of a host.
     *
     * @param slot index of its place in the fleet
     * @param slots sessions that it holds when warm
     * @param linkKb capacity of its link, kB a second
     */
    public record Spec(String name, String kind, String zone, int slot, int slots, double linkKb) {}

    /** State of a host. */
    public enum Mode {
        /** Not started, or crashed. */
        DOWN,
        /** Serves requests. */
        RUNNING,
        /** Reads requests but does not answer them. */
        HUNG,
        /** Neither answers nor closes connections. */
        UNREACHABLE,
        /** Went down because it was overloaded while cold. */
        OVERLOADED
    }

    private static final Pattern SESSION =
            Pattern.compile("/sessions/([A-Za-z0-9-]{1,80})(?:/(\\d{1,2})/(?:(\\d{1,12})\\.(aac|ts|m4s)|init\\.mp4))?");
    private static final double TICK_MS = 50;
    /** Time without use after which a session is released, ms. */
    private static final double IDLE_MS = 20_000;

    private static final int MAX_CACHED_SEGMENTS = 512;

    private final Vertx vertx;
    private final Spec spec;
    private final Rack rack;
    private final HostModel model;
    private final Trace trace;
    private final DoubleSupplier clock;
    private final SplittableRandom random;
    private final Map<String, Session> sessions = new LinkedHashMap<>();
    /**
     * Receipts by attempt: the line of a paid set-up that ran, or an empty one for an attempt that was asked for and
     * must never run. They are kept over restarts and are never removed.
     */
    private final Map<String, String> receipts = new LinkedHashMap<>();

    private final Map<String, Double> ranAt = new LinkedHashMap<>();
    private final Set<HttpConnection> connections = new HashSet<>();
    private final ArrayDeque<Double> recentSetUps = new ArrayDeque<>();
    private final Map<String, Buffer> segmentCache = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Buffer> eldest) {
            return size() > MAX_CACHED_SEGMENTS;
        }
    };
    private final List<Transmission> transmissions = new ArrayList<>();
    private HttpServer server;
    private int port;
    private int epoch;
    private Mode mode = Mode.DOWN;
    private boolean draining;
    private boolean warm;
    private boolean closeAfterResponse;
    private Runnable taskAtNextSetUp;
    private double processStartedAt;
    private double linkContention = 1;
    private double errorRate;
    private double setUpSlowdown = 1;
    private double deliveredShare = 1;
    private double lastTick;

    /** A session, or a set-up that is still being worked on. */
    private final class Session {
        final String attempt;
        final Placement.RequestClass requestClass;
        final long title;
        String tenant = "";
        long viewer;
        int rung;
        boolean running;
        double lastUsed = clock.getAsDouble();

        Session(String attempt, Placement.RequestClass requestClass, long title, int rung) {
            this.attempt = attempt;
            this.requestClass = requestClass;
            this.title = title;
            this.rung = rung;
        }

        double rateKb() {
            return model.rate(requestClass, title, rung);
        }
    }

    /** A segment that is being sent. */
    private static final class Transmission {
        final Session session;
        final HttpServerResponse response;
        final Buffer bytes;
        double credit;
        int sent;

        Transmission(Session session, HttpServerResponse response, Buffer bytes) {
            this.session = session;
            this.response = response;
            this.bytes = bytes;
        }
    }

    /**
     * Creates a host that is down, and adds it to its rack.
     *
     * @param clock source of the time, ms
     * @param seed seed of its set-up times and faults
     */
    public MediaHost(Vertx vertx, Spec spec, Rack rack, HostModel model, Trace trace, DoubleSupplier clock, long seed) {
        this.vertx = vertx;
        this.spec = spec;
        this.rack = rack;
        this.model = model;
        this.trace = trace;
        this.clock = clock;
        random = new SplittableRandom(seed);
        rack.add(this);
    }

    /** Returns its description. */
    public Spec spec() {
        return spec;
    }

    /** Returns the port that it listens on, or 0 if it never started. */
    public int port() {
        return port;
    }

    /** Returns its state. */
    public Mode mode() {
        return mode;
    }

    /** Returns whether it refuses new sessions. */
    public boolean draining() {
        return draining;
    }

    /** Returns the time of its last start, ms, or 0 if it started warm. */
    public double startedAt() {
        return warm ? 0 : processStartedAt;
    }

    /** Returns the number of its sessions and pending set-ups. */
    public int sessions() {
        return sessions.size();
    }

    // Start, stop and injected faults.

    /**
     * Starts on its earlier port, if it had one, and completes with the port; fails if it cannot listen.
     *
     * @param warm whether it starts with its full capacity, as a host that started long ago
     */
    public Future<Integer> start(boolean warm) {
        this.warm = warm;
        processStartedAt = clock.getAsDouble();
        draining = false;
        recentSetUps.clear();
        int startEpoch = ++epoch;
        server = vertx.createHttpServer(
                new HttpServerOptions().setIdleTimeout(30).setTcpNoDelay(true).setMaxHeaderSize(16384));
        server.connectionHandler(connection -> {
            connections.add(connection);
            connection.exceptionHandler(e -> {});
            connection.closeHandler(v -> connections.remove(connection));
        });
        server.requestHandler(this::handle);
        return server.listen(port, "127.0.0.1")
                .map(s -> {
                    port = s.actualPort();
                    mode = Mode.RUNNING;
                    lastTick = clock.getAsDouble();
                    trace.add(new TrafficEvent.HostUp(processStartedAt, spec.name(), spec.slots(), warm));
                    vertx.setTimer((long) TICK_MS, t -> tick(startEpoch));
                    return port;
                })
                .recover(e -> {
                    if (port == 0) return Future.failedFuture(e);
                    port = 0; // its port has been taken by another process: it uses a new one, which the list will give
                    return start(warm);
                });
    }

    /**
     * Crashes: connections break and nothing listens. Half of the pending set-ups, at random, have run by then without
     * a response.
     */
    public Future<Void> crash() {
        if (mode == Mode.RUNNING) {
            for (Session session : sessions.values())
                if (!session.running && random.nextBoolean()) markRunning(session);
        }
        return shutDown(Mode.DOWN);
    }

    /** Runs a task when the next set-up reaches this host, before the set-up is processed. */
    public void taskAtNextSetUp(Runnable task) {
        taskAtNextSetUp = task;
    }

    /** Sets whether connections are closed after one response, so that every set-up has to connect first. */
    public void setCloseAfterResponse(boolean on) {
        closeAfterResponse = on;
    }

    private Future<Void> shutDown(Mode newMode) {
        if (server == null) return Future.succeededFuture();
        mode = newMode;
        epoch++;
        trace.add(new TrafficEvent.HostDown(clock.getAsDouble(), spec.name()));
        sessions.clear();
        transmissions.clear();
        HttpServer oldServer = server;
        server = null;
        for (HttpConnection connection : List.copyOf(connections)) connection.close();
        return oldServer.close();
    }

    /**
     * Becomes unreachable: no reset and no response. Open connections are no longer read; new ones are accepted by the
     * operating system and never answered. Its sessions are lost.
     */
    public void becomeUnreachable() {
        mode = Mode.UNREACHABLE;
        epoch++;
        trace.add(new TrafficEvent.HostDown(clock.getAsDouble(), spec.name()));
        sessions.clear();
        transmissions.clear();
    }

    /** Starts again as a new, cold process after it was unreachable; completes with the port. */
    public Future<Integer> reappear() {
        HttpServer oldServer = server;
        server = null;
        for (HttpConnection connection : List.copyOf(connections)) connection.close();
        return (oldServer == null ? Future.<Void>succeededFuture() : oldServer.close()).compose(v -> start(false));
    }

    /**
     * Hangs or continues: while it hangs, requests are read but not answered and no media is sent. Its sessions are
     * kept.
     */
    public void hang(boolean on) {
        if (mode == Mode.RUNNING || mode == Mode.HUNG) mode = on ? Mode.HUNG : Mode.RUNNING;
    }

    /** Sets whether it refuses new sessions while the open ones continue. */
    public void drain(boolean on) {
        draining = on;
    }

    /** Divides the capacity of its link by a factor, as if another program used the rest. */
    public void setLinkContention(double factor) {
        linkContention = factor;
    }

    /** Sets the part of set-ups, from 0 to 1, that fail in one of the ways of {@code fast_errors}. */
    public void setErrorRate(double part) {
        errorRate = part;
    }

    /** Sets the factor by which set-ups take longer. */
    public void setSetUpSlowdown(double factor) {
        setUpSlowdown = factor;
    }

    // Links.

    /** Returns the sum of the rates of all running sessions, kB a second. */
    double requestedKb() {
        double sum = 0;
        for (Session session : sessions.values()) if (session.running) sum += session.rateKb();
        return sum;
    }

    private double linkLoad() {
        return requestedKb() * linkContention * rack.capacityDivisor() / spec.linkKb();
    }

    /** Returns the available part of its capacity, which grows from the share of a cold host to 1. */
    private double warmth() {
        double warmUp = model.settings().rules().warmUp();
        double coldShare = model.settings().rules().coldShare();
        if (warm || warmUp <= 0) return 1;
        return Math.min(1, coldShare + (1 - coldShare) * (clock.getAsDouble() - processStartedAt) / warmUp);
    }

    private void tick(int startEpoch) {
        if (startEpoch != epoch) return;
        double now = clock.getAsDouble();
        double elapsed = Math.min(500, now - lastTick);
        lastTick = now;
        double load = Math.max(linkLoad(), rack.uplinkLoad());
        double factor = Math.min(model.ahead(), 1 / Math.max(1e-9, load));
        double smoothingMs = model.settings().observationDelay() / 2;
        deliveredShare += (Math.min(1, factor) - deliveredShare) * Math.min(1, elapsed / smoothingMs);
        if (mode == Mode.RUNNING) {
            for (Transmission transmission : transmissions)
                send(transmission, transmission.session.rateKb() * 1000 * factor * elapsed / 1000);
            transmissions.removeIf(t -> t.sent == t.bytes.length() || t.response.ended() || t.response.closed());
        }
        sessions.values().removeIf(session -> {
            boolean idle = session.running && now - session.lastUsed > IDLE_MS;
            if (idle) trace.add(new TrafficEvent.SessionReleased(now, spec.name(), session.attempt));
            return idle;
        });
        vertx.setTimer((long) TICK_MS, t -> tick(startEpoch));
    }

    private void send(Transmission transmission, double byteCount) {
        if (transmission.response.ended() || transmission.response.closed() || transmission.response.writeQueueFull())
            return;
        transmission.session.lastUsed = clock.getAsDouble();
        transmission.credit += byteCount;
        int length = (int) Math.min(transmission.bytes.length() - transmission.sent, transmission.credit);
        if (length <= 0) return;
        transmission.credit -= length;
        transmission.response.write(transmission.bytes.slice(transmission.sent, transmission.sent + length));
        transmission.sent += length;
        if (transmission.sent == transmission.bytes.length()) transmission.response.end();
    }

    /** Returns the value of the CMSD response header with the delivered share and the load fields of the settings. */
    private String dynamicCmsd() {
        Map<String, Object> keys = new LinkedHashMap<>();
        keys.put(Cmsd.SHARE_KEY, deliveredShare);
        for (String field : model.settings().reportFields()) {
            Double value =
                    switch (field) {
                        case "load_share" -> Math.min(1, linkLoad());
                        case "x0" -> linkLoad();
                        case "x1" -> rack.uplinkLoad();
                        case "concurrent" -> (double) sessions.size();
                        default -> null;
                    };
            if (value != null) keys.put(Cmsd.LOAD_KEY_PREFIX + field, value);
        }
        return Cmsd.appendHop(null, spec.name(), keys);
    }

    // Requests.

    private void handle(HttpServerRequest request) {
        if (mode == Mode.UNREACHABLE) {
            request.pause();
            return;
        }
        HttpServerResponse response = request.response();
        response.exceptionHandler(e -> {});
        if (closeAfterResponse) response.putHeader("Connection", "close");
        if (request.path().startsWith("/receipts")) {
            if (mode == Mode.RUNNING) receipts(request, response);
            return;
        }
        if (request.path().equals("/status")) {
            if (mode == Mode.RUNNING)
                response.putHeader(Cmsd.DYNAMIC_HEADER, dynamicCmsd()).end();
            return;
        }
        Matcher matcher = SESSION.matcher(request.path());
        if (!matcher.matches()) {
            response.setStatusCode(404).end();
        } else if (request.method() == HttpMethod.POST && matcher.group(2) == null) {
            handleSetUp(request, matcher.group(1));
        } else if (request.method() == HttpMethod.DELETE && matcher.group(2) == null) {
            release(matcher.group(1));
            if (mode == Mode.RUNNING) response.setStatusCode(204).end();
        } else if (request.method() == HttpMethod.GET && matcher.group(2) != null) {
            handleMedia(
                    response, matcher.group(1), Integer.parseInt(matcher.group(2)), matcher.group(3), matcher.group(4));
        } else {
            response.setStatusCode(405).end();
        }
    }

    private void traceEnd(String attempt, TrafficEvent.SetUpResult result) {
        trace.add(new TrafficEvent.SetUpEnded(clock.getAsDouble(), spec.name(), attempt, result));
    }

    private void handleSetUp(HttpServerRequest request, String attempt) {
        HttpServerResponse response = request.response();
        Placement.RequestClass requestClass = model.requestClass(String.valueOf(request.getParam("class")));
        long title;
        long viewer;
        int rung;
        try {
            title = Long.parseLong(request.getParam("title"));
            viewer = Long.parseLong(request.getParam("viewer"));
            rung = Integer.parseInt(request.getParam("rung"));
        } catch (NumberFormatException e) {
            requestClass = null;
            title = viewer = rung = 0;
        }
        if (requestClass == null
                || rung < 0
                || rung >= model.settings().ladder().ratesKb().length) {
            response.setStatusCode(400).end("malformed set-up\n");
            return;
        }
        double now = clock.getAsDouble();
        Runnable task = taskAtNextSetUp;
        taskAtNextSetUp = null;
        if (task != null) task.run();
        String gateway = attempt.substring(0, Math.max(0, attempt.indexOf('-')));
        trace.add(new TrafficEvent.SetUpReceived(
                now, spec.name(), gateway, viewer, attempt, requestClass.name(), Long.toString(title), rung));
        response.putHeader("Trestleline-Attempt", attempt);
        if (overloaded(now)) {
            traceEnd(attempt, TrafficEvent.SetUpResult.FAILED);
            shutDown(Mode.OVERLOADED);
            return;
        }
        if (receipts.containsKey(attempt)) { // it has run, or was reported as one that never runs
            traceEnd(attempt, TrafficEvent.SetUpResult.FAILED);
            response.setStatusCode(409).end();
            return;
        }
        boolean full = sessions.size() >= Math.max(1, spec.slots() * warmth());
        double guard = model.settings().fleet().guard();
        if (mode == Mode.RUNNING && (draining || full || guard > 0 && linkLoad() >= guard)) {
            traceEnd(attempt, TrafficEvent.SetUpResult.REFUSED);
            response.setStatusCode(503)
                    .putHeader("Trestleline-Ran", "never")
                    .putHeader(Cmsd.DYNAMIC_HEADER, dynamicCmsd())
                    .end();
            return;
        }
        SetUpFault fault = mode == Mode.RUNNING && random.nextDouble() < errorRate ? SetUpFault.draw(random) : null;
        if (fault == SetUpFault.ERROR_BEFORE_RUN) {
            traceEnd(attempt, TrafficEvent.SetUpResult.FAILED);
            fault.answer(vertx, request, attempt, 0);
            return;
        }
        var session = new Session(attempt, requestClass, title, rung);
        session.tenant = String.valueOf(request.getParam("tenant"));
        session.viewer = viewer;
        sessions.put(attempt, session);
        response.closeHandler(v -> {
            if (!session.running && sessions.remove(attempt, session))
                traceEnd(attempt, TrafficEvent.SetUpResult.CANCELLED);
        });
        double workMs = model.workFrom() + (model.workTo() - model.workFrom()) * random.nextDouble();
        vertx.setTimer(
                (long) Math.max(1, workMs * setUpSlowdown / warmth()), t -> completeSetUp(session, request, fault));
    }

    private void completeSetUp(Session session, HttpServerRequest request, SetUpFault fault) {
        if (sessions.get(session.attempt) != session) return;
        if (mode == Mode.HUNG) {
            vertx.setTimer(50, t -> completeSetUp(session, request, fault));
            return;
        }
        markRunning(session);
        if (fault != null) fault.answer(vertx, request, session.attempt, session.requestClass.deadline());
        else
            request.response()
                    .setStatusCode(201)
                    .putHeader(Cmsd.DYNAMIC_HEADER, dynamicCmsd())
                    .end();
    }

    private void markRunning(Session session) {
        session.running = true;
        session.lastUsed = clock.getAsDouble();
        traceEnd(session.attempt, TrafficEvent.SetUpResult.RAN);
        if (session.requestClass.effect() == Placement.Effect.SIDE_EFFECT) {
            receipts.put(
                    session.attempt,
                    session.attempt + " " + session.tenant + " " + session.requestClass.name() + " " + session.title
                            + " " + session.viewer + " "
                            + (long) clock.getAsDouble());
            ranAt.put(session.attempt, clock.getAsDouble());
        }
    }

    /**
     * Answers {@code /receipts/ATTEMPT} with {@code ran} or {@code never}, and {@code /receipts?gateway=&after=} with a
     * line for each attempt of the gateway that ran.
     */
    private void receipts(HttpServerRequest request, HttpServerResponse response) {
        String path = request.path();
        if (path.startsWith("/receipts/")) {
            String attempt = path.substring("/receipts/".length());
            Session session = sessions.get(attempt);
            if (session != null && !session.running) release(attempt);
            response.end(receipts.computeIfAbsent(attempt, a -> "").isEmpty() ? "never" : "ran");
            return;
        }
        String attemptPrefix = request.getParam("gateway") + "-";
        double after;
        try {
            after = Double.parseDouble(request.getParam("after"));
        } catch (NumberFormatException | NullPointerException e) {
            response.setStatusCode(400).end("after: expected a time\n");
            return;
        }
        var text = new StringBuilder();
        receipts.forEach((attempt, line) -> {
            if (attempt.startsWith(attemptPrefix) && !line.isEmpty() && ranAt.get(attempt) >= after)
                text.append(line).append('\n');
        });
        response.end(text.toString());
    }

    /** Returns the tenants of the paid set-ups that ran here, by attempt, for comparison with a ledger. */
    public Map<String, String> ran() {
        Map<String, String> tenantByAttempt = new LinkedHashMap<>();
        receipts.forEach((attempt, line) -> {
            if (!line.isEmpty()) tenantByAttempt.put(attempt, line.split(" ")[1]);
        });
        return tenantByAttempt;
    }

    /** Counts a set-up and returns whether a cold host has received too many of them within the overload window. */
    private boolean overloaded(double now) {
        Placement.Rules rules = model.settings().rules();
        if (warm || rules.warmUp() <= 0 || now - processStartedAt >= rules.warmUp()) return false;
        recentSetUps.addLast(now);
        while (recentSetUps.peekFirst() <= now - rules.overloadWindow()) recentSetUps.removeFirst();
        return recentSetUps.size()
                > rules.overloadFactor() * spec.slots() / rules.warmUp() * warmth() * rules.overloadWindow() + 1;
    }

    private void release(String attempt) {
        Session session = sessions.remove(attempt);
        if (session == null) return;
        if (session.running) trace.add(new TrafficEvent.SessionReleased(clock.getAsDouble(), spec.name(), attempt));
        else traceEnd(attempt, TrafficEvent.SetUpResult.CANCELLED);
    }

    /**
     * Sends a segment.
     *
     * @param number number of the segment, or null for the initialization segment
     */
    private void handleMedia(HttpServerResponse response, String attempt, int rung, String number, String extension) {
        Session session = sessions.get(attempt);
        if (session == null
                || !session.running
                || rung >= model.settings().ladder().ratesKb().length) {
            if (mode == Mode.RUNNING) response.setStatusCode(404).end();
            return;
        }
        trace.add(new TrafficEvent.MediaRequested(
                clock.getAsDouble(), spec.name(), attempt, session.requestClass.name(), rung));
        session.rung = rung;
        session.lastUsed = clock.getAsDouble();
        Container container = number == null ? Container.FMP4 : Container.byExtension(extension);
        Buffer bytes = segmentCache.computeIfAbsent(
                session.title % 1000 + "/" + session.requestClass.name() + "/" + rung + "/" + number + "/" + container,
                k -> Buffer.buffer(
                        number == null
                                ? Fmp4.initializationSegment()
                                : container.silentSegment(
                                        Long.parseLong(number), model.segmentS(), session.rateKb() * 1000)));
        Map<String, Object> staticKeys = new HashMap<>();
        staticKeys.put("br", Math.round(session.rateKb() * 8));
        staticKeys.put("d", Math.round(model.segmentS() * 1000));
        response.putHeader("Content-Type", container.mediaType())
                .putHeader("Content-Length", Integer.toString(bytes.length()))
                .putHeader(Cmsd.STATIC_HEADER, Cmsd.formatStatic(staticKeys))
                .putHeader(Cmsd.DYNAMIC_HEADER, dynamicCmsd());
        var transmission = new Transmission(session, response, bytes);
        transmissions.add(transmission);
        if (mode == Mode.RUNNING) response.writeHead();
    }

    /** Runs a task on the host's event loop, from any thread, and completes with its result. */
    public <T> Future<T> runOnLoop(java.util.function.Supplier<Future<T>> task) {
        Promise<T> promise = Promise.promise();
        vertx.runOnContext(v -> task.get().onComplete(promise));
        return promise.future();
    }
}
