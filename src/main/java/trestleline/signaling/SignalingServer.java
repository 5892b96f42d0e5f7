package trestleline.signaling;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trestleline.codec.NumberCodec;
import trestleline.core.EndReason;
import trestleline.core.Gateway;
import trestleline.core.OpenSession;
import trestleline.core.RequestPayload;
import trestleline.core.Session;
import trestleline.core.StallGuard;
import trestleline.core.Viewer;
import trestleline.placement.Placement;

/**
 * TCP server for the platform's viewers. It translates between the binary protocol and the core and makes no placement
 * decisions; it rejects on its own only what cannot be decoded or exceeds this process's limits. Memory is bounded by
 * the connection limit, {@link SetUpMemory}, the playing sessions, and a bounded queue of messages for viewers that
 * have no connection at the moment. Not thread-safe: all calls must come from one event loop.
 */
public final class SignalingServer {
    private static final Logger LOG = LoggerFactory.getLogger(SignalingServer.class);
    /**
     * A connection without requests or sessions, or with an incomplete message, is closed after this time without a
     * complete one.
     */
    private static final double SILENCE_TIMEOUT_MS = 2000;

    private static final int SWEEP_INTERVAL_MS = 250;
    /** Time (ms) that a new connection has to say something before it may be closed for another one. */
    private static final double MIN_IDLE_MS = 50;
    /** How long (ms) new connections wait at most for idle ones to have had this time. */
    private static final double MAX_ROOM_WAIT_MS = 250;
    /**
     * Connections beyond the limit that are open while idle ones get this time, and as many that are being rejected.
     */
    private static final int EXTRA_CONNECTIONS = 4;
    /** Interval (ms) at which connections beyond the limit are looked at. */
    private static final int ROOM_INTERVAL_MS = 10;
    /** Set-ups of one connection that are passed to the core per turn. */
    private static final int SET_UPS_PER_TURN = 16;
    /** Unprocessed bytes of one connection from which on nothing more is read from it: a whole message. */
    private static final int MAX_UNPROCESSED_BYTES = Message.MAX_LENGTH + 2;
    /**
     * How long (ms) the set-ups of a connection that is always readable are held back at most. They wait until it was
     * read to its end, because a release or the close of the connection may lie behind them.
     */
    private static final double MAX_HOLD_BACK_MS = 500;
    /** Unanswered set-ups allowed per connection. */
    private static final int MAX_PENDING_PER_CONNECTION = 256;
    /**
     * Sessions taken over at one host for each stream that a host can run at most: more than it can run, as some may
     * have ended without this gateway's knowledge.
     */
    private static final int TAKEN_OVER_PER_SLOT = 4;
    /** Moved viewers remembered until they send their next set-up. */
    private static final int MAX_MOVED_VIEWERS = 256;
    /** Bit in a request's marks for a viewer whose previous session was moved. */
    private static final int MARK_MOVED = 8;

    private final Vertx vertx;
    private final Placement.Settings settings;
    private final Gateway gateway;
    private final SetUpReader setUpReader;
    private final DoubleSupplier clock;
    private final int maxConnections;
    private final int maxPendingSetUps;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Pending requests and playing sessions by id, oldest first. */
    private final Map<Long, ActiveRequest> activeRequests = new LinkedHashMap<>();

    private final UndeliveredMessages undelivered = new UndeliveredMessages();
    /** Keys of viewers whose session was moved and that have not sent a new set-up yet. */
    private final Set<Long> movedViewers = new LinkedHashSet<>();

    private final TakenOverSessions<Connection, ActiveRequest> takenOverSessions;
    /** Requests that are over and may have run at a host: none runs a second time under its id. */
    private final RecentIds endedIds = new RecentIds();

    private final EarlyReleases<Connection> earlyReleases = new EarlyReleases<>();

    private final StallGuard stallGuard;
    private NetServer server;
    private int pendingSetUps;
    private final SetUpMemory setUpMemory = new SetUpMemory();
    private final ReadyConnections<Connection> readyConnections;
    private boolean passScheduled;

    private final AcceptControl acceptControl;
    private boolean roomCheckScheduled;
    /** Since when (ms) the limit of connections is exceeded; meaningful while a check is scheduled. */
    private double overLimitSince;

    private boolean draining;
    private long rejectedConnections;
    private long unreadableStreams;
    private long invalidSetUps;

