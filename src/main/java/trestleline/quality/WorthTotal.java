package trestleline.quality;

/**
 * Requested and earned worth, in millionths of a second at the full worth of 1. They are integers, so that their sum
 * does not depend on the order of addition.
 */
public record WorthTotal(long requested, long earned) {
    /** Nothing requested and nothing earned. */
    public static final WorthTotal ZERO = new WorthTotal(0, 0);

    /** Returns the sum of both totals. */
    public WorthTotal plus(WorthTotal other) {
        return new WorthTotal(requested + other.requested, earned + other.earned);
    }

    /** Returns this total less another. */
    public WorthTotal minus(WorthTotal other) {
        return new WorthTotal(requested - other.requested, earned - other.earned);
    }

    /** Returns earned over requested worth, 0 to 1; NaN where nothing was requested. */
    public double quality() {
        return requested == 0 ? Double.NaN : (double) Math.max(0, earned) / requested;
    }
}
