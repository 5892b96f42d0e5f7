package trestleline.hosts;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import trestleline.core.Outcome;

/**
 * State machine of one exchange with a host about one set-up: from the events so far it derives which outcome may be
 * reported and what has to be done. Does no I/O; {@link ExchangeDriver} carries out the effects. All that counts is
 * whether the first byte was written, and which complete answer was read afterwards: a set-up provably never ran if no
 * byte of it was sent, or if the host refused it by name. docs/proof.md has the state diagram and the reasoning;
 * {@code ExchangeTest} tries every order of events.
 */
public final class Exchange {
    /** Inputs of the state machine, in any order that sockets and timers can produce. */
    public enum Event {
        /** No address is known for the host. */
        NO_ADDRESS,
        /** A connection was established, or taken from the idle ones. */
        CONNECTED,
        /** No connection could be established. */
        CONNECT_FAILED,
        /** This gateway has reached its limit of connections, which is no fault of the host's. */
        NO_ROOM,
        /** It is open whether the process at the host's address is the host; nothing may be sent to it yet. */
        IDENTITY_OPEN,
        /** No connection within {@code rules.connectTimeout}; may still fire after one was established. */
        CONNECT_TIME_UP,
        /** The check before the write allows it. */
        MAY_WRITE,
        /** The check before the write asks to be run again later. */
        MUST_WAIT,
        /** The check before the write forbids it. */
        MUST_DROP,
        /** A complete answer that names the attempt says that the session plays. */
        GRANTED,
        /** A complete answer that names the attempt says that it was refused unexamined and never ran. */
        REFUSED,
        /** A complete answer that names the attempt says that it was dropped before the host began to work on it. */
        MOOT,
        /** A complete answer that names the attempt reports an error; nothing of the attempt is left at the host. */
        ERROR,
        /** Any other complete answer: an error, one about another attempt, a refusal without proof. */
        ANSWERED_OTHERWISE,
        /** The connection broke, at any byte. */
        BROKEN,
        /** The core no longer waits: the deadline passed, or the viewer or the module cancelled. */
        ABANDONED
    }

    /** Outputs of the state machine, to be carried out in the order given. */
    public enum Effect {
        /** Run the check before the write, at once. */
        CHECK,
        /** Run the check again after a short delay. */
        CHECK_LATER,
        /** Write the set-up to the connection. */
        WRITE,
        /** Report to the core that the session plays. */
        REPORT_PLAYING,
        /** Report to the core that the attempt is over, with the step's outcome. */
        REPORT_OUTCOME,
        /** Close the connection, if there is one. */
        CLOSE,
        /** Release at the host a session that may have been started there. */
        RELEASE
    }

    /** Result of one event: effects in order; {@code outcome} is null unless the effects report one. */
    public record Step(List<Effect> effects, Outcome outcome) {
        private static final Step NONE = new Step(List.of(), null);

        private static Step of(Effect... effects) {
            return new Step(List.of(effects), null);
        }

        private static Step finish(Outcome outcome, Effect... further) {
            var effects = new ArrayList<Effect>(List.of(Effect.REPORT_OUTCOME));
            effects.addAll(List.of(further));
            return new Step(List.copyOf(effects), outcome);
        }
    }

    private enum State {
        CONNECTING,
        CHECKING,
        WRITTEN,
        FINISHED
    }

    private State state = State.CONNECTING;

    /**
     * Classifies a complete response head over HTTP. Only an answer that names the attempt proves anything
     * (docs/wire.md).
     */
    public static Event classifyResponse(int status, String namedAttempt, String ranHeader, String attempt) {
        if (!attempt.equals(namedAttempt)) return Event.ANSWERED_OTHERWISE;
        if (status == 201) return Event.GRANTED;
        return status == 503 && "never".equals(ranHeader) ? Event.REFUSED : Event.ANSWERED_OTHERWISE;
    }

    /** Whether the final state is reached: nothing more will be reported. */
    public boolean isFinished() {
        return state == State.FINISHED;
    }

    /** Applies an event and returns the effects to carry out. */
    public Step handle(Event event) {
        return switch (state) {
            case CONNECTING -> handleConnecting(event);
            case CHECKING -> handleChecking(event);
            case WRITTEN -> handleWritten(event);
            // a connection established too late is closed: nobody would read from it
            case FINISHED -> event == Event.CONNECTED ? Step.of(Effect.CLOSE) : Step.NONE;
        };
    }

    private Step handleConnecting(Event event) {
        switch (event) {
            case CONNECTED -> {
                state = State.CHECKING;
                return Step.of(Effect.CHECK);
            }
            case NO_ADDRESS, CONNECT_FAILED, CONNECT_TIME_UP, BROKEN -> {
                state = State.FINISHED;
                return Step.finish(Outcome.CONNECT_ERROR);
            }
            case NO_ROOM, IDENTITY_OPEN -> {
                state = State.FINISHED;
                return Step.finish(Outcome.IGNORED);
            }
            case ABANDONED -> {
                state = State.FINISHED;
                return Step.NONE;
            }
            default -> {
                return Step.NONE;
            }
        }
    }

    private Step handleChecking(Event event) {
        switch (event) {
            case MAY_WRITE -> {
                state = State.WRITTEN;
                return Step.of(Effect.WRITE);
            }
            case MUST_WAIT -> {
                return Step.of(Effect.CHECK_LATER);
            }
            case MUST_DROP -> { // reported first, so that closing the connection does not look as if the host had
                // closed it
                state = State.FINISHED;
                return Step.finish(Outcome.IGNORED, Effect.CLOSE);
            }
            case BROKEN -> {
                state = State.FINISHED;
                return Step.finish(Outcome.CONNECT_ERROR);
            }
            case ABANDONED -> {
                state = State.FINISHED;
                return Step.of(Effect.CLOSE);
            }
            default -> {
                return Step.NONE;
            }
        }
    }

    /** After the write only a complete answer of the host that names the attempt proves that it never ran. */
    private Step handleWritten(Event event) {
        Step step = STEPS_AFTER_WRITE.get(event);
        if (step == null) return Step.NONE;
        state = State.FINISHED;
        return step;
    }

    private static final Map<Event, Step> STEPS_AFTER_WRITE = Map.of(
            Event.GRANTED, Step.of(Effect.REPORT_PLAYING),
            Event.REFUSED, Step.finish(Outcome.QUEUE_FULL),
            Event.MOOT, Step.finish(Outcome.IGNORED),
            Event.ERROR, Step.finish(Outcome.FAILED),
            // the host may have started the session all the same: an incomplete 201 is a session without a viewer
            Event.ANSWERED_OTHERWISE, Step.finish(Outcome.FAILED, Effect.RELEASE),
            Event.BROKEN, Step.finish(Outcome.RESET_BY_PEER, Effect.RELEASE),
            Event.ABANDONED, Step.of(Effect.CLOSE, Effect.RELEASE));
}