    /**
     * Creates the server; {@link #start} makes it listen.
     *
     * @param vertx where the server and its timers run
     * @param settings classes, tenants and rules that set-ups are checked against
     * @param gateway takes the requests
     * @param maxConnections maximum number of open connections
     * @param maxPendingSetUps maximum number of unanswered set-ups over all connections
     * @param clock current time in milliseconds
     */
    public SignalingServer(
            Vertx vertx,
            Placement.Settings settings,
            Gateway gateway,
            int maxConnections,
            int maxPendingSetUps,
            DoubleSupplier clock) {
        this.vertx = vertx;
        this.settings = settings;
        this.gateway = gateway;
        this.maxConnections = maxConnections;
        this.maxPendingSetUps = maxPendingSetUps;
        this.clock = clock;
        acceptControl = new AcceptControl(maxConnections + 2 * EXTRA_CONNECTIONS);
        stallGuard = new StallGuard(SWEEP_INTERVAL_MS, clock.getAsDouble());
        setUpReader = new SetUpReader(settings);
        int slots = Arrays.stream(settings.fleet().sessionSlots()).max().orElse(0);
        takenOverSessions =
                new TakenOverSessions<>(slots > 0 ? TAKEN_OVER_PER_SLOT * slots : TakenOverSessions.MAX_TOTAL);
        readyConnections = new ReadyConnections<>(clock, this::processTurn);
    }

    /** Starts listening; completes with the actual port, or fails if the address cannot be bound. */
    public Future<Integer> start(String host, int port) {
        server = vertx.createNetServer(new NetServerOptions()
                .setHost(host)
                .setPort(port)
                .setTcpNoDelay(true)
                .setAcceptBacklog(1024));
        server.connectHandler(this::onConnect);
        vertx.setPeriodic(SWEEP_INTERVAL_MS, timer -> sweep());
        return server.listen().map(NetServer::actualPort);
    }

    /** Refuses new set-ups from now on; pending requests and playing sessions continue. */
    public void drain() {
        draining = true;
    }

    /** Ends up to {@code count} playing sessions, those with the oldest requests first. */
    public void endOldestSessions(int count) {
        List<Session> sessions = new ArrayList<>();
        for (ActiveRequest request : activeRequests.values()) {
            if (sessions.size() >= count) break;
            if (request.session != null) sessions.add(request.session);
        }
        for (Session session : sessions) gateway.endSession(session, EndReason.SHUTDOWN);
    }

    /** Number of unanswered set-ups over all connections. */
    public int pendingCount() {
        return pendingSetUps;
    }

    /** Number of pending requests and playing sessions. */
    public int activeCount() {
        return activeRequests.size();
    }

    /** Number of open connections. */
    public int connections() {
        return connections.size();
    }

    /** Counters of connections over the limit, undecodable streams and invalid set-ups, separated by slashes. */
    public String rejectionCounts() {
        return rejectedConnections + "/" + unreadableStreams + "/" + invalidSetUps;
    }

    // Connections

    private final class Connection {
        final NetSocket socket;
        final MessageReader messageReader = new MessageReader();
        final ReadControl readControl;
        final SetUpQueue setUpQueue = new SetUpQueue();
        final SetUpMemory.Account setUpMemoryAccount = new SetUpMemory.Account();
        /** Ids of the set-ups of this connection that are unanswered. */
        final Set<Long> pendingIds = new HashSet<>();
        /** Playing sessions whose set-up came on this connection. */
        int playingSessions;
        /**
         * Clock reading (ms) of the last valid set-up, matching release or test, or of the end of a request or session;
         * initially of the connect.
         */
        double lastActiveAt = clock.getAsDouble();
        /** Clock reading (ms) when the incomplete message in the buffer began; infinite if there is none. */
        double incompleteSince = Double.POSITIVE_INFINITY;

        boolean closed;
        /** Whether more may lie in the socket: the last chunk was full, or reading was paused. */
        boolean moreExpected;

        Connection(NetSocket socket) {
            this.socket = socket;
            readControl = new ReadControl(socket);
        }

        /** Whether something was received that has not been processed or passed to the core yet. */
        boolean hasUnprocessed() {
            return !setUpQueue.isEmpty() || readyConnections.contains(this);
        }

