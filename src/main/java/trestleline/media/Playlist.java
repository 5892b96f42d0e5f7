package trestleline.media;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Formats and parses the HLS playlists of a session (RFC 8216, section 4.3). */
public final class Playlist {
    /** Largest number of segments of a recorded title; limited because playlists are formatted on an event loop. */
    public static final int MAX_SEGMENTS = 20_000;
    /** File name of a live session's media playlist, below the session's token. */
    public static final String LIVE_FILE = "live.m3u8";

    private Playlist() {}

    /** Returns the number of segments of a title, of which the last may be shorter. */
    public static int segmentCount(double titleSeconds, double segmentSeconds) {
        return Math.max(1, (int) Math.ceil(titleSeconds / segmentSeconds - 1e-9));
    }

    /**
     * Formats the media playlist of a recorded title.
     *
     * @param base URI below which the segments lie, without a slash at its end
     * @param container container of the segments
     * @param titleSeconds length of the title, s
     * @param segmentSeconds length of a segment, s
     */
    public static String vod(String base, Container container, double titleSeconds, double segmentSeconds) {
        int count = segmentCount(titleSeconds, segmentSeconds);
        StringBuilder text =
                header(container, segmentSeconds, 0, 128 + 40 * count).append("#EXT-X-PLAYLIST-TYPE:VOD\n");
        appendSegments(text, base + "/", container, segmentSeconds, 0, count);
        return text.append("#EXT-X-ENDLIST\n").toString();
    }

    /**
     * Formats the master playlist of a live session. It has one variant, whose media playlist lies below the session's
     * token, so that a player's reloads name the session and never request another one (sections 4.3.4.2 and 6.3.4).
     *
     * @param base URI below which the media playlist lies, without a slash at its end
     * @param container container of the segments
     * @param bitsPerSecond peak rate over all rungs
     */
    public static String liveMaster(String base, Container container, long bitsPerSecond) {
        return "#EXTM3U\n#EXT-X-VERSION:" + version(container)
                + "\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-STREAM-INF:BANDWIDTH=" + bitsPerSecond
                + ",CODECS=\"mp4a.40.2\"\n" + base + "/" + LIVE_FILE + "\n";
    }

    /**
     * Formats the sliding media playlist of a live session (section 6.2.2), with URIs relative to the playlist.
     *
     * @param container container of the segments
     * @param segmentSeconds length of a segment, s
     * @param firstSegment number of the first segment listed
     * @param count number of segments listed
     */
    public static String liveMedia(Container container, double segmentSeconds, long firstSegment, int count) {
        StringBuilder text = header(container, segmentSeconds, firstSegment, 128 + 40 * count);
        appendSegments(text, "", container, segmentSeconds, firstSegment, count);
        return text.toString();
    }

    private static int version(Container container) {
        return container == Container.FMP4 ? 6 : 3; // EXT-X-MAP without EXT-X-I-FRAMES-ONLY requires 6 (section 7)
    }

    private static StringBuilder header(Container container, double segmentSeconds, long firstSegment, int capacity) {
        return new StringBuilder(capacity)
                .append("#EXTM3U\n#EXT-X-VERSION:")
                .append(version(container))
                .append("\n#EXT-X-TARGETDURATION:")
                .append((int) Math.ceil(segmentSeconds))
                .append("\n#EXT-X-MEDIA-SEQUENCE:")
                .append(firstSegment)
                .append('\n');
    }

    private static void appendSegments(
            StringBuilder text, String base, Container container, double segmentSeconds, long firstSegment, int count) {
        if (container == Container.FMP4)
            text.append("#EXT-X-MAP:URI=\"")
                    .append(base)
                    .append(Container.INIT_FILE)
                    .append("\"\n");
        String prefix = String.format(Locale.ROOT, "#EXTINF:%.3f,\n%s", segmentSeconds, base);
        String suffix = "." + container.extension() + "\n";
        for (int i = 0; i < count; i++)
            text.append(prefix).append(firstSegment + i).append(suffix);
    }

    /**
     * Returns the URIs of a playlist, in order.
     *
     * @throws IllegalArgumentException if the text is not a playlist
     */
    public static List<String> parseUris(String text) {
        if (!text.startsWith("#EXTM3U")) throw new IllegalArgumentException("not a playlist: #EXTM3U is missing");
        List<String> uris = new ArrayList<>();
        for (String line : text.split("\n")) if (!line.isBlank() && !line.startsWith("#")) uris.add(line.trim());
        return uris;
    }
}
