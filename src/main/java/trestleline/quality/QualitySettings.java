package trestleline.quality;

import java.util.Map;

/**
 * The settings from which worth is computed; all come from the settings of the decision module.
 *
 * @param windowMs length of a window, ms of event time
 * @param latenessMs how long after the last event of a request its facts are still accepted, ms
 * @param rungWorths worth of each rung of the ladder; that of the highest is 1
 * @param switchS cost of a rung change during playback, in seconds of the new rung
 * @param shortfallCost part of the worth lost for each part that delivery lacks of {@link #FULL_DELIVERY_SHARE}
 * @param overShareWorth factor on the worth of a request beyond its tenant's share
 * @param classes request classes by name
 */
public record QualitySettings(
        long windowMs,
        long latenessMs,
        double[] rungWorths,
        double switchS,
        double shortfallCost,
        double overShareWorth,
        Map<String, RequestClass> classes) {
    /** Share of its rate from which a session counts as delivered in full. */
    public static final double FULL_DELIVERY_SHARE = 0.98;

    /**
     * A request class.
     *
     * @param worth worth of a second at the highest rung
     * @param aimMs time from the request within which playback should start, ms
     * @param minRung rungs below it earn nothing
     */
    public record RequestClass(double worth, long aimMs, int minRung) {}

    /** Returns the part of its worth that a second earns when the host delivers this share of the rate. */
    double deliveredFraction(double share) {
        return Math.max(0, 1 - shortfallCost * Math.max(0, FULL_DELIVERY_SHARE - share));
    }
}