        void send(byte[] bytes) {
            if (LOG.isTraceEnabled()) {
                LOG.atTrace()
                        .addKeyValue("type", bytes[2])
                        .addKeyValue("session", new String(bytes, 3, bytes.length - 3, StandardCharsets.ISO_8859_1))
                        .addKeyValue("hex", java.util.HexFormat.of().formatHex(bytes, 3, 11))
                        .addKeyValue("closed", closed)
                        .log("message to viewer");
            }
            if (closed) return;
            socket.write(Buffer.buffer(bytes));
            if (socket.writeQueueFull())
                abort(this); // a peer that does not read must not grow the write queue without bound
        }

        void close() {
            if (!closed) socket.close();
        }
    }

    private void onConnect(NetSocket socket) {
        acceptControl.opened(socket);
        if (connections.size() >= maxConnections && !makeRoom()) {
            rejectedConnections++;
            socket.close();
            return;
        }
        var connection = new Connection(socket);
        connections.add(connection);
        socket.exceptionHandler(
                error -> LOG.atDebug().addKeyValue("cause", error.getMessage()).log("viewer connection failed"));
        socket.closeHandler(v -> onClosed(connection));
        socket.handler(buffer -> onBytes(connection, buffer.getBytes()));
    }

    /**
     * Makes room for a connection beyond the limit: closes the one that has been inactive longest and has no request,
     * session or unprocessed message. One that was opened just now gets the time to say something first; until then the
     * limit is exceeded by a few, and whoever comes next waits. Returns whether there is room.
     */
    private boolean makeRoom() {
        Connection idlest = idlestConnection();
        if (idlest == null) return false;
        double now = clock.getAsDouble();
        if (!roomCheckScheduled) overLimitSince = now;
        if (mayCloseForAnother(idlest, now)) {
            closeIdle(idlest);
            return true;
        }
        if (connections.size() >= maxConnections + EXTRA_CONNECTIONS) acceptControl.hold(true);
        scheduleRoomCheck();
        return true;
    }

    /** Whether an idle connection has had its time to say something, or others have waited for too long. */
    private boolean mayCloseForAnother(Connection idle, double now) {
        return now - idle.lastActiveAt >= MIN_IDLE_MS || now - overLimitSince >= MAX_ROOM_WAIT_MS;
    }

    private void scheduleRoomCheck() {
        if (roomCheckScheduled) return;
        roomCheckScheduled = true;
        vertx.setTimer(ROOM_INTERVAL_MS, timer -> {
            roomCheckScheduled = false;
            closeExtraConnections();
        });
    }

    /** Closes connections that have been idle for long enough until the limit is kept, now or a little later. */
    private void closeExtraConnections() {
        double now = clock.getAsDouble();
        Connection idlest = idlestConnection();
        while (connections.size() > maxConnections && idlest != null && mayCloseForAnother(idlest, now)) {
            closeIdle(idlest);
            idlest = idlestConnection();
        }
        boolean isOverLimit = connections.size() > maxConnections;
        // where none will become idle soon, new ones are turned away instead of kept waiting
        if (!isOverLimit || idlest == null || now - overLimitSince >= MAX_ROOM_WAIT_MS) acceptControl.hold(false);
        if (isOverLimit) scheduleRoomCheck();
    }

    private void closeIdle(Connection connection) {
        rejectedConnections++;
        connection.close();
        onClosed(connection);
    }

    /** The idle connection that has been inactive longest, or null. */
    private Connection idlestConnection() {
        Connection idlest = null;
        for (Connection connection : connections) {
            if (!connection.pendingIds.isEmpty()
                    || connection.playingSessions > 0
                    || connection.closed
                    || connection.hasUnprocessed()) continue;
            if (idlest == null || connection.lastActiveAt < idlest.lastActiveAt) idlest = connection;
        }
        return idlest;
    }

    /** Closes silent connections and drops expired undelivered messages and early releases. */
    private void sweep() {
        double now = clock.getAsDouble();
        if (stallGuard.mayJudge(now)) closeSilentConnections(now);
        undelivered.expire(now);
        earlyReleases.expire(now);
    }

    private void closeSilentConnections(double now) {
        for (Connection connection : new ArrayList<>(connections)) {
            boolean idle =
                    connection.pendingIds.isEmpty() && connection.playingSessions == 0 && !connection.hasUnprocessed();
            // abort() answers the pending requests before it closes the connection
            if (now - connection.incompleteSince > SILENCE_TIMEOUT_MS) abort(connection);
            else if (idle && now - connection.lastActiveAt > SILENCE_TIMEOUT_MS) connection.close();
        }
    }

