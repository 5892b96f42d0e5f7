package trestleline.media;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Generates silent packed audio for test hosts: ADTS frames after the ID3 tag that HLS requires (RFC 8216, section
 * 3.4).
 */
final class Adts {
    private Adts() {}

    /** Returns a segment whose presentation time is {@code number x seconds}. */
    static byte[] segment(long number, double seconds, double bytesPerSecond) {
        AacFrames frames = AacFrames.ofSegment(
                number,
                seconds,
                bytesPerSecond,
                Aac.MIN_RAW_BYTES + Aac.ADTS_HEADER_BYTES,
                Aac.MAX_RAW_BYTES + Aac.ADTS_HEADER_BYTES);
        var out = new ByteArrayOutputStream((int) (bytesPerSecond * seconds) + 128);
        out.writeBytes(timestampTag(frames.startTicks(0) & 0x1FFFFFFFFL));
        byte[] frame = new byte[0];
        for (int size : frames.sizes()) {
            if (frame.length != size) frame = Aac.adtsFrame(size);
            out.writeBytes(frame);
        }
        return out.toByteArray();
    }

    /** Returns the ID3v2.4 tag with the owner and the 33-bit timestamp (90 kHz) that RFC 8216 specifies. */
    private static byte[] timestampTag(long timestampTicks) {
        byte[] owner = "com.apple.streaming.transportStreamTimestamp\0".getBytes(StandardCharsets.US_ASCII);
        int frameSize = owner.length + 8;
        return ByteBuffer.allocate(20 + frameSize)
                .put((byte) 'I')
                .put((byte) 'D')
                .put((byte) '3')
                .put((byte) 4)
                .put((byte) 0)
                .put((byte) 0)
                .putInt(syncSafe(10 + frameSize))
                .put("PRIV".getBytes(StandardCharsets.US_ASCII))
                .putInt(syncSafe(frameSize))
                .putShort((short) 0)
                .put(owner)
                .putLong(timestampTicks)
                .array();
    }

    /** Encodes a size as a sync-safe integer: seven bits in each byte. */
    private static int syncSafe(int size) {
        return (size & 0x7F) | (size >> 7 & 0x7F) << 8 | (size >> 14 & 0x7F) << 16 | (size >> 21 & 0x7F) << 24;
    }
}
