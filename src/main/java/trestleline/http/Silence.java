package trestleline.http;

/**
 * When a viewer counts as gone: it fetches nothing for longer than its buffer can last. The buffer is what the player
 * told last (within bounds: it is not trusted), or what players usually hold; a segment more for the one being played,
 * and as much again for a player that had to fetch one twice.
 */
final class Silence {
    private final double bufferMs, segmentMs;

    Silence(double bufferMs, double segmentMs) {
        this.bufferMs = bufferMs;
        this.segmentMs = segmentMs;
    }

    /** Time (ms) after the last sign of life at which the viewer counts as gone; {@code told} NaN: nothing told. */
    double patience(double told) {
        double buffer = Double.isNaN(told) ? bufferMs : Math.max(0, Math.min(told, 4 * bufferMs));
        return buffer + 2 * segmentMs;
    }
}