    private void onClosed(Connection connection) {
        if (connection.closed) return;
        connection.closed = true;
        connections.remove(connection);
        discardQueuedSetUps(connection);
        handleUnprocessedAfterClose(connection);
        LOG.atDebug()
                .addKeyValue("open", connection.pendingIds.size())
                .addKeyValue("standing", connection.playingSessions)
                .addKeyValue("waiting", connection.messageReader.bufferedBytes())
                .addKeyValue("quiet", clock.getAsDouble() - connection.lastActiveAt)
                .log("viewer connection closed");
        for (Long id : new ArrayList<>(connection.pendingIds)) cancel(activeRequests.get(id));
    }

    private void discardQueuedSetUps(Connection connection) {
        for (SetUpQueue.QueuedSetUp queued = connection.setUpQueue.poll();
                queued != null;
                queued = connection.setUpQueue.poll())
            setUpMemory.release(connection.setUpMemoryAccount, queued.bytes());
    }

    /**
     * Handles the messages that were not processed when the connection closed. New set-ups are dropped, as nobody waits
     * for their answer. Releases and takeovers are processed, because playing sessions do not belong to a connection.
     */
    private void handleUnprocessedAfterClose(Connection connection) {
        for (Message message = connection.messageReader.next();
                message != null;
                message = connection.messageReader.next()) {
            if (message.type() == Message.TYPE_RELEASE) handleRelease(connection, message);
            else if (message.type() == Message.TYPE_SET_UP && SetUpReader.isTakeover(message))
                handleSetUp(connection, message);
        }
    }

    /**
     * Ends a connection whose input can no longer be interpreted, or whose peer does not read. Each pending request is
     * answered with a failure and cancelled, each queued one refused; the connection closes once the answers are
     * written.
     */
    private void abort(Connection connection) {
        if (connection.closed) return;
        unreadableStreams++;
        if (connection.socket.writeQueueFull()) {
            // an orderly close would wait for the peer to read
            ((NetSocketInternal) connection.socket).channelHandlerContext().close();
        } else {
            for (Long id : connection.pendingIds) connection.socket.write(Buffer.buffer(OutgoingMessages.failure(id)));
            for (SetUpQueue.QueuedSetUp queued : connection.setUpQueue.all())
                connection.socket.write(Buffer.buffer(OutgoingMessages.refusal(queued.id(), 0)));
            connection.socket.end();
        }
        onClosed(connection);
    }

    // Reading and turns

    private void onBytes(Connection connection, byte[] bytes) {
        if (connection.closed) return;
        connection.messageReader.append(bytes);
        connection.moreExpected = bytes.length >= ReadControl.CHUNK_BYTES;
        if (connection.messageReader.bufferedBytes() >= MAX_UNPROCESSED_BYTES) connection.readControl.pause();
        readyConnections.add(connection);
        if (passScheduled) return;
        passScheduled = true;
        // after everything that is readable in this pass of the event loop was read
        vertx.runOnContext(v -> runPass());
    }

    /**
     * Gives each connection with unprocessed input a turn. Further passes use a timer, so that the sockets are read in
     * between: the event loop runs dozens of consecutive tasks before it polls its sockets again.
     */
    private void runPass() {
        passScheduled = false;
        readyConnections.runPass();
        if (readyConnections.isEmpty() || passScheduled) return;
        passScheduled = true;
        vertx.setTimer(1, timer -> runPass());
    }

    /**
     * Processes some of what a connection has sent; returns whether it needs another turn. Set-ups are queued, and
     * passed to the core only once the connection was read to its end: a release or a close behind them would otherwise
     * stay unnoticed while they are sent to hosts.
     */
    private boolean processTurn(Connection connection, int messages) {
        if (connection.closed) return false;
        if (!processMessages(connection, messages)) return !connection.closed;
        if (connection.messageReader.failed()) {
            abort(connection);
            return false;
        }
        updateIncompleteSince(connection);
        if (connection.readControl.isPaused()) {
            connection.readControl.resume();
            connection.moreExpected = true;
        }
        SetUpQueue.QueuedSetUp oldest = connection.setUpQueue.peek();
        if (connection.moreExpected) {
            connection.moreExpected = false; // what lies in the socket is read before the next turn
            if (oldest == null) return false;
            if (clock.getAsDouble() - oldest.queuedAt() < MAX_HOLD_BACK_MS) return true;
        }
        for (int i = 0; i < SET_UPS_PER_TURN && !connection.closed && !connection.setUpQueue.isEmpty(); i++)
            passToCore(connection, connection.setUpQueue.poll());
        return !connection.closed && !connection.setUpQueue.isEmpty();
    }

