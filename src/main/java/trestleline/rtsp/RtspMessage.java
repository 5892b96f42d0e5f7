package trestleline.rtsp;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;
import trestleline.codec.NumberCodec;

/**
 * One complete message. {@code method} is null for a response, {@code status} is 0 for a request; header names are in
 * lower case.
 */
record RtspMessage(String method, int status, Map<String, String> headers, byte[] body) {
    /** Sequence numbers are fixed for each kind of request, so that an answer's number tells what it answers. */
    static final int CSEQ_SETUP = 1;

    static final int CSEQ_TEARDOWN = 2;
    static final int CSEQ_OPTIONS = 3;

    private static final Pattern NUMBER = Pattern.compile("-?[0-9]{1,12}(\\.[0-9]{1,12})?");

    /** Returns the value of a header by its name in lower case; null if there is none. */
    String header(String name) {
        return headers.get(name);
    }

    /** Returns the session id in its canonical form, or null if there is no valid one. */
    String sessionId() {
        String id = header("session");
        return NumberCodec.isHexId(id) ? id.toLowerCase(Locale.ROOT) : null;
    }

    /** Returns the sequence number, or -1. */
    int cseq() {
        return NumberCodec.parseDecimal(header("cseq"), 9);
    }

    /** Parses the load in {@code X-Gauges}, as in {@code x0:12;x1:40}; entries that are not valid are left out. */
    Map<String, Double> gauges() {
        String text = header("x-gauges");
        if (text == null) return Map.of();
        Map<String, Double> gauges = new HashMap<>();
        for (String part : text.split(";", 32)) {
            int colon = part.indexOf(':');
            Double value =
                    colon < 1 ? null : parseNumber(part.substring(colon + 1).trim());
            if (value != null) gauges.put(part.substring(0, colon).trim(), value);
        }
        return gauges;
    }

    /** Parses a decimal number; returns null if the text is none. */
    static Double parseNumber(String text) {
        if (text == null || !NUMBER.matcher(text).matches()) return null;
        return Double.valueOf(text);
    }

    /** Encodes a message from its start line, body and headers, given as alternating names and values. */
    static byte[] encode(String startLine, byte[] body, String... headers) {
        var text = new StringBuilder(160).append(startLine).append("\r\n");
        for (int i = 0; i < headers.length; i += 2) {
            text.append(headers[i]).append(": ").append(headers[i + 1]).append("\r\n");
        }
        text.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        var message = new ByteArrayOutputStream(text.length() + body.length);
        message.writeBytes(text.toString().getBytes(StandardCharsets.US_ASCII));
        message.writeBytes(body);
        return message.toByteArray();
    }
}
