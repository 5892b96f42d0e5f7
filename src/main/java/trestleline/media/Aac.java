package trestleline.media;

/**
 * Silent AAC-LC frames, mono at 44.1 kHz, of any size: a silent channel padded by fill elements (ISO/IEC 14496-3,
 * 4.4.2.7); with or without an ADTS header (ISO/IEC 13818-7, annex 1.B).
 */
final class Aac {
    static final int ADTS_HEADER_BYTES = 7;
    /** Smallest size of a frame without header, bytes. */
    static final int MIN_RAW_BYTES = 8;
    /** Largest size of a frame without header, bytes; the ADTS length field has 13 bits. */
    static final int MAX_RAW_BYTES = 8191 - ADTS_HEADER_BYTES;

    private Aac() {}

    /** Returns an ADTS frame of exactly {@code size} bytes, header included. */
    static byte[] adtsFrame(int size) {
        var bits = new BitWriter(size);
        bits.put(0xFFF, 12).put(0, 1).put(0, 2).put(1, 1); // sync, MPEG-4, layer, no CRC
        bits.put(1, 2).put(4, 4).put(0, 1).put(1, 3).put(0, 4); // AAC-LC, 44.1 kHz, private, mono, copyright bits
        bits.put(size, 13).put(0x7FF, 11).put(0, 2); // length, variable rate, one block
        return silentBlock(bits, size);
    }

    /** Returns a frame of exactly {@code size} bytes without a header, as in MP4 samples. */
    static byte[] rawFrame(int size) {
        return silentBlock(new BitWriter(size), size);
    }

    private static byte[] silentBlock(BitWriter bits, int size) {
        bits.put(0, 3).put(0, 4).put(0, 8); // single channel element, its number, global gain
        bits.put(0, 1).put(0, 2).put(0, 1).put(0, 6).put(0, 1); // long window, no bands, no prediction
        bits.put(0, 1).put(0, 1).put(0, 1); // no pulses, no noise shaping, no gain control
        int bytesLeft = (size * 8 - bits.position() - 3) / 8;
        while (bytesLeft > 0) {
            // A fill element takes 7 bits and its payload, and another 8 bits if the payload has 15 bytes or more.
            int payload = bytesLeft - 2 >= 15 ? Math.min(bytesLeft - 2, 269) : Math.min(bytesLeft - 1, 14);
            bits.put(6, 3);
            if (payload >= 15) bits.put(15, 4).put(payload - 14, 8);
            else bits.put(payload, 4);
            for (int i = 0; i < payload; i++) bits.put(0, 8);
            bytesLeft = (size * 8 - bits.position() - 3) / 8;
        }
        bits.put(7, 3); // end element
        return bits.bytes();
    }

    private static final class BitWriter {
        private final byte[] bytes;
        private int position;

        BitWriter(int size) {
            bytes = new byte[size];
        }

        BitWriter put(int value, int bitCount) {
            for (int i = bitCount - 1; i >= 0; i--, position++) {
                if ((value >> i & 1) != 0) bytes[position >> 3] |= (byte) (0x80 >> (position & 7));
            }
            return this;
        }

        /** Returns the number of bits written. */
        int position() {
            return position;
        }

        byte[] bytes() {
            return bytes;
        }
    }
}
