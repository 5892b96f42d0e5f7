package trestleline.core;

/** How an attempt ended, with the code that the decision module knows it by ({@code Placement.AttemptEnded.code}). */
public enum Outcome {
    /** The session was set up, or played and ended in order. */
    OK("Ok", false),
    /** The host answered the set-up with an error or in a way that names no other outcome. */
    FAILED("Failed", false),
    /** The host refused the set-up unexamined. */
    QUEUE_FULL("QueueFull", true),
    /** No answer came in time, or the host fell silent during the session. */
    TIMED_OUT("TimedOut", false),
    /** The connection to the host could not be made, or broke before anything was written. */
    CONNECT_ERROR("ConnectError", true),
    /** The connection to the host broke after the set-up was written, or the host lost the session. */
    RESET_BY_PEER("ResetByPeer", false),
    /** The gateway, the viewer or the module gave the attempt or the session up. */
    CANCELED("Canceled", false),
    /** The set-up was not sent, or came to nothing before it reached the host's own work. */
    IGNORED("Ignored", true);

    private final String code;
    private final boolean neverRan;

    Outcome(String code, boolean neverRan) {
        this.code = code;
        this.neverRan = neverRan;
    }

    /** Returns the decision module's code of this outcome. */
    public String code() {
        return code;
    }

    /** Returns whether this outcome proves that the attempt never ran at the host. */
    public boolean neverRan() {
        return neverRan;
    }
}
