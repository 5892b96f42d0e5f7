package trestleline.discovery;

import java.util.regex.Pattern;

/**
 * An IPv4 loopback address with a port.
 *
 * @param ip dotted decimal, 127.x.x.x
 * @param port 0 to let the system choose one
 */
public record LoopbackAddress(String ip, int port) {
    private static final Pattern FORMAT = Pattern.compile("127(\\.\\d{1,3}){3}:\\d{1,5}");

    /**
     * Parses {@code IP:PORT}.
     *
     * @throws IllegalArgumentException if the text is not a loopback address with a port up to 65535
     */
    public static LoopbackAddress parse(String text) {
        if (!FORMAT.matcher(text).matches()) {
            throw new IllegalArgumentException("address: is '" + text + "'; expected a loopback address and port");
        }
        int colon = text.indexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port > 65535) throw new IllegalArgumentException("address: port above 65535 in '" + text + "'");
        return new LoopbackAddress(text.substring(0, colon), port);
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