    /** Decodes and handles up to a number of messages; returns whether no complete one is left. */
    private boolean processMessages(Connection connection, int count) {
        for (int i = 0; i < count; i++) {
            Message message = connection.messageReader.next();
            if (message == null) return true;
            connection.incompleteSince = Double.POSITIVE_INFINITY;
            traceMessage(message);
            handle(connection, message);
            if (connection.closed) return false;
        }
        return false;
    }

    /** Notes since when a message is incomplete: from its first byte on, not from the last complete message. */
    private void updateIncompleteSince(Connection connection) {
        if (connection.messageReader.bufferedBytes() == 0) connection.incompleteSince = Double.POSITIVE_INFINITY;
        else if (connection.incompleteSince == Double.POSITIVE_INFINITY)
            connection.incompleteSince = clock.getAsDouble();
    }

    private static void traceMessage(Message message) {
        if (!LOG.isTraceEnabled()) return;
        LOG.atTrace()
                .addKeyValue("type", message.type())
                .addKeyValue("session", NumberCodec.formatHexId(message.session()))
                .addKeyValue("figures", message.textParameter(Message.PARAM_FIGURES))
                .addKeyValue("description", message.textParameter(Message.PARAM_DESCRIPTION))
                .addKeyValue("waits", message.textParameter(Message.PARAM_DEADLINE))
                .log("message from viewer");
    }

    // Messages from viewers

    private void handle(Connection connection, Message message) {
        switch (message.type()) {
            case Message.TYPE_SET_UP -> handleSetUp(connection, message);
            case Message.TYPE_RELEASE -> handleRelease(connection, message);
            case Message.TYPE_TEST -> {
                connection.lastActiveAt = clock.getAsDouble();
                connection.send(OutgoingMessages.testReply(message.session(), !draining));
            }
            case Message.TYPE_PROGRESS, Message.TYPE_RELEASED, Message.TYPE_NOTE, Message.TYPE_TEST_REPLY -> {}
            default -> abort(connection);
        }
    }

    /** Checks a set-up and queues it, or takes over the session that it hands over. */
    private void handleSetUp(Connection connection, Message message) {
        long id = message.session();
        SetUpReader.SetUp setUp;
        try {
            setUp = setUpReader.read(message);
        } catch (SetUpReader.InvalidSetUpException e) {
            invalidSetUps++;
            LOG.atDebug()
                    .addKeyValue("session", NumberCodec.formatHexId(id))
                    .addKeyValue("field", e.getMessage())
                    .log("unusable");
            // a refusal would be taken for the one answer to the first request with this id
            if (activeRequests.containsKey(id) || connection.setUpQueue.contains(id)) abort(connection);
            else connection.send(OutgoingMessages.refusal(id, 0));
            return;
        }
        if (setUp.currentHost() != null) {
            takeOver(connection, id, setUp);
            return;
        }
        if (connection.setUpQueue.contains(id)) { // the viewer could not tell the two answers apart
            abort(connection);
            return;
        }
        int bytes = SetUpMemory.bytesOf(setUp);
        if (!setUpMemory.tryReserve(connection.setUpMemoryAccount, bytes)) {
            refuseForNow(connection, id);
            return;
        }
        connection.setUpQueue.add(new SetUpQueue.QueuedSetUp(id, setUp, bytes, clock.getAsDouble()));
    }

    private void refuseForNow(Connection connection, long id) {
        connection.send(OutgoingMessages.refusal(
                id, settings.rules().retryAfter() ? settings.rules().maxRetryAfter() : 0));
    }

    /** Passes a set-up from the queue to the core, unless its viewer has left or a limit is reached. */
    private void passToCore(Connection connection, SetUpQueue.QueuedSetUp queued) {
        long id = queued.id();
        boolean hasLeft = earlyReleases.consume(id, connection, clock.getAsDouble()); // then no answer is expected
        boolean isOpen = !hasLeft && activeRequests.containsKey(id); // the viewer could not tell the two answers apart
        boolean mayHaveRun = !hasLeft && !isOpen && endedIds.contains(id, clock.getAsDouble());
        boolean isOverLimit = draining
                || connection.pendingIds.size() >= MAX_PENDING_PER_CONNECTION
                || pendingSetUps >= maxPendingSetUps;
        if (!hasLeft && !isOpen && !mayHaveRun && !isOverLimit) {
            request(connection, queued);
            return;
        }
        setUpMemory.release(connection.setUpMemoryAccount, queued.bytes());
        if (hasLeft) return;
        if (isOpen) abort(connection);
        else if (mayHaveRun) rejectSecondRun(connection, queued);
        else refuseForNow(connection, id);
    }

