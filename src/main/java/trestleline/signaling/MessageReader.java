package trestleline.signaling;

import trestleline.codec.ReadBuffer;

/**
 * Splits a byte stream into messages, independently of how the bytes are chunked. Buffers at most one unfinished
 * message. An invalid length is detected as soon as its two bytes have arrived, and nothing after it is read.
 */
final class MessageReader {
    private final ReadBuffer buffer = new ReadBuffer();
    private boolean failed;

    /** Appends received bytes; ignored once {@link #failed}. */
    void append(byte[] bytes) {
        if (!failed) buffer.append(bytes);
    }

    /** Returns the next complete message, or null if none has arrived yet or the stream has {@link #failed}. */
    Message next() {
        if (failed || buffer.size() < 2) return null;
        int length = buffer.byteAt(0) << 8 | buffer.byteAt(1);
        if (length < Message.MIN_LENGTH || length > Message.MAX_LENGTH) {
            failed = true;
            buffer.clear();
            return null;
        }
        if (buffer.size() < 2 + length) return null;
        buffer.skip(2);
        return Message.decode(buffer.read(length));
    }

    /** Whether an invalid length was received, so that the rest of the stream cannot be decoded. */
    boolean failed() {
        return failed;
    }

    /** Number of bytes received of a message that is still incomplete. */
    int bufferedBytes() {
        return buffer.size();
    }
}
