package trestleline.rtsp;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trestleline.codec.NumberCodec;
import trestleline.core.Attempt;
import trestleline.core.EndReason;
import trestleline.core.Gateway;
import trestleline.core.MediaHosts;
import trestleline.core.StallGuard;
import trestleline.hosts.Exchange;
import trestleline.hosts.ExchangeDriver;
import trestleline.placement.Placement;

/**
 * The gateway's client for the platform's media hosts. {@link Exchange} decides what an exchange proves; this class
 * carries it out. A connection has one pending set-up at a time wherever the limit of connections leaves room, as a
 * protocol error on a connection fails everything that is pending on it. Playing sessions belong to no connection: at
 * least one is kept open to a host that has any, as the host reports their end on whichever is open. Memory is taken by
 * connections (bounded), pending attempts and sessions.
 */
public final class RtspHostClient implements MediaHosts {
    private static final Logger LOG = LoggerFactory.getLogger(RtspHostClient.class);
    private static final byte[] NO_DESCRIPTION = new byte[0];
    /**
     * Time (ms) for which the sockets are read on before an answer that nothing has followed counts as whole: the rest
     * of a body with a wrong length is on its way behind it.
     */
    private static final int ANSWER_SETTLE_MS = 2;

    /** Time (ms) after which the next sweep retires a connection on which a teardown is still unconfirmed. */
    private static final int TEARDOWN_TIMEOUT_MS = 1500;

    private static final int SWEEP_INTERVAL_MS = 250;
    /**
     * Fraction of the hosts' idle timeout after which a connection is no longer used for a set-up: the host may be
     * closing it.
     */
    private static final double REUSABLE_IDLE_FRACTION = 0.7;
    /** Fraction of the hosts' idle timeout from which on a host's close of a connection is no sign of its death. */
    private static final double CLOSABLE_IDLE_FRACTION = 0.9;

    private final Vertx vertx;
    private final Placement.Rules rules;
    private final double hostIdleTimeoutMs;
    private final int maxConnections;
    private final DoubleSupplier clock;
    private final NetClient client;
    private final StallGuard stallGuard;
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<String, HostSession> sessions = new HashMap<>();
    private Gateway gateway;
    /** Connections that are open or being opened. */
    private int connectionCount;

    private long livenessChecks;
    private long protocolErrors;
    private boolean closed;

    /** A host's name and address, with its connections and sessions. */
    private static final class Endpoint {
        final String name;
        final String ip;
        final int port;
        final Set<Connection> connections = new LinkedHashSet<>();
        final Set<HostSession> sessions = new LinkedHashSet<>();
        /** Call-backs that wait for a connection that is being opened, as the limit allows no other. */
        final ArrayDeque<Consumer<Connection>> waiters = new ArrayDeque<>();

        final HostLiveness liveness;
        /**
         * Number of sessions that were taken over, or whose connection closed: the host reports their end on any
         * connection.
         */
        int unboundSessions;

        int pendingConnects;
        boolean livenessCheckPending;
        /** When the process started, as listed (Unix ms); 0 if that is not known. */
        double startedAt;

        Endpoint(String name, String ip, int port, double now) {
            this.name = name;
            this.ip = ip;
            this.port = port;
            liveness = new HostLiveness(now);
        }
    }

    /** A session that plays at a host; {@code connection} is that of its set-up, or null if there is none. */
    private static final class HostSession {
        final Attempt attempt;
        final Endpoint endpoint;
        /** When it was set up or taken over (Unix ms). */
        final double startedAt;

        Connection connection;

        HostSession(Attempt attempt, Endpoint endpoint, double startedAt, Connection connection) {
            this.attempt = attempt;
            this.endpoint = endpoint;
            this.startedAt = startedAt;
            this.connection = connection;
        }
    }

