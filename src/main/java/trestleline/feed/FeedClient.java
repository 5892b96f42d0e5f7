package trestleline.feed;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trestleline.core.HostListSource;
import trestleline.core.StallGuard;
import trestleline.discovery.Backoff;
import trestleline.discovery.ListedHost;
import trestleline.discovery.LoopbackAddress;
import trestleline.placement.Placement;

/**
 * TCP client that follows the control feed. One connection is active. A second one exists only while its subscription
 * is pending: it replaces the active connection with the first line it receives, and until then lines on the active
 * connection are still processed. A connection is closed when it breaks, when it is silent for longer than two of the
 * feed's one-second intervals, or when a line cannot be parsed; the next connection subscribes from the last event that
 * was received whole. All methods run on the event loop.
 */
public final class FeedClient implements HostListSource {
    private static final Logger LOG = LoggerFactory.getLogger(FeedClient.class);
    /** The feed sends its latest event number every second; silence for longer than this (ms) counts as a break. */
    private static final double SILENCE_TIMEOUT_MS = 2100;
    /**
     * How long (ms) a pending connection may stay silent. The feed answers a subscription at once, and sends its number
     * at most a second later, so the timeout must not be shorter than that. It is shorter than the silence timeout
     * because an event that a silent feed would have sent counts as delivered after 4 s, a time meant to cover the
     * silence, a retry delay and two of these timeouts.
     */
    private static final double PENDING_TIMEOUT_MS = 1300;

    private static final int CONNECT_TIMEOUT_MS = 500;
    private static final int CHECK_INTERVAL_MS = 100;
    private static final int MAX_LINE_BYTES = 1 << 18;
    /** Delays between connections (ms) before and after exponential growth; half of each is random. */
    private static final double MIN_RETRY_DELAY_MS = 50;

    private static final double MAX_RETRY_DELAY_MS = 400;

    /** Receives each change, in order, before the gateway does. */
    public interface ChangeListener {
        /** Called on the event loop for each change to the host list. */
        void onChange(FeedParser.Change change);
    }

    private final Vertx vertx;
    private final FeedParser parser;
    private final ChangeListener changeListener;
    private final Consumer<Placement.HostListUpdate> updateListener;
    private final DoubleSupplier clock;
    private final Backoff backoff;
    private final StallGuard stallGuard;
    private final NetClient client;
    private LoopbackAddress feedAddress;
    private Connection active;
    private Connection pending;
    private double nextConnectMs;
    private boolean current;
    private boolean closed;
    private long disconnects;

    /** A connection to the feed; {@code socket} is null until it is established. */
    private static final class Connection {
        final LoopbackAddress address;
        NetSocket socket;
        double lastReceivedMs;

        Connection(LoopbackAddress address) {
            this.address = address;
        }
    }

