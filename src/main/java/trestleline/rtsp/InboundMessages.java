package trestleline.rtsp;

import java.util.ArrayList;
import java.util.List;

/**
 * The messages that were received on one connection, in order. A message that carries a session description is held
 * back until what follows shows that its length was right: with a length that is too small it looks complete, and the
 * rest of its body follows like another message. Does no I/O and reads no clock.
 */
final class InboundMessages {
    private final RtspReader reader = new RtspReader();
    /** The last complete message, if nothing has followed it yet. */
    private RtspMessage held;

    /** Adds received bytes. */
    void add(byte[] bytes) {
        reader.add(bytes);
    }

    /**
     * Removes and returns the messages that can be processed now. After a {@link #failure} the message right before it
     * is dropped if it was held back.
     */
    List<RtspMessage> take() {
        List<RtspMessage> messages = new ArrayList<>();
        for (RtspMessage message = reader.next(); message != null; message = reader.next()) {
            releaseHeld(messages);
            if (carriesDescription(message)) held = message;
            else messages.add(message);
        }
        if (reader.failure() != null) held = null;
        else if (reader.hasStartLine()) releaseHeld(messages);
        return messages;
    }

    private void releaseHeld(List<RtspMessage> messages) {
        if (held != null) messages.add(held);
        held = null;
    }

    /** Returns the message that is held back, if nothing has followed it, not even a part of another one; else null. */
    RtspMessage last() {
        return reader.hasPartialMessage() ? null : held;
    }

    /** Removes and returns the message that is held back, as nothing follows it; null if there is none. */
    RtspMessage takeLast() {
        if (last() == null) return null;
        RtspMessage last = held;
        held = null;
        return last;
    }

    private static boolean carriesDescription(RtspMessage message) {
        return message.status() == 200 && message.cseq() == RtspMessage.CSEQ_SETUP || message.body().length > 0;
    }

    /** Returns why the stream can't be parsed any further, or null. */
    String failure() {
        return reader.failure();
    }

    /** Whether a message was received in part. */
    boolean hasPartialMessage() {
        return reader.hasPartialMessage();
    }
}
