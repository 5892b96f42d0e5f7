package trestleline.signaling;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import trestleline.codec.NumberCodec;
import trestleline.core.RequestPayload;
import trestleline.placement.Placement;

/**
 * Validates a viewer's set-up message against the settings and converts it into a request. Set-ups that no gateway
 * could place are rejected here, before the core sees them.
 */
final class SetUpReader {
    /**
     * A valid set-up.
     *
     * @param timeoutMs how long the viewer waits for the answer
     * @param currentHost name of the host that already plays the session, or null for a new session
     */
    record SetUp(Placement.SessionRequest request, double timeoutMs, RequestPayload payload, String currentHost) {}

    /** Thrown for an invalid set-up; the message names the field and the fault. */
    static final class InvalidSetUpException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidSetUpException(String message) {
            super(message, null, false, false);
        }
    }

    /** Bit in the request's marks for a viewer that repeats its request (docs/wire.md). */
    static final int MARK_REPEATED = 16;

    private static final Pattern HOST_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final int MAX_DESCRIPTION_BYTES = 8192;
    private final Set<String> classNames = new HashSet<>();
    private final Set<String> tenantNames = new HashSet<>();
    private final int positionCount;

    SetUpReader(Placement.Settings settings) {
        settings.classes().forEach(requestClass -> classNames.add(requestClass.name()));
        settings.tenants().forEach(tenant -> tenantNames.add(tenant.name()));
        positionCount = settings.fleet().positions();
    }

    SetUp read(Message message) throws InvalidSetUpException {
        if (message.malformed()) throw new InvalidSetUpException("parameters: do not match their lengths");
        if (message.session() == 0) throw new InvalidSetUpException("session: must not be 0");
        String className = message.textParameter(Message.PARAM_CLASS);
        String tenant = message.textParameter(Message.PARAM_TENANT);
        String title = message.textParameter(Message.PARAM_TITLE);
        if (className == null || !classNames.contains(className))
            throw new InvalidSetUpException("class: missing or not configured");
        if (!tenantNames.isEmpty() && (tenant == null || !tenantNames.contains(tenant)))
            throw new InvalidSetUpException("tenant: missing or not configured");
        if (title == null || !NumberCodec.isHexId(title))
            throw new InvalidSetUpException("title: must be 16 hexadecimal digits");
        Map<String, String> figures = parseFigures(message.textParameter(Message.PARAM_FIGURES));
        byte[] description = message.parameters().get(Message.PARAM_DESCRIPTION);
        String currentHost = figures.get("at");
        if (currentHost != null && !HOST_NAME.matcher(currentHost).matches())
            throw new InvalidSetUpException("figures: 'at' is not a valid host name");
        if (currentHost == null) checkDescription(description);
        int home = intFigure(figures, "home", 0, positionCount - 1);
        int copies = intFigure(figures, "copies", 1, positionCount);
        int topRung = intFigure(figures, "top", 0, 1000);
        String viewer = figures.getOrDefault("viewer", "");
        if (!NumberCodec.isHexId(viewer))
            throw new InvalidSetUpException("figures: 'viewer' must be 16 hexadecimal digits");
        String deadline = message.textParameter(Message.PARAM_DEADLINE);
        int timeoutMs = NumberCodec.parseDecimal(deadline, 7);
        if (timeoutMs <= 0) {
            throw new InvalidSetUpException("deadline: must be a positive number of milliseconds");
        }
        int marks = "1".equals(figures.get("again")) ? MARK_REPEATED : 0;
        var request = new Placement.SessionRequest(
                0,
                className,
                tenant == null ? "" : tenant,
                Long.parseUnsignedLong(viewer, 16),
                Long.parseUnsignedLong(title, 16),
                0,
                Double.NaN,
                home,
                copies,
                topRung,
                marks);
        var payload = new RequestPayload(
                NumberCodec.formatHexId(message.session()), title, description == null ? new byte[0] : description);
        return new SetUp(request, timeoutMs, payload, currentHost);
    }

    /** Whether a set-up hands over a session that a host already plays. */
    static boolean isTakeover(Message message) {
        String figures = message.textParameter(Message.PARAM_FIGURES);
        return figures != null && (figures.startsWith("at:") || figures.contains(";at:"));
    }

    private static Map<String, String> parseFigures(String text) throws InvalidSetUpException {
        if (text == null) throw new InvalidSetUpException("figures: missing");
        Map<String, String> figures = new HashMap<>();
        for (String pair : text.split(";", 64)) {
            int colon = pair.indexOf(':');
            if (colon < 1 || figures.put(pair.substring(0, colon), pair.substring(colon + 1)) != null) {
                throw new InvalidSetUpException("figures: expected name:value pairs with distinct names");
            }
        }
        return figures;
    }

    private static int intFigure(Map<String, String> figures, String name, int min, int max)
            throws InvalidSetUpException {
        int value = NumberCodec.parseDecimal(figures.get(name), 7);
        if (value < min || value > max)
            throw new InvalidSetUpException("figures: " + name + " is out of range or not an integer");
        return value;
    }

    /** Checks that a description is plain text whose first line is 16 hexadecimal digits. */
    private static void checkDescription(byte[] description) throws InvalidSetUpException {
        if (description == null || description.length == 0 || description.length > MAX_DESCRIPTION_BYTES) {
            throw new InvalidSetUpException("description: missing or too long");
        }
        for (byte b : description) {
            if (b < ' ' && b != '\r' && b != '\n' && b != '\t')
                throw new InvalidSetUpException("description: contains control characters or non-ASCII bytes");
        }
        String text = new String(description, StandardCharsets.US_ASCII);
        int lineEnd = text.indexOf('\r');
        if (lineEnd < 0 || !NumberCodec.isHexId(text.substring(0, lineEnd))) {
            throw new InvalidSetUpException("description: first line must be 16 hexadecimal digits");
        }
    }
}
