package trestleline.rtsp;

/** Encodes the messages that this client sends to media hosts. */
final class OutgoingMessages {
    private static final byte[] EMPTY_BODY = new byte[0];
    /** Sequence number of messages that want no answer. */
    private static final String CSEQ_ONE_WAY = "4";
    /** Session id of messages that concern no session. */
    private static final String NO_SESSION = "0000000000000000";

    private OutgoingMessages() {}

    /**
     * A set-up.
     *
     * @param title as the viewer named it
     * @param className class of the request
     * @param remainingMs how long this gateway waits for the answer, ms
     * @param rung rung to play at
     * @param description the viewer's description
     */
    static byte[] setUp(
            String sessionId, String title, String className, long remainingMs, int rung, byte[] description) {
        return RtspMessage.encode(
                "SETUP rtsp://media/" + title + " RTSP/1.0",
                description,
                "CSeq",
                Integer.toString(RtspMessage.CSEQ_SETUP),
                "Session",
                sessionId,
                "X-Tier",
                className,
                "X-Deadline",
                Long.toString(remainingMs),
                "P-Level",
                Integer.toString(rung));
    }

    /** Gives up a set-up that has no answer yet. */
    static byte[] giveUp(String sessionId) {
        return RtspMessage.encode(
                "TEARDOWN rtsp://media/" + sessionId + " RTSP/1.0",
                EMPTY_BODY,
                "CSeq",
                Integer.toString(RtspMessage.CSEQ_TEARDOWN),
                "Session",
                sessionId);
    }

    /** Ends a session that plays. */
    static byte[] release(String sessionId) {
        return RtspMessage.encode(
                "TEARDOWN rtsp://media/" + sessionId + " RTSP/1.0",
                EMPTY_BODY,
                "CSeq",
                Integer.toString(RtspMessage.CSEQ_TEARDOWN),
                "Session",
                sessionId,
                "Reason",
                "cause=31");
    }

    /** Confirms the host's teardown of a session. */
    static byte[] teardownConfirmation(String sessionId) {
        return RtspMessage.encode(
                "RTSP/1.0 200 OK",
                EMPTY_BODY,
                "CSeq",
                Integer.toString(RtspMessage.CSEQ_TEARDOWN),
                "Session",
                sessionId);
    }

    /** Tells the host a session's new rung. */
    static byte[] newRung(String sessionId, int rung) {
        return RtspMessage.encode(
                "SET_PARAMETER rtsp://media/" + sessionId + " RTSP/1.0",
                EMPTY_BODY,
                "CSeq",
                CSEQ_ONE_WAY,
                "Session",
                sessionId,
                "P-Level",
                Integer.toString(rung));
    }

    /** Asks for the host's load. */
    static byte[] loadProbe() {
        return RtspMessage.encode(
                "OPTIONS rtsp://media/load RTSP/1.0",
                EMPTY_BODY,
                "CSeq",
                Integer.toString(RtspMessage.CSEQ_OPTIONS),
                "Session",
                NO_SESSION);
    }
}
