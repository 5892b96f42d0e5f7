package trestleline.core;

import java.util.function.DoubleSupplier;

/**
 * Milliseconds since the epoch, read from the wall clock once and counted on by the monotonic clock: cold hosts' turns
 * compare the clocks of several gateways, and a clock that is set back must not undo deadlines.
 */
public final class WallClock implements DoubleSupplier {
    private final double anchor = System.currentTimeMillis();
    private final long from = System.nanoTime();

    @Override
    public double getAsDouble() {
        return anchor + (System.nanoTime() - from) / 1e6;
    }
}
