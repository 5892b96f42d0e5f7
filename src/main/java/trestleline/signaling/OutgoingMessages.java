package trestleline.signaling;

import java.nio.charset.StandardCharsets;

/** Encodes the messages that this server sends to viewers. */
final class OutgoingMessages {
    private OutgoingMessages() {}

    /** A request that may have run at a host and has failed. */
    static byte[] failure(long id) {
        return release(id, Message.CAUSE_FAILED);
    }

    /** A refusal that advises when to retry, unless {@code retryAfterMs} is 0. */
    static byte[] refusal(long id, double retryAfterMs) {
        var refusal = new Message.Builder(Message.TYPE_RELEASE, id).cause(Message.CAUSE_REFUSED);
        long ms = (long) Math.ceil(retryAfterMs);
        if (ms > 0)
            refusal.parameter(Message.PARAM_RETRY_AFTER, Long.toString(ms).getBytes(StandardCharsets.US_ASCII));
        return refusal.build();
    }

    /** The end of a request or of a session, with one of the causes of {@link Message}. */
    static byte[] release(long id, int cause) {
        return new Message.Builder(Message.TYPE_RELEASE, id).cause(cause).build();
    }

    /** The answer to a set-up; carries the host's description. */
    static byte[] answer(long id, byte[] description) {
        return new Message.Builder(Message.TYPE_ANSWER, id)
                .parameter(Message.PARAM_DESCRIPTION, description)
                .build();
    }

    /** The end of a session whose viewer is to send a new set-up. */
    static byte[] move(long id) {
        return new Message.Builder(Message.TYPE_MOVE, id).build();
    }

    /** The reply to a test. */
    static byte[] testReply(long id, boolean accepting) {
        return new Message.Builder(Message.TYPE_TEST_REPLY, id)
                .cause(accepting ? 1 : 0)
                .build();
    }
}