    /**
     * @param changeListener receives each change before {@code updateListener}
     * @param updateListener receives each change in the form that the placement module takes
     * @param clock time in ms
     * @param seed of the random part of the retry delays
     */
    public FeedClient(
            Vertx vertx,
            FeedParser parser,
            ChangeListener changeListener,
            Consumer<Placement.HostListUpdate> updateListener,
            DoubleSupplier clock,
            long seed) {
        this.vertx = vertx;
        this.parser = parser;
        this.changeListener = changeListener;
        this.updateListener = updateListener;
        this.clock = clock;
        stallGuard = new StallGuard(CHECK_INTERVAL_MS, clock.getAsDouble());
        backoff = new Backoff(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, seed);
        client =
                vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(CONNECT_TIMEOUT_MS));
    }

    /** Reports the host list that was known at the start, then follows the feed at an address. */
    public void start(List<FeedParser.Change> initialEvents, LoopbackAddress address) {
        // Stale until the feed confirms that no later event exists: the list was written some time before this start.
        if (!initialEvents.isEmpty()) report(FeedParser.merge(initialEvents), "stale_copy");
        feedAddress = address;
        vertx.setPeriodic(CHECK_INTERVAL_MS, timer -> checkTimeouts());
        connect();
    }

    /**
     * Switches to the feed at another address; event numbering continues. Lines from the old feed are processed until
     * the new one sends its first line.
     */
    public void switchAddress(LoopbackAddress address) {
        if (address.equals(feedAddress)) return;
        feedAddress = address;
        if (pending != null) disconnect(pending);
        backoff.reset();
        connect();
    }

    /** Connections that broke or were given up. */
    public long disconnects() {
        return disconnects;
    }

    /** Closes both connections; none is opened afterwards. */
    public void close() {
        closed = true;
        if (pending != null) disconnect(pending);
        if (active != null) disconnect(active);
    }

    private void disconnect(Connection connection) {
        if (connection == pending) pending = null;
        if (connection == active) active = null;
        if (connection.socket != null) connection.socket.close();
    }

    private boolean isOpen(Connection connection) {
        return connection == pending || connection == active;
    }

    private void connect() {
        if (closed || pending != null) return;
        var connection = new Connection(feedAddress);
        pending = connection;
        client.connect(feedAddress.port(), feedAddress.ip()).onComplete(result -> {
            if (!isOpen(connection)) {
                if (result.succeeded()) result.result().close();
                return;
            }
            if (result.failed()) {
                onDisconnect(connection, "connection failed");
                return;
            }
            connection.socket = result.result();
            connection.lastReceivedMs = clock.getAsDouble();
            connection.socket.exceptionHandler(
                    e -> LOG.atDebug().addKeyValue("cause", e.getMessage()).log("control feed socket error"));
            connection.socket.closeHandler(v -> onDisconnect(connection, "closed"));
            RecordParser lineParser = RecordParser.newDelimited("\n", line -> onLine(connection, line));
            lineParser.maxRecordSize(MAX_LINE_BYTES);
            lineParser.exceptionHandler(e -> onDisconnect(connection, e.getMessage()));
            connection.socket.handler(lineParser);
            connection.socket.write(Buffer.buffer("SUB " + parser.lastEventNumber() + "\n"));
        });
    }

    private void onLine(Connection connection, Buffer bytes) {
        if (!isOpen(connection)) return;
        connection.lastReceivedMs = clock.getAsDouble();
        FeedParser.Line line;
        try {
            line = parser.parseLine(bytes.toString());
        } catch (IllegalArgumentException e) {
            LOG.atWarn().addKeyValue("fault", e.getMessage()).log("invalid line from the control feed");
            onDisconnect(connection, e.getMessage());
            return;
        }
        if (line.type() == FeedParser.LineType.GAP) {
            onDisconnect(connection, "gap in event numbers");
            return;
        }
        if (connection == pending) promotePending();
        switch (line.type()) {
            case CHANGE -> report(line.change(), line.change().mode());
            case UP_TO_DATE -> {
                // Tells the module that the list is current again after the start or after a break.
                if (!current)
                    updateListener.accept(new Placement.HostListUpdate("patch", List.of(), parser.lastEventNumber()));
                current = true;
            }
            case DUPLICATE, GAP -> {}
        }
    }

    /** Makes the pending connection the active one and closes the old one. */
    private void promotePending() {
        Connection previous = active;
        active = pending;
        pending = null;
        if (previous != null) disconnect(previous);
        backoff.reset();
    }

    private void report(FeedParser.Change change, String mode) {
        LOG.atDebug()
                .addKeyValue("n", change.eventNumber())
                .addKeyValue("hosts", change.hosts())
                .log("changed");
        for (String error : change.errors())
            LOG.atWarn().addKeyValue("fault", error).log("invalid host in the control feed ignored");
        changeListener.onChange(change);
        if (!mode.equals("stale_copy")) current = true;
        updateListener.accept(new Placement.HostListUpdate(
                mode, change.hosts().stream().map(ListedHost::entry).toList(), change.eventNumber()));
    }

    private void onDisconnect(Connection connection, String reason) {
        if (!isOpen(connection) || closed) return;
        LOG.atInfo()
                .addKeyValue("why", reason)
                .addKeyValue("last", parser.lastEventNumber())
                .log("control feed disconnected");
        disconnects++;
        disconnect(connection);
        if (active == null) {
            if (current)
                updateListener.accept(new Placement.HostListUpdate("broken", List.of(), parser.lastEventNumber()));
            current = false;
        }
        nextConnectMs = clock.getAsDouble() + backoff.nextDelayMs();
    }

    private void checkTimeouts() {
        double now = clock.getAsDouble();
        if (stallGuard.mayJudge(now)) dropSilentConnections(now);
        boolean addressChanged = active != null && !active.address.equals(feedAddress);
        if ((active == null || addressChanged) && pending == null && now >= nextConnectMs) connect();
    }

    private void dropSilentConnections(double now) {
        if (active != null && now - active.lastReceivedMs > SILENCE_TIMEOUT_MS) onDisconnect(active, "silent");
        if (pending != null && pending.socket != null && now - pending.lastReceivedMs > PENDING_TIMEOUT_MS)
            onDisconnect(pending, "no answer to the subscription");
    }

    /** Does nothing: the feed is followed all the time. */
    @Override
    public void subscribe(boolean want) {}

    /** Drops the active connection, so that the next one subscribes again from the last event. */
    @Override
    public void refresh() {
        if (active != null) onDisconnect(active, "refresh requested");
    }
}
