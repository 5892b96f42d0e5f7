package trestleline.codec;

/**
 * Parses and formats numbers and ids as text. Loops over the characters instead of using regular expressions: a gateway
 * with a fraction of a CPU core parses thousands of them in its first second, before this code is JIT-compiled.
 */
public final class NumberCodec {
    private NumberCodec() {}

    /**
     * Parses a non-negative decimal integer.
     *
     * @param text only ASCII digits; may be null
     * @param maxDigits maximum length of the text, at most 9
     * @return the number, or -1 if the text is null, empty, too long or not a number
     */
    public static int parseDecimal(String text, int maxDigits) {
        if (text == null || text.isEmpty() || text.length() > maxDigits) return -1;
        int number = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < '0' || c > '9') return -1;
            number = 10 * number + c - '0';
        }
        return number;
    }

    /** Whether the text is a 64-bit id: 16 hexadecimal digits in either case. False for null. */
    public static boolean isHexId(String text) {
        if (text == null || text.length() != 16) return false;
        for (int i = 0; i < 16; i++) {
            char c = text.charAt(i);
            if ((c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F')) return false;
        }
        return true;
    }

    /** Formats a 64-bit id as 16 lower-case hexadecimal digits. */
    public static String formatHexId(long id) {
        String digits = Long.toHexString(id);
        return "0".repeat(16 - digits.length()) + digits;
    }
}
