package trestleline.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a path asks for: {@code /tenant/class/title/index.m3u8} a session, {@code /tenant/class/title/TOKEN/N.aac} a
 * segment of one. Anything else, escapes and dots included, is none.
 */
record Request(String tenant, String service, String title, String token, int segment) {
    private static final String NAME = "([A-Za-z0-9][A-Za-z0-9_-]{0,63})";
    private static final Pattern PATH = Pattern.compile(
        "/" + NAME + "/" + NAME + "/" + NAME + "/(?:index\\.m3u8|([A-Za-z0-9_-]{22})/(\\d{1,6})\\.aac)");

    /** Null if the path asks for nothing served here. */
    static Request of(String path) {
        if (path == null || path.length() > 256) return null;
        Matcher m = PATH.matcher(path);
        if (!m.matches()) return null;
        return new Request(m.group(1), m.group(2), m.group(3), m.group(4),
            m.group(5) == null ? -1 : Integer.parseInt(m.group(5)));
    }

    boolean playlist() {
        return token == null;
    }
}