    /**
     * Creates a client that knows no hosts yet.
     *
     * @param hostIdleTimeoutMs time (ms) after which hosts close idle connections
     * @param maxConnections limit of connections to all hosts together
     * @param clock the current time in Unix ms
     */
    public RtspHostClient(
            Vertx vertx,
            Placement.Settings settings,
            double hostIdleTimeoutMs,
            int maxConnections,
            DoubleSupplier clock) {
        this.vertx = vertx;
        this.rules = settings.rules();
        this.hostIdleTimeoutMs = hostIdleTimeoutMs;
        this.maxConnections = maxConnections;
        this.clock = clock;
        stallGuard = new StallGuard(SWEEP_INTERVAL_MS, clock.getAsDouble());
        client =
                vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout((int)
                        Math.max(1, rules.connectTimeout())));
        vertx.setPeriodic(SWEEP_INTERVAL_MS, t -> sweep());
    }

    /** Sets the gateway that is told what hosts report. */
    public void attach(Gateway gateway) {
        this.gateway = gateway;
    }

    /**
     * Adds a listed host or updates it. A host whose address changed, or one that is listed again, counts as a new
     * process: the sessions known there are lost.
     *
     * @param isRunning whether the host is listed as running; if it is new, any other host at its address has gone
     * @param hostStartedAt when the host started (Unix ms); 0 if that is not known
     */
    public void addHost(String host, String ip, int port, boolean isRunning, double hostStartedAt) {
        if (closed) return;
        Endpoint endpoint = endpoints.get(host);
        if (endpoint != null && (!endpoint.ip.equals(ip) || endpoint.port != port || !endpoint.liveness.isListed())) {
            endpoints.remove(host);
            endAllSessions(
                    endpoint, EndReason.HOST_LOST); // they belonged to another process; the new one does not know them
            for (Connection c : List.copyOf(endpoint.connections)) c.close();
            endpoint = null;
        }
        if (endpoint == null) {
            endpoint = new Endpoint(host, ip, port, clock.getAsDouble());
            endpoints.put(host, endpoint);
            if (isRunning) delistOthersAt(endpoint);
        }
        if (hostStartedAt > endpoint.startedAt) {
            endpoint.startedAt = hostStartedAt;
            endpoint.liveness.identityProved();
        }
        for (HostSession s : List.copyOf(endpoint.sessions))
            if (s.startedAt < hostStartedAt) endSession(s, EndReason.HOST_LOST);
    }

    /** Marks other hosts at the address of a new one as gone, whatever the list has told of them so far. */
    private void delistOthersAt(Endpoint newEndpoint) {
        for (Endpoint other : List.copyOf(endpoints.values())) {
            if (other != newEndpoint && other.port == newEndpoint.port && other.ip.equals(newEndpoint.ip))
                markDelisted(other.name);
        }
    }

    /** Marks a host as no longer listed. Its idle connections are closed, as another host may soon get its address. */
    public void markDelisted(String host) {
        Endpoint endpoint = endpoints.get(host);
        if (endpoint == null) return;
        endpoint.liveness.markDelisted(clock.getAsDouble());
        dropIdleConnections(endpoint);
    }

    /** Returns the names of the hosts known, those no longer listed but not yet removed among them. */
    public List<String> hostNames() {
        return List.copyOf(endpoints.keySet());
    }

    /** Opens no connections from now on, and drops all state. */
    public void close() {
        closed = true;
        endpoints.clear();
        sessions.clear();
    }

    /**
     * Returns counters for the log, separated by slashes: connections, playing sessions, connects made only to check
     * whether a host is alive, and connections that ended with a protocol error.
     */
    public String stateSummary() {
        return connectionCount + "/" + sessions.size() + "/" + livenessChecks + "/" + protocolErrors;
    }

    // Connections

    /** An open connection to a host. */
    private final class Connection {
        final Endpoint endpoint;
        final NetSocket socket;
        final InboundMessages inbound = new InboundMessages();
        /** Set-ups that wait for their answer, by session id. */
        final Map<String, SetUp> pendingSetUps = new HashMap<>();
        /** When sessions were torn down here (Unix ms), by id, oldest first; the host has not confirmed it yet. */
        final Map<String, Double> unconfirmedTeardowns = new LinkedHashMap<>();
        /** Playing sessions that were set up here: the host reports their end on this connection first. */
        final Set<HostSession> boundSessions = new LinkedHashSet<>();

        Probe probe;
        double lastUsedAt = clock.getAsDouble();
        boolean closed;
        boolean retired;

        Connection(Endpoint endpoint, NetSocket socket) {
            this.endpoint = endpoint;
            this.socket = socket;
        }

        boolean isIdle() {
            return !closed && !retired && pendingSetUps.isEmpty() && unconfirmedTeardowns.isEmpty() && probe == null;
        }

        /**
         * Whether this side may close it: not while the host may report the end of a session on it. Closing a
         * connection while such a report was in transit lost the report for good, and the viewer was told nothing.
         */
        boolean isClosable() {
            return !closed
                    && pendingSetUps.isEmpty()
                    && boundSessions.isEmpty()
                    && endpoint.unboundSessions == 0
                    && (endpoint.connections.size() > 1 || endpoint.sessions.isEmpty());
        }

        boolean hasOverdueTeardown(double now) {
            if (unconfirmedTeardowns.isEmpty()) return false;
            return now - unconfirmedTeardowns.values().iterator().next() > TEARDOWN_TIMEOUT_MS;
        }

        /** Lets it take no more set-ups, and closes it as soon as it is closable. */
        void retire() {
            retired = true;
            if (isClosable()) close();
        }

        void send(byte[] bytes) {
            lastUsedAt = clock.getAsDouble();
            traceBytes("to", endpoint, bytes);
            if (closed) return;
            socket.write(Buffer.buffer(bytes));
            // a host that does not read is of no use, and what is queued for it must stay bounded
            if (socket.writeQueueFull()) close();
        }

        void close() {
            if (closed) return;
            if (socket.writeQueueFull())
                ((NetSocketInternal) socket).channelHandlerContext().close();
            else socket.close();
            closed(this);
        }
    }

    /** Logs all bytes sent or received, at trace level. */
    private static void traceBytes(String direction, Endpoint endpoint, byte[] bytes) {
        if (!LOG.isTraceEnabled()) return;
        LOG.atTrace()
                .addKeyValue(direction, endpoint.name)
                .addKeyValue("bytes", new String(bytes, StandardCharsets.ISO_8859_1))
                .log("host");
    }

    /**
     * Opens a connection and passes it to the call-back, or null if that fails. At the limit of connections an idle one
     * to another host is closed first; if there is none, the call-back waits for a pending connect to the same host,
     * and gets null if there is none either.
     */
    private void connect(Endpoint endpoint, Consumer<Connection> callback) {
        if (connectionCount >= maxConnections && !closeIdleOfOtherHost(endpoint)) {
            if (endpoint.pendingConnects > 0) endpoint.waiters.add(callback);
            else callback.accept(null);
            return;
        }
        connectionCount++;
        endpoint.pendingConnects++;
        client.connect(endpoint.port, endpoint.ip).onComplete(result -> {
            endpoint.pendingConnects--;
            if (result.failed()) {
                connectionCount--;
                LOG.atDebug()
                        .addKeyValue("host", endpoint.name)
                        .addKeyValue("port", endpoint.ip + ":" + endpoint.port)
                        .addKeyValue("cause", result.cause())
                        .log("could not connect to a host");
                HostLiveness.Verdict verdict = endpoint.liveness.connectFailed(isConnectionRefused(result.cause()));
                if (verdict == HostLiveness.Verdict.LOST) {
                    endpoint.liveness.allConnectionsLost(clock.getAsDouble());
                    endAllSessions(endpoint, EndReason.HOST_LOST);
                }
                if (verdict == HostLiveness.Verdict.SILENT) {
                    endAllSessions(endpoint, EndReason.HOST_SILENT);
                    for (Connection connection : List.copyOf(endpoint.connections)) connection.close();
                }
                callback.accept(null);
                if (endpoint.pendingConnects == 0) notifyWaiters(endpoint, null);
                return;
            }
            var connection = new Connection(endpoint, result.result());
            if (closed || endpoints.get(endpoint.name) != endpoint) {
                connection.socket.close();
                connectionCount--;
                callback.accept(null);
                notifyWaiters(endpoint, null);
                return;
            }
            endpoint.connections.add(connection);
            endpoint.liveness.heard(clock.getAsDouble());
            connection.socket.exceptionHandler(e -> LOG.atDebug()
                    .addKeyValue("host", endpoint.name)
                    .addKeyValue("cause", e.getMessage())
                    .log("connection to a host broke"));
            connection.socket.closeHandler(v -> {
                processLast(connection);
                if (!connection.closed && isLastAndBroken(connection))
                    endpoint.liveness.allConnectionsLost(clock.getAsDouble());
                closed(connection);
            });
            connection.socket.handler(b -> onBytes(connection, b.getBytes()));
            callback.accept(connection);
            notifyWaiters(endpoint, connection);
        });
    }

    /**
     * Whether a connection that its host has closed is the only one, and was not idle for so long that hosts close it.
     * A process that dies takes all its connections along.
     */
    private boolean isLastAndBroken(Connection connection) {
        return connection.endpoint.connections.size() == 1
                && clock.getAsDouble() - connection.lastUsedAt < CLOSABLE_IDLE_FRACTION * hostIdleTimeoutMs;
    }

    /** Passes the result of a connect to the call-backs that wait for it; null if it failed. */
    private static void notifyWaiters(Endpoint endpoint, Connection connection) {
        for (var waiter = endpoint.waiters.poll(); waiter != null; waiter = endpoint.waiters.poll())
            waiter.accept(connection);
    }

    private static boolean isConnectionRefused(Throwable error) {
        for (Throwable cause = error; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)) return true;
        }
        return false;
    }

    /** Closes an idle connection to another host; one to the wanted host would have been used instead. */
    private boolean closeIdleOfOtherHost(Endpoint wanted) {
        for (Endpoint endpoint : endpoints.values()) {
            if (endpoint == wanted) continue;
            for (Connection connection : endpoint.connections) {
                if (!connection.isIdle() || !connection.isClosable()) continue;
                connection.close();
                return true;
            }
        }
        return false;
    }

    private static void dropIdleConnections(Endpoint endpoint) {
        for (Connection connection : List.copyOf(endpoint.connections))
            if (connection.isIdle() && connection.isClosable()) connection.close();
    }

    /** Handles the end of a connection: fails what is pending on it, once. */
    private void closed(Connection connection) {
        if (connection.closed) return;
        connection.closed = true;
        connectionCount--;
        connection.endpoint.connections.remove(connection);
        for (HostSession s : connection.boundSessions) s.connection = null;
        connection.endpoint.unboundSessions += connection.boundSessions.size();
        for (SetUp s : List.copyOf(connection.pendingSetUps.values())) s.onConnectionEvent(Exchange.Event.BROKEN);
        if (connection.probe != null) connection.probe.finish(false, Map.of());
        if (!connection.endpoint.sessions.isEmpty() && connection.endpoint.connections.isEmpty())
            checkLiveness(connection.endpoint);
    }

    /** Opens a connection to see whether the host is alive, and to receive its reports on playing sessions. */
    private void checkLiveness(Endpoint endpoint) {
        if (closed || endpoint.livenessCheckPending || !endpoint.liveness.isListed()) return;
        endpoint.livenessCheckPending = true;
        livenessChecks++;
        closeSurplusConnection(endpoint);
        connect(endpoint, connection -> endpoint.livenessCheckPending = false);
    }

    /**
     * Closes an idle connection to a host to which another one is about to be opened, so that checks of quiet hosts do
     * not use up the connections. It is closed before the other is opened: a report that is lost with it is sent again
     * on the next one opened.
     */
    private void closeSurplusConnection(Endpoint endpoint) {
        if (endpoint.connections.size() < 2 && connectionCount < maxConnections) return;
        Connection oldest = null;
        for (Connection connection : endpoint.connections) {
            if (!connection.isIdle() || !connection.boundSessions.isEmpty()) continue;
            if (oldest == null || connection.lastUsedAt < oldest.lastUsedAt) oldest = connection;
        }
        if (oldest != null) oldest.close();
    }

    private void endAllSessions(Endpoint endpoint, EndReason reason) {
        for (HostSession session : List.copyOf(endpoint.sessions)) endSession(session, reason);
    }

    /** Ends a session of which the host has reported no end, and tells the gateway. */
    private void endSession(HostSession session, EndReason reason) {
        LOG.atDebug()
                .addKeyValue("host", session.endpoint.name)
                .addKeyValue("session", session.attempt.payload().session())
                .addKeyValue("why", reason)
                .log("session lost");
        removeSession(session);
        gateway.reportAttemptEnd(session.attempt, reason, Map.of());
    }

    /** Forgets a session without telling the gateway. */
    private void removeSession(HostSession session) {
        sessions.remove(session.attempt.payload().session(), session);
        session.endpoint.sessions.remove(session);
        if (session.connection == null) session.endpoint.unboundSessions--;
        else session.connection.boundSessions.remove(session);
    }

    /** Checks hosts with sessions for liveness, and closes connections that are retired or idle for too long. */
    private void sweep() {
        double now = clock.getAsDouble();
        if (!stallGuard.mayJudge(now)) return;
        for (Endpoint endpoint : List.copyOf(endpoints.values())) {
            boolean hasSessions = !endpoint.sessions.isEmpty();
            if (!endpoint.liveness.isListed()) {
                if (!endpoint.liveness.delistedGraceOver(now)) continue;
                endAllSessions(endpoint, EndReason.HOST_LOST);
                dropIdleConnections(endpoint);
                if (endpoint.connections.isEmpty()) endpoints.remove(endpoint.name, endpoint);
            } else if (hasSessions && endpoint.liveness.needsCheck(now, !endpoint.connections.isEmpty())) {
                checkLiveness(endpoint);
            }
            for (Connection connection : List.copyOf(endpoint.connections)) {
                if (connection.hasOverdueTeardown(now)) connection.retired = true;
                if ((connection.retired
                                || connection.isIdle()
                                        && now - connection.lastUsedAt > REUSABLE_IDLE_FRACTION * hostIdleTimeoutMs)
                        && connection.isClosable()) connection.close();
            }
        }
    }

    /** Returns the idle connection that was used last, or null. */
    private Connection findIdleConnection(Endpoint endpoint) {
        Connection best = null;
        double now = clock.getAsDouble();
        for (Connection connection : endpoint.connections) {
            if (!connection.isIdle()
                    || connection.inbound.hasPartialMessage()
                    || now - connection.lastUsedAt > REUSABLE_IDLE_FRACTION * hostIdleTimeoutMs) continue;
            if (best == null || connection.lastUsedAt > best.lastUsedAt) best = connection;
        }
        return best;
    }

    /** Passes an idle connection to the call-back, or else a new one, or null if none can be opened. */
    private void withConnection(Endpoint endpoint, Consumer<Connection> callback) {
        Connection connection = findIdleConnection(endpoint);
        if (connection != null) callback.accept(connection);
        else connect(endpoint, callback);
    }

    // Messages from hosts

    private void onBytes(Connection connection, byte[] bytes) {
        if (connection.closed) return;
        connection.endpoint.liveness.heard(clock.getAsDouble());
        traceBytes("from", connection.endpoint, bytes);
        connection.inbound.add(bytes);
        for (RtspMessage message : connection.inbound.take()) onMessage(connection, message);
        if (connection.closed) return;
        if (connection.inbound.failure() != null) onProtocolError(connection, connection.inbound.failure());
        RtspMessage last = connection.inbound.last();
        if (last == null) return;
        vertx.setTimer(ANSWER_SETTLE_MS, timer -> {
            if (connection.inbound.last() == last) processLast(connection);
        });
    }

    /** Processes the message that nothing has followed, if there is one. */
    private void processLast(Connection connection) {
        RtspMessage last = connection.inbound.takeLast();
        if (last != null) onMessage(connection, last);
    }

    private void onProtocolError(Connection connection, String failure) {
        protocolErrors++;
        LOG.atDebug()
                .addKeyValue("host", connection.endpoint.name)
                .addKeyValue("why", failure)
                .log("protocol error on a host connection");
        for (SetUp setUp : List.copyOf(connection.pendingSetUps.values()))
            setUp.onConnectionEvent(Exchange.Event.ANSWERED_OTHERWISE);
        connection.close();
    }

    private void onMessage(Connection connection, RtspMessage message) {
        if (connection.closed) return;
        if (message.method() != null) onRequest(connection, message);
        else if (message.status() >= 200) onResponse(connection, message);
    }

    private void onResponse(Connection connection, RtspMessage response) {
        String sessionId = response.sessionId();
        switch (response.cseq()) {
            case RtspMessage.CSEQ_SETUP -> {
                SetUp setUp = sessionId == null ? null : connection.pendingSetUps.get(sessionId);
                if (setUp != null) setUp.onResponse(response);
            }
            case RtspMessage.CSEQ_TEARDOWN -> {
                if (sessionId != null) connection.unconfirmedTeardowns.remove(sessionId);
            }
            case RtspMessage.CSEQ_OPTIONS -> {
                if (connection.probe == null) return;
                Probe probe = connection.probe;
                connection.probe = null;
                probe.finish(response.status() == 200, response.gauges());
            }
            default -> {}
        }
    }

    private void onRequest(Connection connection, RtspMessage request) {
        String sessionId = request.sessionId();
        HostSession session = sessionId == null ? null : sessions.get(sessionId);
        if (session != null && session.endpoint == connection.endpoint) session.endpoint.liveness.identityProved();
        switch (request.method()) {
            case "TEARDOWN" -> {
                int cause = causeCode(request.header("reason"));
                LOG.atDebug()
                        .addKeyValue("host", connection.endpoint.name)
                        .addKeyValue("session", sessionId)
                        .addKeyValue("cause", cause)
                        .addKeyValue("held", session != null)
                        .log("a host ended a session");
                SetUp setUp = sessionId == null ? null : connection.pendingSetUps.get(sessionId);
                if (setUp != null && cause == 16 && request.body().length > 0) {
                    // played out as soon as it began: the teardown carries the answer, and may overtake the response
                    setUp.onPlayedOut(request);
                    session = sessions.get(sessionId);
                } else if (setUp != null) {
                    setUp.onConnectionEvent(
                            Exchange.Event.BROKEN); // torn down before its response: the same as a reset
                }
                if (session != null && session.endpoint == connection.endpoint) {
                    removeSession(session);
                    gateway.reportAttemptEnd(
                            session.attempt,
                            switch (cause) {
                                case 16 -> EndReason.PLAYED_OUT;
                                case 31 -> EndReason.VIEWER_GONE;
                                default -> EndReason.HOST_LOST;
                            },
                            request.gauges());
                }
                if (sessionId != null) connection.send(OutgoingMessages.teardownConfirmation(sessionId));
            }
            case "ANNOUNCE" -> {
                int kind =
                        switch (String.valueOf(request.header("x-outcome"))) {
                            case "kept_up" -> 1;
                            case "tier" -> 2;
                            case "wire" -> 3;
                            case "trunk" -> 4;
                            default -> 0;
                        };
                Double amount = RtspMessage.parseNumber(request.header("p-amount"));
                if (session != null && kind > 0 && amount != null)
                    gateway.reportAttemptNotice(session.attempt, kind, amount);
            }
            default -> {}
        }
    }

    /** Parses {@code cause=N}; returns -1 if it is not of that form. */
    private static int causeCode(String reason) {
        return reason != null && reason.startsWith("cause=") ? NumberCodec.parseDecimal(reason.substring(6), 3) : -1;
    }

    // Set-ups

    @Override
    public PendingSetUp setUp(Attempt attempt, SetUpListener listener) {
        var setUp = new SetUp(attempt, listener);
        setUp.connect();
        return setUp;
    }

    /** Writes a set-up as an RTSP request and reads its response. */
    private final class SetUp extends ExchangeDriver {
        private final String sessionId;
        private Endpoint endpoint;
        private Connection connection;
        private Map<String, Double> load = Map.of();
        private byte[] description = NO_DESCRIPTION;

        SetUp(Attempt attempt, SetUpListener listener) {
            super(vertx, attempt, listener);
            sessionId = attempt.payload().session();
        }

        void connect() {
            endpoint = endpoints.get(attempt.host());
            if (endpoint == null || !endpoint.liveness.isListed()) {
                handle(Exchange.Event.NO_ADDRESS);
                return;
            }
            if (!endpoint.liveness.isIdentityKnown(clock.getAsDouble())) {
                handle(Exchange.Event.IDENTITY_OPEN);
                return;
            }
            Connection existing = findIdleConnection(endpoint);
            if (existing == null && connectionCount >= maxConnections && !closeIdleOfOtherHost(endpoint))
                existing = leastLoadedConnection();
            if (existing != null) {
                useConnection(existing);
                return;
            }
            startConnectTimer(rules.connectTimeout());
            boolean mayConnect = connectionCount < maxConnections || endpoint.pendingConnects > 0;
            RtspHostClient.this.connect(endpoint, opened -> {
                if (opened == null || opened.closed || opened.pendingSetUps.containsKey(sessionId))
                    handle(mayConnect ? Exchange.Event.CONNECT_FAILED : Exchange.Event.NO_ROOM);
                else if (!endpoint.liveness.isIdentityKnown(clock.getAsDouble())) handle(Exchange.Event.IDENTITY_OPEN);
                else if (!isFinished()) useConnection(opened); // else it stays idle, for the next set-up
            });
        }

        /**
         * Returns the usable connection with the fewest pending set-ups, to share at the limit of connections; or null.
         */
        private Connection leastLoadedConnection() {
            Connection best = null;
            for (Connection candidate : endpoint.connections) {
                if (candidate.closed
                        || candidate.retired
                        || candidate.probe != null
                        || !candidate.unconfirmedTeardowns.isEmpty()
                        || candidate.pendingSetUps.containsKey(sessionId)) continue;
                if (best == null || candidate.pendingSetUps.size() < best.pendingSetUps.size()) best = candidate;
            }
            return best;
        }

        private void useConnection(Connection connection) {
            this.connection = connection;
            connection.pendingSetUps.put(sessionId, this);
            handle(Exchange.Event.CONNECTED);
        }

        void onResponse(RtspMessage response) {
            if (abandonIfLate()) return;
            load = response.gauges();
            description = response.body();
            handle(
                    switch (response.status()) {
                        case 200 -> Exchange.Event.GRANTED;
                        case 453 -> Exchange.Event.REFUSED;
                        case 454 -> Exchange.Event.MOOT;
                        case 504 -> Exchange.Event.BROKEN;
                        default -> Exchange.Event.ERROR;
                    });
        }

        /**
         * Abandons the attempt if its deadline has passed; returns whether it has. The host was told how long this
         * gateway waits, and relies on it: when an answer is read after that, no session is left at the host, however
         * long the answer lay in the socket. The core's own timer reports the time-out.
         */
        private boolean abandonIfLate() {
            if (clock.getAsDouble() < attempt.expiresAt()) return false;
            handle(Exchange.Event.ABANDONED);
            return true;
        }

        /** Handles the teardown of a session that has already played out, before its response was read. */
        void onPlayedOut(RtspMessage release) {
            if (abandonIfLate()) return;
            description = release.body();
            handle(Exchange.Event.GRANTED);
        }

        /** Handles an event of the connection. */
        void onConnectionEvent(Exchange.Event event) {
            handle(event);
        }

        @Override
        protected void finished() {
            if (connection != null) connection.pendingSetUps.remove(sessionId, this);
        }

        @Override
        protected void onPlaying() {
            addSession(attempt, connection);
            listener.sessionStarted(Map.of(), description);
        }

        @Override
        protected void closeConnection() {} // nothing was written, or the session is torn down by its id

        @Override
        protected Map<String, Double> responseLoad() {
            return load;
        }

        @Override
        protected void writeSetUp() {
            long remainingMs = (long) Math.max(1, attempt.expiresAt() - clock.getAsDouble());
            connection.send(OutgoingMessages.setUp(
                    sessionId,
                    attempt.payload().title(),
                    attempt.requestClass().name(),
                    remainingMs,
                    attempt.rung(),
                    attempt.payload().description()));
        }

        /** Tears the session down by its id, on the connection of the set-up if it is open, else on another. */
        @Override
        protected void releaseAtHost() {
            if (connection != null && !connection.closed && connection.inbound.failure() == null) {
                Connection target = connection;
                target.unconfirmedTeardowns.put(sessionId, clock.getAsDouble());
                target.send(OutgoingMessages.giveUp(sessionId));
                return;
            }
            if (endpoint == null || !endpoint.liveness.isListed()) return;
            withConnection(endpoint, target -> {
                if (target != null) target.send(OutgoingMessages.giveUp(sessionId));
            });
        }
    }

    // Playing sessions

    @Override
    public void adopt(Attempt attempt) {
        addSession(attempt, null);
    }

    /** Records a session that plays; {@code connection} is that of its set-up, or null for one taken over. */
    private void addSession(Attempt attempt, Connection connection) {
        Endpoint endpoint = endpoints.get(attempt.host());
        if (endpoint == null) {
            gateway.reportAttemptEnd(attempt, EndReason.HOST_LOST, Map.of());
            return;
        }
        var session = new HostSession(attempt, endpoint, clock.getAsDouble(), connection);
        if (connection == null) endpoint.unboundSessions++;
        else connection.boundSessions.add(session);
        sessions.put(attempt.payload().session(), session);
        endpoint.sessions.add(session);
        if (endpoint.connections.isEmpty()) checkLiveness(endpoint);
    }

    @Override
    public void rungChanged(Attempt attempt, int rung) {
        HostSession session = sessions.get(attempt.payload().session());
        if (session == null || session.attempt != attempt) return;
        String sessionId = attempt.payload().session();
        sendOneWay(session.endpoint, connection -> connection.send(OutgoingMessages.newRung(sessionId, rung)));
    }

    @Override
    public void release(Attempt attempt) {
        HostSession session = sessions.get(attempt.payload().session());
        if (session == null || session.attempt != attempt) return;
        removeSession(session);
        sendOneWay(
                session.endpoint,
                connection -> connection.send(
                        OutgoingMessages.release(attempt.payload().session())));
    }

    /**
     * Sends a message whose answer does not matter, on an open connection without unconfirmed teardowns or else on a
     * new one.
     */
    private void sendOneWay(Endpoint endpoint, Consumer<Connection> sender) {
        Connection best = findIdleConnection(endpoint);
        if (best == null) {
            for (Connection connection : endpoint.connections)
                if (!connection.closed && connection.unconfirmedTeardowns.isEmpty()) best = connection;
        }
        if (best != null) {
            sender.accept(best);
            return;
        }
        if (!endpoint.liveness.isListed()) return;
        connect(endpoint, connection -> {
            if (connection != null) sender.accept(connection);
        });
    }

    // Probes

    /** A pending load probe; its listener is told once. */
    private final class Probe {
        private final ProbeListener listener;
        private boolean finished;

        Probe(ProbeListener listener) {
            this.listener = listener;
        }

        void finish(boolean ok, Map<String, Double> load) {
            if (finished) return;
            finished = true;
            listener.probeEnded(ok, load);
        }
    }

    @Override
    public void probe(String host, ProbeListener listener) {
        var probe = new Probe(listener);
        Endpoint endpoint = endpoints.get(host);
        if (endpoint == null || !endpoint.liveness.isListed()) {
            probe.finish(false, Map.of());
            return;
        }
        Connection[] used = new Connection[1];
        vertx.setTimer((long) Math.max(1, 2 * rules.connectTimeout()), t -> {
            if (probe.finished) return;
            probe.finish(false, Map.of());
            if (used[0] != null) used[0].retire();
        });
        withConnection(endpoint, connection -> {
            if (connection == null || probe.finished) {
                probe.finish(false, Map.of());
                return;
            }
            used[0] = connection;
            connection.probe = probe;
            connection.send(OutgoingMessages.loadProbe());
        });
    }

    @Override
    public void closeIdleConnections(String host) {
        Endpoint endpoint = endpoints.get(host);
        if (endpoint != null) dropIdleConnections(endpoint);
    }
}
