package trestleline.hosts;

import io.vertx.core.Vertx;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trestleline.core.Attempt;
import trestleline.core.MediaHosts;
import trestleline.core.Outcome;

/**
 * Drives the {@link Exchange} of one set-up: feeds it events and carries out its effects, without decisions of its own.
 * Each protocol's subclass adds how the set-up is written and the answer read.
 */
public abstract class ExchangeDriver implements MediaHosts.PendingSetUp {
    private static final Logger LOG = LoggerFactory.getLogger(ExchangeDriver.class);
    /** The attempt that this exchange is about. */
    protected final Attempt attempt;
    /** Told how the attempt goes. */
    protected final MediaHosts.SetUpListener listener;

    private final Vertx vertx;
    private final Exchange exchange = new Exchange();
    private long connectTimer = -1;
    private boolean finished;

    /** Creates a driver whose exchange has not started; the subclass connects. */
    protected ExchangeDriver(Vertx vertx, Attempt attempt, MediaHosts.SetUpListener listener) {
        this.vertx = vertx;
        this.attempt = attempt;
        this.listener = listener;
    }

    /** Writes the set-up to the connection, at once. */
    protected abstract void writeSetUp();

    /** Reports to the core that the session plays. */
    protected abstract void onPlaying();

    /** Closes the connection if this set-up has it to itself. */
    protected abstract void closeConnection();

    /** Releases at the host a session that may have been started there. */
    protected abstract void releaseAtHost();

    /** Called once when the exchange reaches its final state, before its last effects are carried out. */
    protected abstract void finished();

    /** Returns the load that the host reported with the answer that ended the exchange; empty if there was none. */
    protected abstract Map<String, Double> responseLoad();

    /** Starts the timer (ms) within which a connection has to be established. */
    protected final void startConnectTimer(double timeoutMs) {
        connectTimer = vertx.setTimer((long) Math.max(1, timeoutMs), t -> handle(Exchange.Event.CONNECT_TIME_UP));
    }

    /** Whether the exchange has reached its final state: the core is told nothing more. */
    protected final boolean isFinished() {
        return exchange.isFinished();
    }

    @Override
    public final void abandon() {
        handle(Exchange.Event.ABANDONED);
    }

    /** Passes an event to the exchange and carries out the effects. */
    protected final void handle(Exchange.Event event) {
        Exchange.Step step = exchange.handle(event);
        if (exchange.isFinished() && !finished) {
            finished = true;
            if (connectTimer >= 0) vertx.cancelTimer(connectTimer);
            finished();
        }
        for (Exchange.Effect effect : step.effects()) {
            switch (effect) {
                case CHECK -> checkBeforeWrite();
                // 1 ms is about as long as a group commit; the retries end as the check returns DROP at the deadline
                case CHECK_LATER ->
                    vertx.setTimer(1, t -> {
                        if (!exchange.isFinished()) checkBeforeWrite();
                    });
                case WRITE -> writeSetUp();
                case REPORT_PLAYING -> onPlaying();
                case REPORT_OUTCOME -> reportOutcome(event, step.outcome());
                case CLOSE -> closeConnection();
                case RELEASE -> releaseAtHost();
            }
        }
    }

    private void reportOutcome(Exchange.Event event, Outcome outcome) {
        LOG.atDebug()
                .addKeyValue("host", attempt.host())
                .addKeyValue("attempt", attempt.id())
                .addKeyValue("session", attempt.payload().session())
                .addKeyValue("event", event)
                .addKeyValue("outcome", outcome)
                .log("attempt finished");
        listener.setUpEnded(outcome, responseLoad());
    }

    private void checkBeforeWrite() {
        handle(
                switch (listener.beforeWrite()) {
                    case WRITE -> Exchange.Event.MAY_WRITE;
                    case WAIT -> Exchange.Event.MUST_WAIT;
                    case DROP -> Exchange.Event.MUST_DROP;
                });
    }
}
