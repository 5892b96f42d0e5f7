package trestleline.signaling;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/**
 * One protocol message: {@code length:2 type:1 session:8 parameters}, big-endian. The length counts every byte that
 * follows it; each parameter is {@code code:1 length:2 value}.
 *
 * @param type one of the {@code TYPE_} constants, or any other value from 0 to 255
 * @param session id of the request or session, all 64 bits
 * @param parameters values by parameter code
 * @param malformed whether a parameter exceeds the message or occurs twice; {@code type} and {@code session} are valid
 *     even then
 */
public record Message(int type, long session, Map<Integer, byte[]> parameters, boolean malformed) {
    /** From a viewer: requests a session, or hands over one that a host already plays. */
    public static final int TYPE_SET_UP = 1;
    /** Accepted and ignored. */
    public static final int TYPE_PROGRESS = 6;
    /** To a viewer: the session plays; carries the host's description. */
    public static final int TYPE_ANSWER = 9;
    /** In both directions: ends a request or a session, with a cause. */
    public static final int TYPE_RELEASE = 12;
    /** Accepted and ignored. */
    public static final int TYPE_RELEASED = 16;
    /** Accepted and ignored. */
    public static final int TYPE_NOTE = 44;
    /** To a viewer: the session was taken off its host; the viewer is to send a new set-up. */
    public static final int TYPE_MOVE = 51;
    /** From a viewer: asks whether new set-ups are accepted. */
    public static final int TYPE_TEST = 52;
    /** Reply to {@link #TYPE_TEST}: its cause is 1 if set-ups are accepted, 0 while draining. */
    public static final int TYPE_TEST_REPLY = 53;
    /** Not accepted from viewers and not sent. */
    public static final int TYPE_RUNG = 60;

    /** Parameter: name of the request's class. */
    public static final int PARAM_CLASS = 3;
    /** Parameter: how long the viewer waits for the answer, decimal milliseconds. */
    public static final int PARAM_DEADLINE = 4;
    /** Parameter: name of the tenant. */
    public static final int PARAM_TENANT = 5;
    /** Parameter: title id, 16 hexadecimal digits. */
    public static final int PARAM_TITLE = 7;
    /** Parameter: placement attributes, {@code name:value} pairs separated by semicolons. */
    public static final int PARAM_FIGURES = 8;
    /** Parameter of a refusal: how long the viewer should wait before it retries, decimal milliseconds. */
    public static final int PARAM_RETRY_AFTER = 9;
    /** Parameter: cause of a release, or state in a test reply; one byte. */
    public static final int PARAM_CAUSE = 17;
    /** Parameter: session description, passed through between viewer and host. */
    public static final int PARAM_DESCRIPTION = 18;

    /** Smallest valid value of the length field, bytes: type and session. */
    static final int MIN_LENGTH = 9;
    /** Largest valid value of the length field, bytes: 16 KiB including the length field itself. */
    static final int MAX_LENGTH = 16 * 1024 - 2;

    /** Release cause: the viewer gave up, or the title played to its end. */
    public static final int CAUSE_NORMAL = 16;
    /** Release cause: the request was cancelled. */
    public static final int CAUSE_CANCELLED = 31;
    /** Release cause: the request was refused, and retrying it is harmless. */
    public static final int CAUSE_REFUSED = 42;
    /** Release cause: a playing session ended before its title did. */
    public static final int CAUSE_INTERRUPTED = 41;
    /** Release cause: the request failed, and the set-up may have run at a host. */
    public static final int CAUSE_FAILED = 38;

    /** Decodes a message from the bytes after its length field. */
    static Message decode(byte[] bytes) {
        var input = ByteBuffer.wrap(bytes);
        int type = input.get() & 0xff;
        long session = input.getLong();
        Map<Integer, byte[]> parameters = new HashMap<>(8);
        boolean malformed = false;
        while (input.hasRemaining() && !malformed) {
            int code = input.get() & 0xff;
            int length = input.remaining() < 2 ? Integer.MAX_VALUE : input.getShort() & 0xffff;
            malformed = length > input.remaining();
            if (malformed) break;
            byte[] value = new byte[length];
            input.get(value);
            malformed = parameters.put(code, value) != null;
        }
        return new Message(type, session, parameters, malformed);
    }

    /** Returns a parameter as text, one character per byte, or null if it is absent. */
    String textParameter(int code) {
        byte[] value = parameters.get(code);
        return value == null ? null : new String(value, StandardCharsets.ISO_8859_1);
    }

    /** Returns the cause of a release, or {@link #CAUSE_NORMAL} if it is absent or not one byte long. */
    int cause() {
        byte[] value = parameters.get(PARAM_CAUSE);
        return value == null || value.length != 1 ? CAUSE_NORMAL : value[0] & 0xff;
    }

    /** Encodes an outgoing message. */
    static final class Builder {
        private final ByteArrayOutputStream encoded = new ByteArrayOutputStream(64);

        Builder(int type, long session) {
            encoded.write(0);
            encoded.write(0);
            encoded.write(type);
            for (int i = 7; i >= 0; i--) encoded.write((int) (session >> 8 * i));
        }

        Builder parameter(int code, byte... value) {
            encoded.write(code);
            encoded.write(value.length >> 8);
            encoded.write(value.length);
            encoded.writeBytes(value);
            return this;
        }

        Builder cause(int cause) {
            return parameter(PARAM_CAUSE, (byte) cause);
        }

        /** Returns the message with its length field; throws if it exceeds {@link #MAX_LENGTH}. */
        byte[] build() {
            byte[] message = encoded.toByteArray();
            if (message.length - 2 > MAX_LENGTH)
                throw new IllegalArgumentException("message too long: " + message.length + " bytes");
            message[0] = (byte) (message.length - 2 >> 8);
            message[1] = (byte) (message.length - 2);
            return message;
        }
    }
}
