package trestleline.codec;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * FIFO buffer of received bytes. An array appended to an empty buffer is used without copying; otherwise it is joined
 * with the unread bytes. The size is not limited here: the caller bounds it by abandoning streams that it cannot
 * decode. Not thread-safe.
 */
public final class ReadBuffer {
    private static final byte[] EMPTY = new byte[0];
    private byte[] buffer = EMPTY;
    private int start;
    private int end;

    /** Appends received bytes. The array must not be modified afterwards. */
    public void append(byte[] bytes) {
        if (start == end) {
            buffer = bytes;
            start = 0;
            end = bytes.length;
            return;
        }
        byte[] joined = Arrays.copyOfRange(buffer, start, end + bytes.length);
        System.arraycopy(bytes, 0, joined, end - start, bytes.length);
        buffer = joined;
        end = joined.length;
        start = 0;
    }

    /** Number of unread bytes. */
    public int size() {
        return end - start;
    }

    /** Returns the unread byte at an index, as 0 to 255, without consuming it. */
    public int byteAt(int index) {
        return buffer[start + index] & 0xff;
    }

    /** Consumes and returns the next {@code count} bytes; {@link #size} must be at least that. */
    public byte[] read(int count) {
        byte[] bytes = Arrays.copyOfRange(buffer, start, start + count);
        skip(count);
        return bytes;
    }

    /** Consumes the next {@code count} bytes and returns them as ISO 8859-1 text. */
    public String readText(int count) {
        String text = peekText(count);
        skip(count);
        return text;
    }

    /** Returns the next {@code count} bytes as ISO 8859-1 text without consuming them. */
    public String peekText(int count) {
        return new String(buffer, start, count, StandardCharsets.ISO_8859_1);
    }

    /** Consumes the next {@code count} bytes. */
    public void skip(int count) {
        start += count;
        if (start == end) clear();
    }

    /** Discards all unread bytes. */
    public void clear() {
        buffer = EMPTY;
        start = end = 0;
    }
}
