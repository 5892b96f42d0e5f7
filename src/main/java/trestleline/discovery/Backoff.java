package trestleline.discovery;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter: the delay doubles with each failure up to a maximum, and half of it is random, so
 * that many clients do not retry at the same time.
 */
public final class Backoff {
    private final double minDelayMs;
    private final double maxDelayMs;
    private final SplittableRandom random;
    private int failures;

    /**
     * @param minDelayMs upper bound of the first delay
     * @param maxDelayMs upper bound of all delays
     * @param seed of the jitter
     */
    public Backoff(double minDelayMs, double maxDelayMs, long seed) {
        this.minDelayMs = minDelayMs;
        this.maxDelayMs = maxDelayMs;
        random = new SplittableRandom(seed);
    }

    /** Counts a failure and returns the delay (ms) before the next attempt. */
    public double nextDelayMs() {
        double upperBoundMs = Math.min(maxDelayMs, minDelayMs * Math.pow(2, Math.min(30, failures++)));
        return upperBoundMs * (0.5 + 0.5 * random.nextDouble());
    }

    /** Records a success: the next delay is the shortest again. */
    public void reset() {
        failures = 0;
    }
}
