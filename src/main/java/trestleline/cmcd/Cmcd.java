package trestleline.cmcd;

import java.math.BigDecimal;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.greenbytes.http.sfv.BooleanItem;
import org.greenbytes.http.sfv.DecimalItem;
import org.greenbytes.http.sfv.IntegerItem;
import org.greenbytes.http.sfv.ListElement;
import org.greenbytes.http.sfv.Parser;
import org.greenbytes.http.sfv.StringItem;
import org.greenbytes.http.sfv.TokenItem;

/**
 * Common Media Client Data: the hints that a player sends with a request (CTA-5004, sections 3.1 to 3.3), in four
 * headers or in a query argument. Both forms are structured-field dictionaries (RFC 8941, section 3.2). The input is
 * not trusted: a key of the wrong type or out of range is ignored and counted, a text that is not a dictionary is
 * counted once, and no text causes an exception. Unknown keys, such as those of later versions (CTA-5004-B) and custom
 * keys, are dropped without being counted.
 */
public final class Cmcd {
    /** Length (characters) above which a header or query argument is ignored; no genuine player exceeds it. */
    public static final int MAX_TEXT_LENGTH = 2048;

    private static final int MAX_ID_LENGTH = 64;
    private static final long MAX_RATE_KBPS = 10_000_000;
    private static final long MAX_DURATION_MS = 86_400_000;
    private static final Set<String> INTEGER_KEYS = Set.of("br", "bl", "d", "dl", "mtp", "rtp", "tb", "v");
    private static final Set<String> BOOLEAN_KEYS = Set.of("bs", "su");
    private static final Set<String> STRING_KEYS = Set.of("cid", "nor", "nrr", "sid");
    private static final Set<String> TOKEN_KEYS = Set.of("ot", "sf", "st");
    private static final Cmcd NONE = new Cmcd(Map.of(), 0);

    private final Map<String, Object> values;
    private final int ignoredCount;

    private Cmcd(Map<String, Object> values, int ignoredCount) {
        this.values = values;
        this.ignoredCount = ignoredCount;
    }

    /** Returns an instance without hints. */
    public static Cmcd none() {
        return NONE;
    }

    /**
     * Parses the values of the headers {@code CMCD-Object}, {@code CMCD-Request}, {@code CMCD-Status} and
     * {@code CMCD-Session}; null stands for an absent header.
     */
    public static Cmcd fromHeaders(String... headers) {
        if (Arrays.stream(headers).allMatch(header -> header == null || header.isEmpty())) return NONE;
        return parse(headers);
    }

    /** Parses the argument {@code CMCD} of a raw query string, percent-encoded as section 3.2 requires. */
    public static Cmcd fromQuery(String query) {
        if (query == null) return NONE;
        for (String argument : query.split("&", 64)) {
            if (!argument.startsWith("CMCD=")) continue;
            try {
                return parse(URLDecoder.decode(argument.substring(5).replace("+", "%2B"), StandardCharsets.UTF_8));
            } catch (IllegalArgumentException e) {
                return new Cmcd(Map.of(), 1);
            }
        }
        return NONE;
    }

    private static Cmcd parse(String... texts) {
        Map<String, Object> values = new LinkedHashMap<>();
        int ignoredCount = 0;
        for (String text : texts) {
            if (text == null || text.isEmpty()) continue;
            if (text.length() > MAX_TEXT_LENGTH) {
                ignoredCount++;
                continue;
            }
            Map<String, ListElement<? extends Object>> dictionary;
            try {
                dictionary = Parser.parseDictionary(text).get();
            } catch (RuntimeException e) { // ParseException, or another one that odd text causes in the parser
                ignoredCount++;
                continue;
            }
            for (Map.Entry<String, ListElement<? extends Object>> entry : dictionary.entrySet()) {
                if (!isKnown(entry.getKey())) continue;
                Object value = validValue(entry.getKey(), entry.getValue());
                if (value == null) ignoredCount++;
                else values.put(entry.getKey(), value);
            }
        }
        return new Cmcd(values, ignoredCount);
    }

    private static boolean isKnown(String key) {
        return INTEGER_KEYS.contains(key)
                || BOOLEAN_KEYS.contains(key)
                || STRING_KEYS.contains(key)
                || TOKEN_KEYS.contains(key)
                || key.equals("pr");
    }

    /** Returns the value of a known key, or null if its type is wrong or it is out of range. */
    private static Object validValue(String key, ListElement<?> item) {
        if (INTEGER_KEYS.contains(key)) {
            if (!(item instanceof IntegerItem integer)) return null;
            long value = integer.getAsLong();
            long max = Set.of("br", "mtp", "rtp", "tb").contains(key) ? MAX_RATE_KBPS : MAX_DURATION_MS;
            return value < 0 || value > max ? null : value;
        }
        if (BOOLEAN_KEYS.contains(key)) return item instanceof BooleanItem bool ? bool.get() : null;
        if (STRING_KEYS.contains(key)) {
            int maxLength = key.equals("nor") || key.equals("nrr") ? MAX_TEXT_LENGTH : MAX_ID_LENGTH;
            return item instanceof StringItem string
                            && !string.get().isEmpty()
                            && string.get().length() <= maxLength
                    ? string.get()
                    : null;
        }
        if (TOKEN_KEYS.contains(key)) return item instanceof TokenItem token ? token.get() : null;
        if (item instanceof IntegerItem integer) return validPlaybackRate(BigDecimal.valueOf(integer.getAsLong()));
        return item instanceof DecimalItem decimal ? validPlaybackRate(decimal.get()) : null;
    }

    private static Object validPlaybackRate(BigDecimal rate) {
        return rate.signum() < 0 || rate.compareTo(BigDecimal.valueOf(16)) > 0 ? null : rate.doubleValue();
    }

    private OptionalLong integer(String key) {
        return values.get(key) instanceof Long value ? OptionalLong.of(value) : OptionalLong.empty();
    }

    /** Returns {@code sid}, the player's session id of at most 64 characters, or null if absent. */
    public String sessionId() {
        return (String) values.get("sid");
    }

    /** Returns {@code tb}, the highest bitrate (kbit/s) that the player can play. */
    public OptionalLong topBitrateKbps() {
        return integer("tb");
    }

    /** Returns {@code mtp}, the throughput (kbit/s) that the player measured. */
    public OptionalLong throughputKbps() {
        return integer("mtp");
    }

    /** Returns {@code bl}, the media (ms) in the player's buffer. */
    public OptionalLong bufferMs() {
        return integer("bl");
    }

    /** Returns {@code br}, the bitrate (kbit/s) of the requested object. */
    public OptionalLong bitrateKbps() {
        return integer("br");
    }

    /** Returns {@code bs}: whether the buffer ran dry since the last request. */
    public boolean bufferStarved() {
        return Boolean.TRUE.equals(values.get("bs"));
    }

    /** Returns {@code su}: whether the object is needed urgently, because of start-up, a seek or recovery. */
    public boolean startUp() {
        return Boolean.TRUE.equals(values.get("su"));
    }

    /** Returns {@code pr}, the playback rate: 1 is real time, 0 is paused. */
    public OptionalDouble playbackRate() {
        return values.get("pr") instanceof Double value ? OptionalDouble.of(value) : OptionalDouble.empty();
    }

    /** Returns the number of keys and texts that were ignored because they were malformed. */
    public int ignoredCount() {
        return ignoredCount;
    }

    /** Returns whether there is at least one valid hint. */
    public boolean hasHints() {
        return !values.isEmpty();
    }
}
