package trestleline.media;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Generates silent MPEG transport streams with one audio stream, for test hosts (ISO/IEC 13818-1, sections 2.4.3 and
 * 2.4.4). Each segment starts with PAT and PMT (RFC 8216, section 3.2); each PES packet holds some AAC frames and comes
 * with a clock reference. Continuity counters continue from segment to segment across any change of rung: those of the
 * tables are derived from the segment's number, and the number of audio packets of a segment is a multiple of 16.
 */
final class TransportStream {
    private static final int PACKET_BYTES = 188;
    private static final int PAYLOAD_BYTES = 184;
    private static final int PMT_PID = 0x1000;
    private static final int AUDIO_PID = 0x101;
    private static final int FRAMES_PER_PES = 4;
    /** Time between the clock reference of a PES packet and its presentation, in ticks of 90 kHz. */
    private static final long PRESENTATION_DELAY_TICKS = 63_000;

    private TransportStream() {}

    static byte[] segment(long number, double seconds, double bytesPerSecond) {
        AacFrames frames = AacFrames.ofSegment(
                number,
                seconds,
                bytesPerSecond * PAYLOAD_BYTES / PACKET_BYTES,
                Aac.MIN_RAW_BYTES + Aac.ADTS_HEADER_BYTES,
                Aac.MAX_RAW_BYTES + Aac.ADTS_HEADER_BYTES);
        var out = new ByteArrayOutputStream((int) (bytesPerSecond * seconds * 1.1) + 4 * PACKET_BYTES);
        int counter = (int) (number & 15);
        out.writeBytes(tablePacket(0, counter, new byte[] {
            0, (byte) 0xB0, 13, 0, 1, (byte) 0xC1, 0, 0, 0, 1, (byte) (0xE0 | PMT_PID >> 8), (byte) PMT_PID
        }));
        out.writeBytes(tablePacket(PMT_PID, counter, new byte[] {
            2,
            (byte) 0xB0,
            18,
            0,
            1,
            (byte) 0xC1,
            0,
            0,
            (byte) (0xE0 | AUDIO_PID >> 8),
            (byte) AUDIO_PID,
            (byte) 0xF0,
            0,
            0x0F,
            (byte) (0xE0 | AUDIO_PID >> 8),
            (byte) AUDIO_PID,
            (byte) 0xF0,
            0
        }));
        int packetCount = 0;
        int frameCount = frames.sizes().length;
        for (int start = 0; start < frameCount; start += FRAMES_PER_PES) {
            int end = Math.min(frameCount, start + FRAMES_PER_PES);
            var payload = new ByteArrayOutputStream();
            for (int i = start; i < end; i++) payload.writeBytes(Aac.adtsFrame(frames.sizes()[i]));
            long pts = frames.startTicks(start) + 2 * PRESENTATION_DELAY_TICKS;
            packetCount += writePes(
                    out, packetCount, payload.toByteArray(), pts, pts - PRESENTATION_DELAY_TICKS, end == frameCount);
        }
        return out.toByteArray();
    }

    /**
     * Writes a PES packet in as many transport packets as it needs; the last one of a segment in more, so that their
     * total is a multiple of 16.
     *
     * @param packetsBefore number of audio packets already written in the segment
     * @return the number of transport packets written
     */
    private static int writePes(
            ByteArrayOutputStream out, int packetsBefore, byte[] frames, long pts, long clock, boolean last) {
        byte[] pes = ByteBuffer.allocate(14 + frames.length)
                .put(new byte[] {0, 0, 1, (byte) 0xC0})
                .putShort((short) (frames.length + 8))
                .put(new byte[] {(byte) 0x84, (byte) 0x80, 5})
                .put(encodePts(pts))
                .put(frames)
                .array();
        int firstPayloadBytes = PAYLOAD_BYTES - 8; // the clock reference takes 8 bytes
        int packetCount = pes.length <= firstPayloadBytes
                ? 1
                : 1 + (pes.length - firstPayloadBytes + PAYLOAD_BYTES - 1) / PAYLOAD_BYTES;
        if (last) packetCount += 15 - (packetsBefore + packetCount + 15) % 16;
        int written = 0;
        for (int i = 0; i < packetCount; i++) {
            int maxPayload = i == 0 ? firstPayloadBytes : PAYLOAD_BYTES;
            int remaining = pes.length - written;
            int packetsAfter = packetCount - i - 1;
            // Leaves at least one byte for each of the packets after this one.
            int payload = Math.min(
                    maxPayload,
                    Math.min(
                            remaining - packetsAfter,
                            Math.max(1, (remaining + packetsAfter) / (packetsAfter + 1) + 8)));
            ByteBuffer packet =
                    packet(AUDIO_PID, i == 0, packetsBefore + i & 15, i == 0 ? clock : -1, PAYLOAD_BYTES - payload);
            packet.put(pes, written, payload);
            out.writeBytes(packet.array());
            written += payload;
        }
        if (written != pes.length)
            throw new IllegalStateException(
                    "transport packets hold " + written + " bytes of a PES packet of " + pes.length);
        return packetCount;
    }

    /**
     * Returns a packet with its header and adaptation field written, to be filled with payload.
     *
     * @param clock clock reference in ticks of 90 kHz, or -1 for none
     * @param adaptationBytes size of the adaptation field, or 0 for none
     */
    private static ByteBuffer packet(int pid, boolean start, int counter, long clock, int adaptationBytes) {
        ByteBuffer packet = ByteBuffer.allocate(PACKET_BYTES)
                .put((byte) 0x47)
                .putShort((short) ((start ? 0x4000 : 0) | pid))
                .put((byte) ((adaptationBytes > 0 ? 0x30 : 0x10) | counter));
        if (adaptationBytes == 0) return packet;
        int adaptationEnd = packet.position() + adaptationBytes;
        packet.put((byte) (adaptationBytes - 1));
        if (adaptationBytes > 1) packet.put((byte) (clock >= 0 ? 0x50 : 0)); // random access point; clock reference
        if (clock >= 0) packet.putInt((int) (clock >> 1 & 0xFFFFFFFFL)).putShort((short) ((clock & 1) << 15 | 0x7E00));
        while (packet.position() < adaptationEnd) packet.put((byte) 0xFF);
        return packet;
    }

    private static byte[] tablePacket(int pid, int counter, byte[] section) {
        ByteBuffer packet =
                packet(pid, true, counter, -1, 0).put((byte) 0).put(section).putInt(crc(section));
        Arrays.fill(packet.array(), packet.position(), PACKET_BYTES, (byte) 0xFF);
        return packet.array();
    }

    private static byte[] encodePts(long pts) {
        long pts33 = pts & 0x1FFFFFFFFL;
        return new byte[] {
            (byte) (0x21 | pts33 >> 29 & 0x0E),
            (byte) (pts33 >> 22),
            (byte) (pts33 >> 14 & 0xFE | 1),
            (byte) (pts33 >> 7),
            (byte) (pts33 << 1 & 0xFE | 1)
        };
    }

    /** Returns the CRC-32/MPEG-2 (annex A). It is not reflected, so the JDK's CRC-32 cannot be used. */
    static int crc(byte[] bytes) {
        int crc = -1;
        for (byte value : bytes) {
            crc ^= value << 24;
            for (int bit = 0; bit < 8; bit++) crc = crc << 1 ^ (crc < 0 ? 0x04C11DB7 : 0);
        }
        return crc;
    }
}
