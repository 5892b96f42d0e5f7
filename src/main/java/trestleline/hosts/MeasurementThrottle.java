package trestleline.hosts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which of a host's measurements are forwarded to the decision module, and when. Hosts report with every piece
 * of media; the module expects the delivered share once a second while it is below 1 and once after that, and loads at
 * the configured interval. Memory is bounded by the number of hosts with sessions; {@link #remove} drops one.
 */
final class MeasurementThrottle {
    /** A measurement to forward to the module; its kinds are those of the module's own notes. */
    record Measurement(int kind, double value) {}

    private static final double SHARE_INTERVAL_MS = 1000;
    /** A delivered share below this counts as short. */
    private static final double SHORTFALL_THRESHOLD = 0.98;

    private final double loadIntervalMs;
    private final boolean forwardLoads;
    private final Map<String, double[]> stateByHost = new HashMap<>();

    /**
     * @param loadIntervalMs how often loads are forwarded; 0 for never
     * @param forwardLoads whether loads in the hosts' answers count ({@code report.via} is {@code piggyback})
     */
    MeasurementThrottle(double loadIntervalMs, boolean forwardLoads) {
        this.loadIntervalMs = loadIntervalMs;
        this.forwardLoads = forwardLoads;
    }

    /**
     * Returns the measurements that are due now, and records them as forwarded.
     *
     * @param share the delivered share, or null if the host did not report it
     */
    List<Measurement> takeDue(String host, double now, Double share, Map<String, Double> loads) {
        // {time the share was forwarded, the share forwarded, time the loads were forwarded}
        double[] state = stateByHost.computeIfAbsent(host, h -> new double[] {Double.NEGATIVE_INFINITY, 1, now});
        List<Measurement> due = new ArrayList<>();
        boolean shortfall = share != null && (share < SHORTFALL_THRESHOLD || state[1] < SHORTFALL_THRESHOLD);
        if (shortfall && now - state[0] >= SHARE_INTERVAL_MS) {
            state[0] = now;
            state[1] = share;
            due.add(new Measurement(1, share));
        }
        if (forwardLoads && loadIntervalMs > 0 && now - state[2] >= loadIntervalMs && !loads.isEmpty()) {
            state[2] = now;
            if (loads.containsKey("x0")) due.add(new Measurement(3, loads.get("x0")));
            if (loads.containsKey("x1")) due.add(new Measurement(4, loads.get("x1")));
        }
        return due;
    }

    /** Returns the share last forwarded; 1 if it was never short. */
    double lastShare(String host) {
        double[] state = stateByHost.get(host);
        return state == null ? 1 : state[1];
    }

    void remove(String host) {
        stateByHost.remove(host);
    }
}
