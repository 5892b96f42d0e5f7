package trestleline.http;

/**
 * Decides when a viewer counts as gone: when it has fetched nothing for longer than its buffer can last. The buffer is
 * the one that the player last reported (limited, because reports are not trusted) or the usual one. One segment is
 * added for the segment being played, and another for a player that had to fetch a segment twice.
 */
final class ViewerTimeout {
    private final double usualBufferMs;
    private final double segmentMs;

    ViewerTimeout(double usualBufferMs, double segmentMs) {
        this.usualBufferMs = usualBufferMs;
        this.segmentMs = segmentMs;
    }

    /**
     * Returns the time (ms) without activity after which the viewer counts as gone.
     *
     * @param reportedBufferMs the buffer (ms) that the player reported, or NaN if it reported none
     */
    double timeoutMs(double reportedBufferMs) {
        double bufferMs = Double.isNaN(reportedBufferMs)
                ? usualBufferMs
                : Math.max(0, Math.min(reportedBufferMs, 4 * usualBufferMs));
        return bufferMs + 2 * segmentMs;
    }
}
