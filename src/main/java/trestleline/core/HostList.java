package trestleline.core;

import java.util.HashMap;
import java.util.Map;
import trestleline.placement.Placement;

/** The host list as last received, for the check before a write. Its size is bounded by the list's. */
final class HostList {
    private Map<String, Placement.HostEntry> entriesByHost = new HashMap<>();
    private final Map<String, Double> connectionLostAtMs = new HashMap<>();
    private long version;

    /** Replaces or patches the list; an update that reports a broken source changes nothing. */
    void apply(Placement.HostListUpdate update) {
        if (update.mode().equals("broken")) return;
        if (!update.mode().equals("patch")) entriesByHost = new HashMap<>();
        for (Placement.HostEntry entry : update.entries()) {
            if (entry.status().equals("Deleted")) entriesByHost.remove(entry.host());
            else entriesByHost.put(entry.host(), entry);
        }
        connectionLostAtMs.keySet().retainAll(entriesByHost.keySet());
        version = update.version();
    }

    /**
     * Records that a connection to the host failed or broke. The process that answers there later may be a new one that
     * has to warm up.
     */
    void recordConnectionLost(String host, double nowMs) {
        if (entriesByHost.containsKey(host)) connectionLostAtMs.put(host, nowMs);
    }

    /**
     * Returns whether the host may have started within the last {@code warmUpMs}, by its listed start or by a
     * connection lost since.
     */
    boolean isCold(String host, double nowMs, double warmUpMs) {
        Placement.HostEntry entry = entriesByHost.get(host);
        if (entry == null) return false;
        return entry.startedAt() > 0 && nowMs - entry.startedAt() < warmUpMs
                || nowMs - connectionLostAtMs.getOrDefault(host, Double.NEGATIVE_INFINITY) < warmUpMs;
    }

    /** Returns whether the host is listed as running. */
    boolean acceptsNewSessions(String host) {
        Placement.HostEntry entry = entriesByHost.get(host);
        return entry != null && entry.status().equals("Running");
    }

    int size() {
        return entriesByHost.size();
    }

    long version() {
        return version;
    }
}
