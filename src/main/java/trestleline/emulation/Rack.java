package trestleline.emulation;

import java.util.ArrayList;
import java.util.List;

/**
 * One rack of emulated hosts that share an uplink. Where sessions ask for more than a link or an uplink can carry, all
 * of them get the same share of their rates. All calls are made on one event loop.
 */
public final class Rack {
    private final double uplinkKb;
    private final List<MediaHost> hosts = new ArrayList<>();
    private double capacityDivisor = 1;

    /**
     * Creates a rack.
     *
     * @param uplinkKb capacity of the uplink, kB a second
     */
    public Rack(double uplinkKb) {
        this.uplinkKb = uplinkKb;
    }

    void add(MediaHost host) {
        hosts.add(host);
    }

    /** Divides the capacity of the uplink and of all hosts' links by a factor; 1 restores the full capacity. */
    public void setCapacityDivisor(double factor) {
        this.capacityDivisor = factor;
    }

    /** Returns the requested rate over the capacity of the uplink. */
    double uplinkLoad() {
        double requestedKb = 0;
        for (MediaHost host : hosts) requestedKb += host.requestedKb();
        return requestedKb * capacityDivisor / uplinkKb;
    }

    double capacityDivisor() {
        return capacityDivisor;
    }
}
