package trestleline.scenario;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import trestleline.config.ConfigException;
import trestleline.config.ConfigReader;
import trestleline.config.GatewayConfig;
import trestleline.placement.Placement;

/**
 * A scenario to run: fleet, arrivals and a timeline of troubles, read from a JSON5 file (docs/operators.md). Times are
 * in seconds where a name ends in {@code S} or says so, otherwise in milliseconds.
 *
 * @param name name for reports
 * @param durationS time in seconds during which viewers arrive
 * @param seed seed of all random choices
 * @param gatewayCount number of gateways
 * @param hosts emulated hosts by kind
 * @param uplinkKbPerS capacity of a rack's uplink in kB per second
 * @param hostBehavior how the emulated hosts behave
 * @param arrivals how viewers arrive and behave
 * @param listDelay how late the host list reflects changes
 * @param troubles timeline of troubles
 * @param ledgerEnabled whether the gateways keep a ledger, which is compared with what ran at the hosts
 * @param gatewayTemplate settings that all gateways share
 * @param source reader of the scenario file, from which each gateway's settings are derived
 */
public record Scenario(
        String name,
        double durationS,
        long seed,
        int gatewayCount,
        List<HostSpec> hosts,
        double uplinkKbPerS,
        HostBehavior hostBehavior,
        Arrivals arrivals,
        ListDelay listDelay,
        List<Trouble> troubles,
        boolean ledgerEnabled,
        GatewayConfig gatewayTemplate,
        ConfigReader source) {
    private static final double UNLIMITED = Double.POSITIVE_INFINITY;

    /** Names of the troubles that need no ledger. */
    public static final List<String> TROUBLES = List.of(
            "balancer_crash",
            "balancer_stall",
            "burst",
            "crash",
            "discovery_stale",
            "fast_errors",
            "hang",
            "neighbour",
            "origin_slow",
            "preempt",
            "shared_slow",
            "tenant_burst",
            "vanish",
            "zone_loss");
    /**
     * Names of the troubles that concern the ledger: faulty billing requests, and a gateway that restarts with an old
     * copy of its ledger.
     */
    public static final List<String> LEDGER_TROUBLES = List.of("desk_faults", "stale_return");

    /**
     * Hosts of one kind, distributed round-robin over the racks.
     *
     * @param linkKbPerS capacity of a host's link in kB per second
     */
    public record HostSpec(int count, String kind, double linkKbPerS) {}

    /**
     * Behavior of the emulated hosts that the gateways' settings do not state.
     *
     * @param minSetUpMs shortest set-up on a warm host
     * @param maxSetUpMs longest set-up on a warm host
     * @param rateSpread spread of the titles' true rates around the ladder's rates, as a fraction
     * @param deliverySpeedup factor above its rate at which a session is sent where links have room
     */
    public record HostBehavior(double minSetUpMs, double maxSetUpMs, double rateSpread, double deliverySpeedup) {}

    /**
     * How viewers arrive and behave. Shares are probabilities per viewer.
     *
     * @param perSecond mean arrivals per second
     * @param classWeights relative frequency of each request class
     * @param tenantWeights relative frequency of each tenant
     * @param titleZipfExponent exponent of the Zipf distribution of titles
     * @param smallScreenShare share of viewers that cap the rate at the middle of the ladder
     * @param lowBandwidthHintShare share of viewers that report a throughput of the lowest rung
     * @param retryingShare share of viewers that ask up to four times instead of once
     * @param retryPauseMs mean pause before a viewer asks again
     * @param abandoningShare share of viewers that close a request without an answer
     * @param gatewayPreference factor by which each gateway is chosen less often than the one before it
     * @param prefetchS media in seconds that a player buffers ahead
     */
    public record Arrivals(
            double perSecond,
            Map<String, Double> classWeights,
            Map<String, Double> tenantWeights,
            double titleZipfExponent,
            double smallScreenShare,
            double lowBandwidthHintShare,
            double retryingShare,
            double retryPauseMs,
            double abandoningShare,
            double gatewayPreference,
            double prefetchS) {}

    /**
     * Delay with which the host list reflects changes.
     *
     * @param announcedMs delay of every change that is published
     * @param unannouncedMs additional delay of the removal of a host that crashed or vanished
     */
    public record ListDelay(double announcedMs, double unannouncedMs) {}

    /**
     * One trouble of the timeline.
     *
     * @param startS time of its start, from the start of the scenario
     * @param durationS how long it lasts
     * @param share fraction of the hosts or gateways affected
     * @param magnitude strength, with a meaning that depends on the trouble: a factor, a probability or milliseconds
     * @param periodS repetition period of {@code balancer_stall}; time to replacement of a preempted host
     */
    public record Trouble(
            String name, double startS, double durationS, double share, double magnitude, double periodS) {}

    /** Reads and validates a scenario file. */
    public static Scenario load(Path file) {
        return read(ConfigReader.open(file));
    }

    /** Reads and validates a scenario; {@code name} stands for the file in error messages. */
    public static Scenario parse(String name, String text) {
        return read(ConfigReader.parse(name, text));
    }

    private static Scenario read(ConfigReader reader) {
        int gatewayCount = reader.integer("gateways", 1, 200);
        GatewayConfig template = GatewayConfig.read(reader.objectWith(
                "gateway", gatewayOverrides(0, gatewayCount, 0, "http://127.0.0.1:1/hosts", "", Map.of())));
        Placement.Settings settings = template.settings();
        List<HostSpec> hosts = reader.objects(
                "hosts",
                1,
                hostReader -> new HostSpec(
                        hostReader.integer("count", 1, 2000),
                        hostReader.oneOf(
                                "kind",
                                settings.fleet().kinds().isEmpty()
                                        ? List.of("?")
                                        : settings.fleet().kinds(),
                                null),
                        hostReader.number(
                                "linkKb", 0.1, UNLIMITED, settings.fleet().linkUnitKb())));
        ConfigReader behaviorReader = reader.object("physics");
        var hostBehavior = new HostBehavior(
                behaviorReader.number("workFrom", 0, UNLIMITED, 40),
                behaviorReader.number("workTo", 0, UNLIMITED, 120),
                behaviorReader.number("vary", 0, 0.9, 0.15),
                behaviorReader.number("ahead", 1, 100, 1.25));
        ConfigReader arrivalsReader = reader.object("arrivals");
        var arrivals = new Arrivals(
                arrivalsReader.number("perS", 0.01, 10_000),
                weights(
                        arrivalsReader.object("classes"),
                        settings.classes().stream()
                                .map(Placement.RequestClass::name)
                                .toList()),
                weights(
                        arrivalsReader.object("tenants"),
                        settings.tenants().stream().map(Placement.Tenant::name).toList()),
                arrivalsReader.number("titleZipf", 0, 5, 0.8),
                arrivalsReader.number("smallScreens", 0, 1, 0.2),
                arrivalsReader.number("lowHints", 0, 1, 0.1),
                arrivalsReader.number("returns", 0, 1, 0.85),
                arrivalsReader.number("pauseMs", 0, UNLIMITED, 1500),
                arrivalsReader.number("leaves", 0, 1, 0.02),
                arrivalsReader.number("lean", 0, 1, 0.8),
                arrivalsReader.number("aheadS", 0, 600, 4));
        ConfigReader listReader = reader.object("list");
        var listDelay = new ListDelay(
                listReader.number("lagMs", 0, UNLIMITED, 500), listReader.number("silentLagMs", 0, UNLIMITED, 2000));
        double durationS = reader.number("seconds", 1, 86400);
        List<Trouble> troubles = new ArrayList<>(reader.objects("troubles", 0, troubleReader -> {
            double startS = troubleReader.number("at", 0, UNLIMITED);
            if (startS > durationS)
                troubleReader.error(
                        "at", "is " + startS + "; expected a time within the scenario of " + durationS + " seconds");
            return new Trouble(
                    troubleReader.oneOf(
                            "name",
                            java.util.stream.Stream.concat(TROUBLES.stream(), LEDGER_TROUBLES.stream())
                                    .toList(),
                            null),
                    startS,
                    troubleReader.number("seconds", 0, UNLIMITED, 5),
                    troubleReader.number("part", 0, 1, 0.2),
                    troubleReader.number("size", 0, UNLIMITED, 1),
                    troubleReader.number("everyS", 0.1, UNLIMITED, 5));
        }));
        int hostCount = hosts.stream().mapToInt(HostSpec::count).sum();
        if (hostCount > settings.fleet().positions()) {
            reader.error(
                    "hosts",
                    "are " + hostCount + "; expected at most gateway.fleet.places, "
                            + settings.fleet().positions());
        }
        Scenario scenario = new Scenario(
                reader.text("name", ".{1,80}", "a name"),
                durationS,
                (long) reader.number("seed", 0, 9e15, 1),
                gatewayCount,
                hosts,
                reader.number("uplinkKb", 0.1, UNLIMITED, settings.fleet().rackLinkKb()),
                hostBehavior,
                arrivals,
                listDelay,
                troubles,
                reader.flag("ledger", false),
                template,
                reader);
        reader.finish();
        return scenario;
    }

    private static Map<String, Double> weights(ConfigReader reader, List<String> names) {
        Map<String, Double> weights = new LinkedHashMap<>();
        for (String name : names) weights.put(name, reader.number(name, 0, UNLIMITED, 1));
        return weights;
    }

    private static Map<String, Object> gatewayOverrides(
            int gatewayIndex,
            int gatewayCount,
            int port,
            String listUrl,
            String savedListFile,
            Map<String, String> ledger) {
        Map<String, Object> overrides = new LinkedHashMap<>();
        overrides.put("me", gatewayIndex);
        overrides.put("fronts", gatewayCount);
        overrides.put("listen", Map.of("host", "127.0.0.1", "port", port));
        overrides.put(
                "list",
                savedListFile.isEmpty() ? Map.of("url", listUrl) : Map.of("url", listUrl, "saved", savedListFile));
        if (!ledger.isEmpty()) overrides.put("ledger", ledger);
        return overrides;
    }

    /** Returns the settings of one gateway of this scenario as JSON. */
    public String gatewayJson(
            int gatewayIndex, int port, String listUrl, String savedListFile, Map<String, String> ledger) {
        return source.objectWith(
                        "gateway", gatewayOverrides(gatewayIndex, gatewayCount, port, listUrl, savedListFile, ledger))
                .json();
    }

    /** Returns the settings of one gateway of this scenario, without a ledger. */
    public GatewayConfig gatewayConfig(int gatewayIndex, int port, String listUrl, String savedListFile) {
        return gatewayConfig(gatewayIndex, port, listUrl, savedListFile, Map.of());
    }

    /** Returns the settings of one gateway; {@code ledger} holds the fields of its ledger settings, if not empty. */
    public GatewayConfig gatewayConfig(
            int gatewayIndex, int port, String listUrl, String savedListFile, Map<String, String> ledger) {
        ConfigReader reader = ConfigReader.parse(name, gatewayJson(gatewayIndex, port, listUrl, savedListFile, ledger));
        GatewayConfig config = GatewayConfig.read(reader);
        try {
            reader.finish();
        } catch (ConfigException e) {
            throw new IllegalStateException(String.join("; ", e.errors()), e); // validated when the scenario was read
        }
        return config;
    }
}
