package trestleline.core;

import java.util.function.DoubleSupplier;

/**
 * Milliseconds since the epoch: the wall clock read once, advanced by the monotonic clock. The epoch is needed because
 * turns at cold hosts compare the clocks of several gateways; the monotonic clock, because setting the wall clock back
 * must not invalidate deadlines.
 */
public final class WallClock implements DoubleSupplier {
    private final double epochMsAtStart = System.currentTimeMillis();
    private final long nanoTimeAtStart = System.nanoTime();

    @Override
    public double getAsDouble() {
        return epochMsAtStart + (System.nanoTime() - nanoTimeAtStart) / 1e6;
    }
}
