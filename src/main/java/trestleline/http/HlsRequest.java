package trestleline.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import trestleline.media.Container;
import trestleline.media.Playlist;

/**
 * What the path of a request asks for: {@code /tenant/class/title/index.m3u8} requests a session, and
 * {@code /tenant/class/title/TOKEN/FILE} a file of a session. Any other path is invalid, including those with escapes
 * or dot segments.
 *
 * @param tenant name of the tenant
 * @param service name of the class
 * @param title name of the title
 * @param token token of the session; null when a session is requested
 * @param file null when a session is requested; otherwise the name of a segment, {@link Container#INIT_FILE} or
 *     {@link Playlist#LIVE_FILE}
 * @param segmentNumber number of the segment, or -1 if the file is not a segment
 */
record HlsRequest(String tenant, String service, String title, String token, String file, long segmentNumber) {
    private static final String NAME = "([A-Za-z0-9][A-Za-z0-9_-]{0,63})";
    private static final Pattern PATH = Pattern.compile("/" + NAME + "/" + NAME + "/" + NAME
            + "/(?:index\\.m3u8|([A-Za-z0-9_-]{22})/((\\d{1,12})\\.(?:aac|ts|m4s)|init\\.mp4|live\\.m3u8))");

    /** Parses a path; returns null if nothing is served under it. */
    static HlsRequest of(String path) {
        if (path == null || path.length() > 256) return null;
        Matcher matcher = PATH.matcher(path);
        if (!matcher.matches()) return null;
        String number = matcher.group(6);
        return new HlsRequest(
                matcher.group(1),
                matcher.group(2),
                matcher.group(3),
                matcher.group(4),
                matcher.group(5),
                number == null ? -1 : Long.parseLong(number));
    }

    boolean requestsSession() {
        return token == null;
    }

    /** Returns whether the media playlist of a live session is requested; such a reload never requests a session. */
    boolean requestsLivePlaylist() {
        return Playlist.LIVE_FILE.equals(file);
    }

    boolean requestsInitializationSegment() {
        return Container.INIT_FILE.equals(file);
    }

    /** Returns whether a segment is requested under the extension that this container's segments have. */
    boolean of(Container container) {
        return segmentNumber >= 0 && file.equals(segmentNumber + "." + container.extension());
    }
}
