package trestleline.signaling;

import java.util.ArrayDeque;

/**
 * Messages for viewers that have no connection at the moment, oldest first; bounded in number and time. Free of I/O.
 */
final class UndeliveredMessages {
    /** Messages that are kept; the oldest are dropped beyond this. */
    private static final int MAX_MESSAGES = 1024;
    /** How long (ms) a message is kept. */
    private static final double RETENTION_MS = 8000;

    private record KeptMessage(byte[] bytes, double expiresAt) {}

    private final ArrayDeque<KeptMessage> messages = new ArrayDeque<>();

    /** Keeps a message from now (ms) on. */
    void add(byte[] message, double now) {
        messages.addLast(new KeptMessage(message, now + RETENTION_MS));
        if (messages.size() > MAX_MESSAGES) messages.removeFirst();
    }

    /** Removes and returns the oldest message, or returns null if there is none. */
    byte[] poll() {
        KeptMessage oldest = messages.pollFirst();
        return oldest == null ? null : oldest.bytes;
    }

    /** Drops the messages whose time is over. */
    void expire(double now) {
        while (!messages.isEmpty() && messages.peekFirst().expiresAt < now) messages.removeFirst();
    }
}