    /**
     * Answers a set-up whose id was used before, by a request that may have run. It is not passed on: a paid one would
     * run twice, and the teardown of the earlier one, which is by id, may end the later one.
     */
    private void rejectSecondRun(Connection connection, SetUpQueue.QueuedSetUp queued) {
        boolean repeatable = settings.classes().stream()
                .anyMatch(requestClass -> requestClass.effect() == Placement.Effect.PURE
                        && requestClass.name().equals(queued.setUp().request().service()));
        if (repeatable) connection.send(OutgoingMessages.refusal(queued.id(), 0));
        else connection.send(OutgoingMessages.failure(queued.id()));
    }

    private void request(Connection connection, SetUpQueue.QueuedSetUp queued) {
        long id = queued.id();
        connection.lastActiveAt = clock.getAsDouble();
        sendUndelivered(connection);
        Placement.SessionRequest sessionRequest = markIfMoved(queued.setUp().request());
        var request = new ActiveRequest(id, connection, queued.bytes());
        activeRequests.put(id, request);
        connection.pendingIds.add(id);
        pendingSetUps++;
        double queuedMs = clock.getAsDouble() - queued.queuedAt();
        double timeoutMs = Math.max(1, queued.setUp().timeoutMs() - queuedMs);
        long requestId =
                gateway.request(sessionRequest, timeoutMs, queued.setUp().payload(), request);
        request.requestId = requestId;
        // Other answers sent within that call may have aborted the connection, and with it this request, before it had
        // its request id.
        if (activeRequests.get(id) != request) gateway.cancelRequest(requestId);
    }

    /** Marks the first request of a viewer whose session was moved. */
    private Placement.SessionRequest markIfMoved(Placement.SessionRequest request) {
        if (!movedViewers.remove(request.key())) return request;
        return new Placement.SessionRequest(
                0,
                request.service(),
                request.tenant(),
                request.key(),
                request.title(),
                0,
                request.hint(),
                request.home(),
                request.holders(),
                request.top(),
                request.marks() | MARK_MOVED | SetUpReader.MARK_REPEATED);
    }

    private void takeOver(Connection connection, long id, SetUpReader.SetUp setUp) {
        if (activeRequests.containsKey(id)) return;
        connection.lastActiveAt = clock.getAsDouble();
        String host = setUp.currentHost();
        var request = new ActiveRequest(id, connection, 0);
        request.takenOverAt = host;
        ActiveRequest surplus = takenOverSessions.add(host, connection, request);
        if (surplus == request) {
            connection.send(OutgoingMessages.release(id, Message.CAUSE_INTERRUPTED));
            return;
        }
        activeRequests.put(id, request);
        connection.playingSessions++;
        // the description is for a set-up, which has been
        var payload =
                new RequestPayload(setUp.payload().session(), setUp.payload().title(), new byte[0]);
        request.session = gateway.resumeSession(
                new OpenSession(setUp.request(), host, payload.session(), OpenSession.UNKNOWN_RUNG, payload), request);
        if (surplus != null) gateway.endSession(surplus.session, EndReason.SHUTDOWN);
        if (earlyReleases.consume(id, connection, clock.getAsDouble()) && activeRequests.get(id) == request)
            end(request);
    }

    /** Cancels a pending set-up or ends a playing session for its viewer. The release may come on any connection. */
    private void handleRelease(Connection connection, Message message) {
        SetUpQueue.QueuedSetUp queued = connection.setUpQueue.remove(message.session());
        if (queued != null) {
            connection.lastActiveAt = clock.getAsDouble();
            setUpMemory.release(connection.setUpMemoryAccount, queued.bytes());
            return;
        }
        ActiveRequest request = activeRequests.get(message.session());
        if (request == null) {
            earlyReleases.add(message.session(), connection, clock.getAsDouble());
            return;
        }
        connection.lastActiveAt = clock.getAsDouble();
        end(request);
    }

