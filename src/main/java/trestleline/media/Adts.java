package trestleline.media;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Silent AAC-LC of any rate, for stand-ins: mono frames at 44.1 kHz in ADTS (ISO/IEC 13818-7, annex 1.B), each a silent
 * channel padded by fill elements (ISO/IEC 14496-3, 4.4.2.7) to the size that the rate asks. A segment starts with the
 * ID3 tag that packed audio in HLS needs (RFC 8216, section 3.4).
 */
public final class Adts {
    public static final int SAMPLE_RATE = 44100;
    public static final int SAMPLES_PER_FRAME = 1024;
    private static final int HEADER = 7, LEAST = HEADER + 8, MOST = 8191;

    private Adts() { }

    /** Frames that begin before so many seconds, so that segments join without gap or overlap. */
    static long framesBefore(double seconds) {
        return (long) Math.ceil(seconds * SAMPLE_RATE / SAMPLES_PER_FRAME - 1e-9);
    }

    /**
     * One segment.
     *
     * @param number from 0; its time on the stream is {@code number x seconds}
     * @param bytesPerS the rate wanted, kept to within one byte a frame where frames can be so small or large
     */
    public static byte[] segment(int number, double seconds, double bytesPerS) {
        long from = framesBefore(number * seconds), to = framesBefore((number + 1) * seconds);
        long pts = from * SAMPLES_PER_FRAME * 90000 / SAMPLE_RATE;
        var out = new ByteArrayOutputStream((int) (bytesPerS * seconds) + 128);
        out.writeBytes(timestampTag(pts & 0x1FFFFFFFFL));
        double perFrame = bytesPerS * SAMPLES_PER_FRAME / SAMPLE_RATE, owed = 0;
        byte[] body = new byte[0];
        for (long f = from; f < to; f++) {
            owed += perFrame;
            int size = (int) Math.max(LEAST, Math.min(MOST, Math.round(owed)));
            owed -= size;
            if (body.length != size) body = frame(size);
            out.writeBytes(body);
        }
        return out.toByteArray();
    }

    /** The ID3v2.4 tag with the owner and the 33-bit timestamp that RFC 8216 names. */
    private static byte[] timestampTag(long pts) {
        byte[] owner = "com.apple.streaming.transportStreamTimestamp\0".getBytes(StandardCharsets.US_ASCII);
        int frame = owner.length + 8;
        return ByteBuffer.allocate(20 + frame).put((byte) 'I').put((byte) 'D').put((byte) '3').put((byte) 4)
            .put((byte) 0).put((byte) 0).putInt(syncSafe(10 + frame)).put("PRIV".getBytes(StandardCharsets.US_ASCII))
            .putInt(syncSafe(frame)).putShort((short) 0).put(owner).putLong(pts).array();
    }

    private static int syncSafe(int n) {
        return (n & 0x7F) | (n >> 7 & 0x7F) << 8 | (n >> 14 & 0x7F) << 16 | (n >> 21 & 0x7F) << 24;
    }

    /** One ADTS frame of exactly {@code size} bytes. */
    static byte[] frame(int size) {
        var bits = new Bits(size);
        bits.put(0xFFF, 12).put(0, 1).put(0, 2).put(1, 1); // sync, MPEG-4, layer, no CRC
        bits.put(1, 2).put(4, 4).put(0, 1).put(1, 3).put(0, 4); // AAC-LC, 44.1 kHz, private, mono, copyright bits
        bits.put(size, 13).put(0x7FF, 11).put(0, 2); // length, variable rate, one block
        bits.put(0, 3).put(0, 4).put(0, 8); // single channel element, its number, global gain
        bits.put(0, 1).put(0, 2).put(0, 1).put(0, 6).put(0, 1); // long window, no bands, no prediction
        bits.put(0, 1).put(0, 1).put(0, 1); // no pulses, no noise shaping, no gain control
        int left = (size * 8 - bits.at() - 3) / 8;
        while (left > 0) {
            // an element of n payload bytes takes 7 bits and n bytes, 8 bits more from 15 payload bytes on
            int n = left - 2 >= 15 ? Math.min(left - 2, 269) : Math.min(left - 1, 14);
            bits.put(6, 3);
            if (n >= 15) bits.put(15, 4).put(n - 14, 8);
            else bits.put(n, 4);
            for (int i = 0; i < n; i++) bits.put(0, 8);
            left = (size * 8 - bits.at() - 3) / 8;
        }
        bits.put(7, 3);
        return bits.bytes();
    }

    private static final class Bits {
        private final byte[] bytes;
        private int at;

        Bits(int size) {
            bytes = new byte[size];
        }

        Bits put(int value, int count) {
            for (int i = count - 1; i >= 0; i--, at++) {
                if ((value >> i & 1) != 0) bytes[at >> 3] |= (byte) (0x80 >> (at & 7));
            }
            return this;
        }

        int at() {
            return at;
        }

        byte[] bytes() {
            return bytes;
        }
    }
}
