package trestleline.ledger;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The keys that seal entries, by id. The last key of the file seals; the others only verify. The MAC is HMAC-SHA-256
 * (RFC 2104, FIPS 180-4) from the Java platform.
 */
public final class SealingKeys {
    private final Map<String, byte[]> keysById = new LinkedHashMap<>();
    private String current;

    /**
     * Parses lines {@code ID HEX} with keys of at least 16 bytes; blank lines and lines that start with {@code #} are
     * skipped. Throws {@code IllegalArgumentException} naming each wrong line.
     */
    public static SealingKeys parse(String text) {
        var keys = new SealingKeys();
        List<String> faults = new ArrayList<>();
        int lineNumber = 0;
        for (String line : text.split("\n")) {
            lineNumber++;
            if (line.isBlank() || line.startsWith("#")) continue;
            String[] parts = line.trim().split("\\s+");
            try {
                if (parts.length != 2 || !parts[0].matches("[A-Za-z0-9-]{1,32}") || parts[1].length() < 32)
                    throw new IllegalArgumentException();
                if (keys.keysById.put(parts[0], HexFormat.of().parseHex(parts[1])) != null)
                    faults.add("line " + lineNumber + ": duplicate id");
                keys.current = parts[0];
            } catch (IllegalArgumentException e) {
                faults.add("line " + lineNumber + ": expected an id and at least 32 hex digits");
            }
        }
        if (keys.current == null) faults.add("contains no key");
        if (!faults.isEmpty()) throw new IllegalArgumentException(String.join("; ", faults));
        return keys;
    }

    /** The id of the key that seals new entries. */
    public String current() {
        return current;
    }

    /** Whether there is a key of this id. */
    public boolean knows(String id) {
        return keysById.containsKey(id);
    }

    /**
     * The MAC, as hexadecimal digits, that seals a text.
     *
     * @param id id of the key
     * @param before MAC of the previous entry, or the word that marks a head or a base
     */
    String computeMac(String id, String before, String text) {
        try {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(keysById.get(id), "HmacSHA256"));
            mac.update(before.getBytes(StandardCharsets.US_ASCII));
            mac.update((byte) '\n');
            return HexFormat.of().formatHex(mac.doFinal(text.getBytes(StandardCharsets.UTF_8)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HmacSHA256 is in every Java platform", e);
        }
    }
}
