package trestleline.rtsp;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import trestleline.codec.NumberCodec;
import trestleline.codec.ReadBuffer;

/**
 * Parses a stream of bytes into RTSP messages, independent of how it is split into chunks. Malformed input fails at the
 * first line that shows it, or at the beginning of a line that can't become a start line, and nothing after that is
 * read: noise, endless lines and lengths beyond 16 KiB cost no more memory than the bytes buffered here.
 */
final class RtspReader {
    /** Maximum size of a message, head and body. */
    static final int MAX_MESSAGE_BYTES = 16 * 1024;
    /** Maximum length of one line. */
    static final int MAX_LINE_BYTES = 1024;
    /** Maximum number of headers. */
    static final int MAX_HEADER_LINES = 32;

    /** Longest name of a method; those of the platform have up to 13 characters. */
    private static final int MAX_METHOD_LENGTH = 32;

    private static final String VERSION = "RTSP/1.0";
    private static final String URL_PREFIX = " rtsp://media/";

    private final ReadBuffer buffer = new ReadBuffer();
    /** Bytes of the current line that were scanned. */
    private int scanned;
    /** Bytes of the current head that were read. */
    private int headBytes;
    /** Declared length of the body, or -1 while the head is incomplete. */
    private int bodyLength = -1;

    private int status;
    private String failure;
    private String method;
    private Map<String, String> headers;

    /** Adds received bytes. */
    void add(byte[] bytes) {
        if (failure == null) buffer.append(bytes);
    }

    /** Returns the next complete message, or null if there is none yet or the stream has {@link #failure failed}. */
    RtspMessage next() {
        while (failure == null && bodyLength < 0) {
            String line = readLine();
            if (line == null) {
                if (failure == null && headers == null && !mayBecomeStartLine()) fail("no start line");
                return null;
            }
            onLine(line);
        }
        if (failure != null || buffer.size() < bodyLength) return null;
        var message = new RtspMessage(method, status, headers, buffer.read(bodyLength));
        headers = null;
        bodyLength = -1;
        headBytes = 0;
        return message;
    }

    /** Returns why the stream can't be parsed any further, or null. */
    String failure() {
        return failure;
    }

    /** Whether the start line of an incomplete message was received, and was valid. */
    boolean hasStartLine() {
        return headers != null;
    }

    /** Whether a message was received in part. */
    boolean hasPartialMessage() {
        return buffer.size() > 0 || headers != null;
    }

    private String readLine() {
        for (; scanned < buffer.size(); scanned++) {
            int octet = buffer.byteAt(scanned);
            if (octet == '\n') {
                if (scanned == 0 || buffer.byteAt(scanned - 1) != '\r') return fail("line without CR");
                String line = buffer.readText(scanned + 1).substring(0, scanned - 1);
                headBytes += scanned + 1;
                scanned = 0;
                return line;
            }
            if (octet < ' ' && octet != '\r' && octet != '\t' || octet >= 127) return fail("invalid byte in a line");
            if (scanned >= MAX_LINE_BYTES) return fail("line too long");
        }
        return null;
    }

    /** Whether what was received of a line may be the beginning of a status line or of a request line. */
    private boolean mayBecomeStartLine() {
        String start = buffer.peekText(Math.min(buffer.size(), MAX_METHOD_LENGTH + URL_PREFIX.length()));
        if (agree(start, VERSION + " ")) return true;
        int methodEnd = 0;
        while (methodEnd < start.length() && isMethodCharacter(start.charAt(methodEnd))) methodEnd++;
        if (methodEnd > MAX_METHOD_LENGTH || methodEnd == 0 && !start.isEmpty()) return false;
        return agree(start.substring(methodEnd), URL_PREFIX);
    }

    /** Whether two texts are the same as far as both go. */
    private static boolean agree(String first, String second) {
        return first.startsWith(second) || second.startsWith(first);
    }

    private static boolean isMethodCharacter(char c) {
        return c >= 'A' && c <= 'Z' || c == '_';
    }

    private void onLine(String line) {
        if (headers == null) {
            if (!parseStatusLine(line) && !parseRequestLine(line)) {
                fail("start line is neither request nor response");
                return;
            }
            headers = new HashMap<>(16);
            return;
        }
        if (line.isEmpty()) {
            int declaredLength = NumberCodec.parseDecimal(headers.get("content-length"), 9);
            if (declaredLength < 0) fail("missing or invalid Content-Length");
            else if (declaredLength + headBytes > MAX_MESSAGE_BYTES) fail("Content-Length beyond the limit");
            else bodyLength = declaredLength;
            return;
        }
        int colon = line.indexOf(':');
        if (colon < 1 || line.lastIndexOf(' ', colon) >= 0 || line.lastIndexOf('\t', colon) >= 0)
            fail("malformed header line");
        else if (headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim())
                != null) fail("duplicate header");
        else if (headers.size() > MAX_HEADER_LINES) fail("too many headers");
    }

    /**
     * Parses {@code RTSP/1.0 200 Word}, where the word may be missing. Written without regular expressions, as a
     * gateway reads thousands of lines in its first second.
     */
    private boolean parseStatusLine(String line) {
        int versionEnd = VERSION.length();
        if (!line.startsWith(VERSION) || line.length() < versionEnd + 4 || line.charAt(versionEnd) != ' ') return false;
        if (line.length() > versionEnd + 4 && line.charAt(versionEnd + 4) != ' ') return false;
        status = NumberCodec.parseDecimal(line.substring(versionEnd + 1, versionEnd + 4), 3);
        method = null;
        return status >= 100 && status < 600;
    }

    /** Parses {@code METHOD rtsp://media/anything RTSP/1.0}. */
    private boolean parseRequestLine(String line) {
        int methodEnd = line.indexOf(URL_PREFIX);
        if (methodEnd < 1 || methodEnd > MAX_METHOD_LENGTH || !line.endsWith(" " + VERSION)) return false;
        for (int i = 0; i < methodEnd; i++) if (!isMethodCharacter(line.charAt(i))) return false;
        int pathStart = methodEnd + URL_PREFIX.length();
        int pathEnd = line.length() - VERSION.length() - 1;
        if (pathEnd < pathStart || line.substring(pathStart, pathEnd).indexOf(' ') >= 0) return false;
        method = line.substring(0, methodEnd);
        status = 0;
        return true;
    }

    private String fail(String reason) {
        failure = reason;
        buffer.clear();
        return null;
    }
}
