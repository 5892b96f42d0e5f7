package trestleline.media;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class MediaTest {
    /** Walks the ADTS frames after the ID3 tag; returns their number. */
    private static int frames(byte[] segment) {
        assertEquals('I', segment[0]);
        int at = 10 + (segment[6] << 21 | segment[7] << 14 | segment[8] << 7 | segment[9]), n = 0;
        while (at < segment.length) {
            assertEquals(0xFF, segment[at] & 0xFF, "sync at " + at);
            assertEquals(0xF1, segment[at + 1] & 0xFF);
            at += (segment[at + 3] & 3) << 11 | (segment[at + 4] & 0xFF) << 3 | (segment[at + 5] & 0xE0) >> 5;
            n++;
        }
        assertEquals(segment.length, at);
        return n;
    }

    @Property(tries = 200)
    void segmentsKeepTheirRate(@ForAll @IntRange(max = 5000) int number, @ForAll @DoubleRange(min = 0.5, max = 4) double s,
                               @ForAll @DoubleRange(min = 1000, max = 300_000) double rate) {
        byte[] bytes = Adts.segment(number, s, rate);
        int n = frames(bytes);
        assertEquals(s * Adts.SAMPLE_RATE / Adts.SAMPLES_PER_FRAME, n, 1.01);
        double perFrame = rate * Adts.SAMPLES_PER_FRAME / Adts.SAMPLE_RATE;
        assertEquals(n * perFrame, bytes.length - 73, 2 + n * 0.01);
    }

    @Property(tries = 300)
    void everySizeOfFrameIsFilledToItsEnd(@ForAll @IntRange(min = 15, max = 8191) int size) {
        byte[] frame = Adts.frame(size);
        assertEquals(size, frame.length);
        var bits = new Object() {
            int at = 56;

            int get(int n) {
                int v = 0;
                for (int i = 0; i < n; i++, at++) v = v << 1 | frame[at >> 3] >> (7 - (at & 7)) & 1;
                return v;
            }
        };
        assertEquals(0, bits.get(3), "a single channel");
        bits.at += 4 + 8 + 11 + 3;
        int id;
        while ((id = bits.get(3)) == 6) {
            int n = bits.get(4);
            if (n == 15) n += bits.get(8) - 1;
            bits.at += 8 * n;
        }
        assertEquals(7, id, "the end element follows the fill elements");
        assertTrue(size * 8 - bits.at < 8 + 7, "and nothing but stuffing after it: " + (size * 8 - bits.at));
    }

    @Test
    void segmentsJoinWithoutGap() {
        long next = 0;
        for (int i = 0; i < 50; i++) {
            assertEquals(next, Adts.framesBefore(i * 1.3));
            next = Adts.framesBefore((i + 1) * 1.3);
        }
    }

    @Test
    void playlistsAreReadAsWritten() {
        String text = Playlist.write("tok", 5, 2);
        assertEquals(List.of("tok/0.aac", "tok/1.aac", "tok/2.aac"), Playlist.read(text));
        assertTrue(text.endsWith("#EXT-X-ENDLIST\n") && text.contains("#EXT-X-TARGETDURATION:2\n"));
        assertThrows(IllegalArgumentException.class, () -> Playlist.read("<html>"));
    }
}