    private void end(ActiveRequest request) {
        if (request.session == null) {
            cancel(request);
            return;
        }
        Session session = request.session;
        request.remove();
        endedIds.add(request.id, clock.getAsDouble());
        gateway.endSession(session, EndReason.VIEWER_GONE);
    }

    private void cancel(ActiveRequest request) {
        if (request == null) return;
        request.remove();
        boolean mayHaveRun = gateway.cancelRequest(request.requestId);
        if (mayHaveRun) endedIds.add(request.id, clock.getAsDouble());
    }

    // Requests and sessions

    /** One request, from its arrival until it is refused, failed or cancelled or its session ends. */
    private final class ActiveRequest implements Viewer {
        /** The viewer's id for the request and its session. */
        final long id;

        final Connection connection;
        /** Memory reserved until the request is answered. */
        final int reservedBytes;
        /** The gateway's id for the request. */
        long requestId;
        /** Null until the session plays. */
        Session session;
        /** Host of a session that was handed over, else null. */
        String takenOverAt;

        ActiveRequest(long id, Connection connection, int reservedBytes) {
            this.id = id;
            this.connection = connection;
            this.reservedBytes = reservedBytes;
        }

        void remove() {
            activeRequests.remove(id, this);
            connection.lastActiveAt = clock.getAsDouble(); // its viewer's next message is on its way
            if (takenOverAt != null) takenOverSessions.remove(takenOverAt, connection, this);
            if (session == null) removePending();
            else connection.playingSessions--;
        }

        private void removePending() {
            pendingSetUps--;
            connection.pendingIds.remove(id);
            setUpMemory.release(connection.setUpMemoryAccount, reservedBytes);
        }

        @Override
        public void granted(Session session) {
            removePending();
            connection.playingSessions++;
            this.session = session;
            connection.send(OutgoingMessages.answer(id, session.hostDescription()));
        }

        @Override
        public void refused(double comeBackMs) {
            remove();
            connection.send(OutgoingMessages.refusal(id, comeBackMs));
        }

        @Override
        public void failed() {
            remove();
            endedIds.add(id, clock.getAsDouble());
            connection.send(OutgoingMessages.failure(id));
        }

        @Override
        public void ended(Session session, EndReason why) {
            this.session = session; // a taken-over session may end before takeOver() has set the field
            remove();
            endedIds.add(id, clock.getAsDouble());
            if (why == EndReason.MOVED) {
                movedViewers.add(session.request().key());
                if (movedViewers.size() > MAX_MOVED_VIEWERS)
                    movedViewers.remove(movedViewers.iterator().next());
                sendOrKeep(connection, OutgoingMessages.move(id));
            } else if (why != EndReason.VIEWER_GONE) {
                int cause = why == EndReason.PLAYED_OUT ? Message.CAUSE_NORMAL : Message.CAUSE_INTERRUPTED;
                sendOrKeep(connection, OutgoingMessages.release(id, cause));
            }
        }
    }

    /**
     * Sends the end of a playing session on the connection of its set-up or, if that is closed, on another one in use,
     * because playing sessions do not belong to a connection. Without any such connection the message is kept.
     */
    private void sendOrKeep(Connection connection, byte[] message) {
        if (!connection.closed) {
            connection.send(message);
            return;
        }
        Connection other = null;
        for (Connection candidate : connections) {
            if (!candidate.closed && (candidate.playingSessions > 0 || !candidate.pendingIds.isEmpty()))
                other = candidate;
        }
        LOG.atDebug().addKeyValue("kept", other == null).log("end of session sent on another connection or kept");
        if (other != null) {
            other.send(message);
            return;
        }
        undelivered.add(message, clock.getAsDouble());
    }

    private void sendUndelivered(Connection connection) {
        for (byte[] message = undelivered.poll(); message != null; message = undelivered.poll())
            connection.send(message);
    }

    /** Closes all connections once their pending writes are flushed, and then stops listening. */
    public Future<Void> stop() {
        List<Future<Void>> closings = new ArrayList<>();
        for (Connection connection : connections) {
            for (SetUpQueue.QueuedSetUp queued : connection.setUpQueue.all()) refuseForNow(connection, queued.id());
            closings.add(connection.socket.end());
        }
        return Future.join(closings)
                .mapEmpty()
                .eventually(() -> server == null ? Future.succeededFuture() : server.close())
                .mapEmpty();
    }
}
