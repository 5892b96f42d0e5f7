package trestleline.media;

/**
 * Determines which segments of a live title exist, are listed and are served at a given time (RFC 8216, section 6.2.2).
 * The number of a segment is its start since the epoch, in segment lengths, so that all gateways and hosts agree on it
 * without communication. Immutable.
 *
 * @param segmentMs length of a segment, ms
 * @param listedSegments number of segments in the playlist, at least {@link #MIN_SEGMENTS}
 */
public record LiveWindow(double segmentMs, int listedSegments) {
    /** Smallest number of listed segments: a playlist must not be shorter than three target durations. */
    public static final int MIN_SEGMENTS = 3;

    /** Returns the number of the newest segment that is complete at {@code nowMs}, in ms since the epoch. */
    public long newestComplete(double nowMs) {
        return (long) Math.floor(nowMs / segmentMs) - 1;
    }

    /** Returns the number of the oldest segment that is listed at {@code nowMs}, in ms since the epoch. */
    public long oldestListed(double nowMs) {
        return newestComplete(nowMs) - listedSegments + 1;
    }

    /**
     * Returns whether a segment is served at {@code nowMs}, in ms since the epoch. A segment that was removed from the
     * playlist is served for its own length and that of the longest playlist that listed it. A segment that is complete
     * only by a clock ahead of this one is served up to half a segment early.
     */
    public boolean serves(long number, double nowMs) {
        return number <= newestComplete(nowMs + segmentMs / 2) && number >= oldestListed(nowMs) - listedSegments - 1;
    }
}
