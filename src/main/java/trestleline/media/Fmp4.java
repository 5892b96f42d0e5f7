package trestleline.media;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Generates silent fragmented MP4 with one audio track, for test hosts (ISO/IEC 14496-12; CMAF, ISO/IEC 23000-19,
 * section 7.3).
 */
public final class Fmp4 {
    private static final int[] UNITY_MATRIX = {0x10000, 0, 0, 0, 0x10000, 0, 0, 0, 0x40000000};

    private Fmp4() {}

    private static byte[] box(String type, byte[]... parts) {
        int size = 8;
        for (byte[] part : parts) size += part.length;
        ByteBuffer buffer = ByteBuffer.allocate(size).putInt(size).put(ascii(type));
        for (byte[] part : parts) buffer.put(part);
        return buffer.array();
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] ints(int... values) {
        ByteBuffer buffer = ByteBuffer.allocate(4 * values.length);
        for (int value : values) buffer.putInt(value);
        return buffer.array();
    }

    private static byte[] bytes(int... values) {
        byte[] bytes = new byte[values.length];
        for (int i = 0; i < bytes.length; i++) bytes[i] = (byte) values[i];
        return bytes;
    }

    /** Returns the initialization segment, which is the same for every rung. */
    public static byte[] initializationSegment() {
        byte[] decoderConfig = bytes(
                3, 25, 0, 1, 0, 4, 17, 0x40, 0x15, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 5, 2, 0x12, 0x08, 6, 1,
                2); // ISO/IEC 14496-1, 7.2.6
        byte[] sampleEntry = box(
                "mp4a",
                ints(0),
                bytes(0, 0, 0, 1),
                ints(0, 0),
                bytes(0, 1, 0, 16),
                ints(0, AacFrames.SAMPLE_RATE_HZ << 16),
                box("esds", ints(0), decoderConfig));
        byte[] sampleTable = box(
                "stbl",
                box("stsd", ints(0, 1), sampleEntry),
                box("stts", ints(0, 0)),
                box("stsc", ints(0, 0)),
                box("stsz", ints(0, 0, 0)),
                box("stco", ints(0, 0)));
        byte[] dataInformation = box("dinf", box("dref", ints(0, 1), box("url ", ints(1))));
        byte[] media = box(
                "mdia",
                box("mdhd", ints(0, 0, 0, AacFrames.SAMPLE_RATE_HZ, 0), bytes(0x55, 0xC4, 0, 0)),
                box("hdlr", ints(0, 0), ascii("soun"), ints(0, 0, 0), ascii("sound\0")),
                box("minf", box("smhd", ints(0, 0)), dataInformation, sampleTable));
        byte[] track = box(
                "trak",
                box("tkhd", ints(3, 0, 0, 1, 0, 0, 0, 0, 0, 0x01000000), ints(UNITY_MATRIX), ints(0, 0)),
                media);
        byte[] movie = box(
                "moov",
                box(
                        "mvhd",
                        ints(0, 0, 0, 1000, 0, 0x10000, 0x01000000, 0, 0),
                        ints(UNITY_MATRIX),
                        ints(0, 0, 0, 0, 0, 0, 2)),
                track,
                box("mvex", box("trex", ints(0, 1, 1, AacFrames.SAMPLES_PER_FRAME, 0, 0))));
        return concat(box("ftyp", ascii("iso6"), ints(1), ascii("iso6cmfcmp41")), movie);
    }

    static byte[] segment(long number, double seconds, double bytesPerSecond) {
        // The boxes' share of the rate: 4 bytes per frame for its size in trun, and 152 bytes per segment.
        AacFrames frames = AacFrames.ofSegment(
                number,
                seconds,
                bytesPerSecond - 4.0 * AacFrames.SAMPLE_RATE_HZ / AacFrames.SAMPLES_PER_FRAME - 152 / seconds,
                Aac.MIN_RAW_BYTES,
                Aac.MAX_RAW_BYTES);
        int frameCount = frames.sizes().length;
        byte[] fragment = fragment(number, frames, 0);
        var samples = new ByteArrayOutputStream((int) (bytesPerSecond * seconds) + 64);
        byte[] frame = new byte[0];
        for (int size : frames.sizes()) {
            if (frame.length != size) frame = Aac.rawFrame(size);
            samples.writeBytes(frame);
        }
        if (frameCount == 0) throw new IllegalArgumentException("the segment is too short to hold an AAC frame");
        return concat(
                box("styp", ascii("msdh"), ints(0), ascii("msdhcmfs")),
                fragment(number, frames, fragment.length + 8),
                box("mdat", samples.toByteArray()));
    }

    /**
     * Returns the {@code moof} box of a segment.
     *
     * @param dataOffset offset of the first sample from the start of this box, bytes
     */
    private static byte[] fragment(long number, AacFrames frames, int dataOffset) {
        long decodeTime = frames.firstFrame() * AacFrames.SAMPLES_PER_FRAME;
        byte[] decodeTimeFields =
                ByteBuffer.allocate(12).putInt(0x01000000).putLong(decodeTime).array();
        return box(
                "moof",
                box("mfhd", ints(0, (int) (number + 1 & 0x7FFFFFFF))),
                box(
                        "traf",
                        box("tfhd", ints(0x020008, 1, AacFrames.SAMPLES_PER_FRAME)),
                        box("tfdt", decodeTimeFields),
                        box("trun", ints(0x000201, frames.sizes().length, dataOffset), ints(frames.sizes()))));
    }

    private static byte[] concat(byte[]... parts) {
        var out = new ByteArrayOutputStream();
        for (byte[] part : parts) out.writeBytes(part);
        return out.toByteArray();
    }
}
