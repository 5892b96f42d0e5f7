package trestleline.media;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** HLS media playlists of recorded titles (RFC 8216, section 4.3). */
public final class Playlist {
    /** Segments of a title at most: a playlist is written on an event loop. */
    public static final int MOST = 20_000;

    private Playlist() { }

    /** Segments of a title; the last may be short. */
    public static int segments(double titleS, double segmentS) {
        return Math.max(1, (int) Math.ceil(titleS / segmentS - 1e-9));
    }

    /** The playlist of one session: its segments lie under {@code base}. */
    public static String write(String base, double titleS, double segmentS) {
        int n = segments(titleS, segmentS);
        var text = new StringBuilder(128 + 40 * n);
        text.append("#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-TARGETDURATION:").append((int) Math.ceil(segmentS))
            .append("\n#EXT-X-MEDIA-SEQUENCE:0\n#EXT-X-PLAYLIST-TYPE:VOD\n");
        String before = String.format(Locale.ROOT, "#EXTINF:%.3f,\n%s/", segmentS, base);
        for (int i = 0; i < n; i++) text.append(before).append(i).append(".aac\n");
        return text.append("#EXT-X-ENDLIST\n").toString();
    }

    /** The segment addresses of a playlist, in order; throws {@code IllegalArgumentException} when it is none. */
    public static List<String> read(String text) {
        if (!text.startsWith("#EXTM3U")) throw new IllegalArgumentException("no playlist");
        List<String> all = new ArrayList<>();
        for (String line : text.split("\n")) if (!line.isBlank() && !line.startsWith("#")) all.add(line.trim());
        return all;
    }
}
