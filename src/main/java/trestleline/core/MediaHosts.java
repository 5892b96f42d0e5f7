package trestleline.core;

import java.util.Map;

/** Client of the media hosts. All calls and callbacks are made on the gateway's event loop. */
public interface MediaHosts {
    /** Result of the check that is made right before a set-up is written to its connection. */
    enum WriteDecision {
        /** Write the set-up now. */
        WRITE,
        /** Ask again a little later. */
        WAIT,
        /** Do not write the set-up; it is over. */
        DROP
    }

    /**
     * Callbacks of a set-up. {@link #sessionStarted} or {@link #setUpEnded} is called once, unless the set-up is
     * abandoned.
     */
    interface SetUpListener {
        /** Called right before the first byte is written; decides whether it is. */
        WriteDecision beforeWrite();

        /**
         * The session plays.
         *
         * @param report load figures that the host sent with its answer, by name
         */
        void sessionStarted(Map<String, Double> report);

        /**
         * The session plays, and the host's answer describes it for the viewer.
         *
         * @param report load figures that the host sent with its answer, by name
         * @param hostDescription the description, to be passed to the viewer unchanged
         */
        default void sessionStarted(Map<String, Double> report, byte[] hostDescription) {
            sessionStarted(report);
        }

        /**
         * The attempt is over without a session.
         *
         * @param outcome how it ended
         * @param report load figures that the host sent with its answer, by name
         */
        void setUpEnded(Outcome outcome, Map<String, Double> report);
    }

    /** A pending set-up. */
    interface PendingSetUp {
        /** Stops waiting for the set-up and releases at the host what may have run there; no callback follows. */
        void abandon();
    }

    /** Callback of a probe; called once. */
    interface ProbeListener {
        /**
         * The probe is over.
         *
         * @param succeeded false if no answer came in time or it could not be read
         * @param report load figures that the host sent with its answer, by name
         */
        void probeEnded(boolean succeeded, Map<String, Double> report);
    }

    /** Connects to the attempt's host and sets the session up there. */
    PendingSetUp setUp(Attempt attempt, SetUpListener listener);

    /** Requests a host's load figures. */
    void probe(String host, ProbeListener listener);

    /** Releases whatever the attempt holds at its host. Idempotent. */
    void release(Attempt attempt);

    /**
     * Reports that the rung of a playing session has changed. Does nothing by default: hosts from which each media
     * segment is requested learn the rung with the next request.
     */
    default void rungChanged(Attempt attempt, int rung) {}

    /** Takes over a playing session that another process set up. Does nothing by default. */
    default void adopt(Attempt attempt) {}

    /** Closes idle connections to the host. */
    void closeIdleConnections(String host);
}
