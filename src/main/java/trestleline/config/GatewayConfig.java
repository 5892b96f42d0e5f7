package trestleline.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import trestleline.media.Container;
import trestleline.media.LiveWindow;
import trestleline.media.Playlist;
import trestleline.placement.Placement;

/**
 * All settings of one gateway. Times are in milliseconds, or in seconds where a name ends in {@code S}; rates are in kB
 * per second.
 *
 * @param settings what the decision module works by
 * @param listen where viewers are served
 * @param list where the host list comes from
 * @param media properties of the media
 * @param limits bounds on what viewers may use
 * @param titles titles by name
 * @param handover file through which sessions are handed over to the next process; empty for none
 * @param ledger the billing ledger
 */
public record GatewayConfig(
        Placement.Settings settings,
        Listen listen,
        HostListSource list,
        Media media,
        Limits limits,
        Map<String, Title> titles,
        String handover,
        Ledger ledger) {
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9_-]{0,63}";
    private static final String NAME_EXPECTED = "a name of letters, digits, - and _";
    private static final double UNBOUNDED = Double.POSITIVE_INFINITY;

    /**
     * Address at which viewers are served; port 0 lets the system choose. {@code origins} are those of pages whose
     * players may read the answers.
     */
    public record Listen(String host, int port, List<String> origins) {}

    /**
     * Where the host list is fetched, the file that keeps the last one (empty for none), and the shortest and longest
     * delay between retries.
     */
    public record HostListSource(String url, String saved, double retryFrom, double retryTo) {}

    /**
     * Length of a segment in seconds, how long the gateway waits for a host that sends no data, and the number of
     * segments in a live playlist.
     */
    public record Media(double segmentS, double silentMs, int liveSegments) {
        /** Returns the window of a live playlist. */
        public LiveWindow liveWindow() {
            return new LiveWindow(segmentS * 1000, liveSegments);
        }
    }

    /**
     * The billing ledger.
     *
     * @param file its file; empty for no ledger
     * @param keys file of its keys; empty for no ledger
     * @param desk URL to which it is exported; empty for no export
     * @param periodS length of an accounting period, seconds
     * @param latenessS how long after its end a period stays open, seconds
     * @param backlog number of entries not yet durable at which paid set-ups are held back
     * @param slowMs age of the oldest entry not yet durable at which paid set-ups are held back, ms
     * @param askFromMs first delay between requests for a missing receipt, ms; it doubles each time
     * @param askToMs upper bound of that delay, ms
     * @param askForMs how long a set-up of unknown outcome is asked for, ms
     * @param open number of unsettled attempts at which paid set-ups are held back
     * @param batch largest number of entries sent at once
     * @param backoffFrom backoff after the first failed request to billing, ms; it doubles with each further one
     * @param backoffTo upper bound of the backoff, ms
     * @param budget largest number of requests to billing within {@code windowMs}
     * @param windowMs window of {@code budget}, ms
     * @param keepPeriods number of closed periods kept whole; negative to keep all
     */
    public record Ledger(
            String file,
            String keys,
            String desk,
            double periodS,
            double latenessS,
            int backlog,
            double slowMs,
            double askFromMs,
            double askToMs,
            double askForMs,
            int open,
            int batch,
            double backoffFrom,
            double backoffTo,
            int budget,
            double windowMs,
            int keepPeriods) {
        /** Returns whether there is a ledger. */
        public boolean enabled() {
            return !file.isEmpty();
        }
    }

    /**
     * Bounds on the resources that viewers may use.
     *
     * @param connections largest number of open connections
     * @param open number of waiting requests and sessions from which new ones are rejected
     * @param headMs how long a new connection may take to send a request head, ms
     * @param idleMs how long a connection may be idle, ms
     * @param marginMs subtracted from the time that a viewer waits for an answer, ms
     * @param bufferMs buffer assumed of a player that does not report its own, ms
     * @param headBytes largest size of a request head
     * @param memory heap that viewers may take, bytes
     */
    public record Limits(
            int connections,
            int open,
            double headMs,
            double idleMs,
            double marginMs,
            double bufferMs,
            int headBytes,
            long memory) {}

    /** Heap that the program itself takes, in bytes, including garbage of the decision module and of one event loop. */
    private static final long RESERVED_HEAP_BYTES = 24L << 20;

    /**
     * A title: its id in the decision module, its length in seconds, and the positions that hold it: {@code holders} of
     * them from {@code home} on, modulo the number of positions.
     */
    public record Title(String name, long number, double seconds, int home, int holders, Container container) {}

    /** Reads and checks a file. Throws {@link ConfigException} if it has errors. */
    public static GatewayConfig open(Path path) {
        ConfigReader reader = ConfigReader.open(path);
        GatewayConfig config = read(reader);
        reader.finish();
        return config;
    }

    /** Reads from an open reader; errors are reported by {@link ConfigReader#finish}. */
    public static GatewayConfig read(ConfigReader reader) {
        Placement.Settings settings = settings(reader);
        ConfigReader listenReader = reader.object("listen");
        var listen = new Listen(
                loopback(listenReader, "host", "127.0.0.1"),
                listenReader.integer("port", 0, 65535, 0),
                origins(listenReader));
        ConfigReader listReader = reader.object("list");
        var list = new HostListSource(
                listReader.text(
                        "url",
                        "http://(127\\.0\\.0\\.1|localhost):\\d{1,5}/\\S*",
                        "an address like http://127.0.0.1:9000/hosts"),
                listReader.text("saved", ".+", "a file", ""),
                listReader.number("retryFrom", 1, UNBOUNDED, 100),
                listReader.number("retryTo", 1, UNBOUNDED, 3000));
        ConfigReader mediaReader = reader.object("media");
        var media = new Media(
                mediaReader.number("segmentS", 0.1, 60, 2),
                mediaReader.number("silentMs", 50, UNBOUNDED, 3000),
                mediaReader.integer("liveSegments", LiveWindow.MIN_SEGMENTS, 100, 6));
        ConfigReader limitsReader = reader.object("limits");
        var limits = new Limits(
                limitsReader.integer("connections", 1, 1_000_000, 10_000),
                limitsReader.integer("open", 1, 1_000_000, 20_000),
                limitsReader.number("headMs", 50, UNBOUNDED, 5000),
                limitsReader.number("idleMs", 1000, UNBOUNDED, 30_000),
                limitsReader.number("marginMs", 0, 10_000, 60),
                limitsReader.number("bufferMs", 0, 600_000, 6000),
                limitsReader.integer("headBytes", 512, 65536, 8192),
                memory(limitsReader));
        Map<String, Title> titles = new HashMap<>();
        for (Title title : reader.objects(
                "titles", 1, title -> title(title, settings.fleet().positions(), media.segmentS()))) {
            if (titles.put(title.name(), title) != null)
                reader.error("titles", "duplicate name '" + title.name() + "'");
        }
        String handover = reader.text("handover", ".+", "a file", "");
        return new GatewayConfig(
                settings, listen, list, media, limits, titles, handover, ledger(reader.object("ledger")));
    }

    private static Ledger ledger(ConfigReader reader) {
        String file = reader.text("file", ".+", "a file", "");
        String keys = reader.text("keys", ".+", "a file", "");
        if (file.isEmpty() != keys.isEmpty())
            reader.error(file.isEmpty() ? "file" : "keys", "is missing; file and keys go together");
        return new Ledger(
                file,
                keys,
                reader.text(
                        "desk",
                        "http://(127\\.0\\.0\\.1|localhost):\\d{1,5}",
                        "an address like http://127.0.0.1:9100",
                        ""),
                reader.number("periodS", 0.1, UNBOUNDED, 3600),
                reader.number("latenessS", 0, UNBOUNDED, 60),
                reader.integer("backlog", 1, 1_000_000, 1000),
                reader.number("slowMs", 1, UNBOUNDED, 500),
                reader.number("askFromMs", 1, UNBOUNDED, 200),
                reader.number("askToMs", 1, UNBOUNDED, 10_000),
                reader.number("askForMs", 1, UNBOUNDED, 600_000),
                reader.integer("open", 1, 1_000_000, 5000),
                reader.integer("batch", 1, 100_000, 500),
                reader.number("backoffFrom", 1, UNBOUNDED, 100),
                reader.number("backoffTo", 1, UNBOUNDED, 10_000),
                reader.integer("budget", 1, 1_000_000, 600),
                reader.number("windowMs", 1, UNBOUNDED, 60_000),
                reader.integer("keepPeriods", 0, 1_000_000, -1));
    }

    /**
     * Returns how much heap viewers may take, in bytes; by default a quarter of the heap. It is an error if this does
     * not fit into the heap beside {@link #RESERVED_HEAP_BYTES}.
     */
    private static long memory(ConfigReader reader) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        long memoryBytes = (long) reader.number("memory", 1 << 20, UNBOUNDED, heapBytes / 4.0);
        if (memoryBytes + RESERVED_HEAP_BYTES > heapBytes) {
            reader.error(
                    "memory",
                    "is " + memoryBytes + "; with " + RESERVED_HEAP_BYTES + " for the program itself that is "
                            + (memoryBytes + RESERVED_HEAP_BYTES) + ", more than the heap of " + heapBytes);
        }
        return memoryBytes;
    }

    /**
     * Reads the origins of pages whose players may read the answers, in the form in which browsers send them, or
     * {@code *}.
     */
    private static List<String> origins(ConfigReader reader) {
        List<String> origins = reader.strings("origins", List.of("*"));
        for (String origin : origins) {
            if (!origin.equals("*") && !origin.matches("https?://[^/ ,]{1,253}")) {
                reader.error(
                        "origins", "holds '" + origin + "'; expected \"*\" or an origin such as http://localhost:8000");
            }
        }
        return origins;
    }

    /** Reads an address on the loopback interface, as the gateway serves this machine only. */
    static String loopback(ConfigReader reader, String field, String defaultValue) {
        return reader.text(field, "127\\.\\d{1,3}\\.\\d{1,3}\\.\\d{1,3}|localhost", "a loopback address", defaultValue);
    }

    private static final List<String> CONTAINER_SETTINGS =
            Stream.of(Container.values()).map(Container::setting).toList();

    /**
     * Reads a title. It has at most {@value Playlist#MAX_SEGMENTS} segments, as its playlist is written on the event
     * loop.
     */
    private static Title title(ConfigReader reader, int positions, double segmentS) {
        String name = reader.text("name", NAME_PATTERN, NAME_EXPECTED);
        return new Title(
                name,
                stableId(name),
                reader.number("seconds", 0.1, Playlist.MAX_SEGMENTS * Math.max(0.1, segmentS)),
                reader.integer("home", 0, 1_000_000),
                reader.integer("holders", 1, positions),
                Container.fromSetting(reader.oneOf("container", CONTAINER_SETTINGS, Container.AAC.setting())));
    }

    /** Returns a stable id below 2^53 for a name. It is an FNV-1a hash, so that all gateways agree without a table. */
    public static long stableId(String name) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        return (hash ^ hash >>> 32) & (1L << 53) - 1;
    }

    private static Placement.Settings settings(ConfigReader reader) {
        int gatewayIndex = reader.integer("me", 0, 1_000_000, 0);
        int gatewayCount = reader.integer("fronts", 1, 1_000_000);
        if (gatewayIndex >= gatewayCount) reader.error("me", "is " + gatewayIndex + "; expected less than fronts");
        String zone = reader.text("zone", NAME_PATTERN, NAME_EXPECTED);
        ConfigReader ladderReader = reader.object("ladder");
        double[] kb = ladderReader.numbers("kb", 0.001, 1);
        double[] worth = ladderReader.numbers("worth", 0, 1);
        if (worth.length != kb.length)
            ladderReader.error("worth", "has " + worth.length + " values; expected " + kb.length);
        for (int i = 1; i < kb.length; i++) {
            if (kb[i] <= kb[i - 1])
                ladderReader.error("kb[" + i + "]", "is not above the one before; expected rising rates");
        }
        var ladder = new Placement.Ladder(
                kb,
                worth,
                ladderReader.number("switchS", 0, UNBOUNDED, 0.5),
                ladderReader.number("shortfallCost", 0, UNBOUNDED, 8),
                ladderReader.number("joinAdds", 0, 1, 1));
        List<Placement.RequestClass> classes =
                reader.objects("classes", 1, classReader -> requestClass(classReader, kb.length));
        requireUniqueNames(
                reader,
                "classes",
                classes.stream().map(Placement.RequestClass::name).toList());
        List<Placement.Tenant> tenants = reader.objects(
                "tenants",
                1,
                tenantReader -> new Placement.Tenant(
                        tenantReader.text("name", NAME_PATTERN, NAME_EXPECTED),
                        tenantReader.number("quotaPerS", 0, UNBOUNDED, 0),
                        tenantReader.number("fraction", 0, 1, 1)));
        requireUniqueNames(
                reader, "tenants", tenants.stream().map(Placement.Tenant::name).toList());
        ConfigReader fleetReader = reader.object("fleet");
        List<String> kinds = new ArrayList<>();
        List<Integer> slots = new ArrayList<>();
        fleetReader.objects("kinds", 1, kindReader -> {
            kinds.add(kindReader.text("name", NAME_PATTERN, NAME_EXPECTED));
            slots.add(kindReader.integer("slots", 1, 1_000_000));
            return kindReader;
        });
        int positions = fleetReader.integer("places", 1, 1_000_000);
        int racks = fleetReader.integer("racks", 1, 1_000_000);
        double linkUnitKb = fleetReader.number("linkUnitKb", 0.001, UNBOUNDED);
        var fleet = new Placement.Fleet(
                positions,
                racks,
                fleetReader.number("linksKb", 0.001, UNBOUNDED, linkUnitKb * positions),
                fleetReader.number("rackLinkKb", 0.001, UNBOUNDED),
                linkUnitKb,
                kinds,
                slots.stream().mapToInt(i -> i).toArray(),
                fleetReader.number("guard", 0, UNBOUNDED, 0),
                fleetReader.oneOf("weightKind", List.of("silent", "nominal", "rough", "live"), "silent"));
        ConfigReader rulesReader = reader.object("rules");
        var rules = new Placement.Rules(
                rulesReader.number("graceToAnswer", 0, UNBOUNDED, 40),
                rulesReader.number("askEvery", 0, UNBOUNDED, 0),
                rulesReader.number("freeResends", 0, UNBOUNDED, 0),
                rulesReader.number("extraShare", 0, UNBOUNDED, 0),
                rulesReader.number("extraWindow", 0, UNBOUNDED, 0),
                rulesReader.number("coldShare", 0.01, 1, 0.4),
                rulesReader.number("cold", 0, UNBOUNDED, 10_000),
                rulesReader.number("drainGrace", 1, UNBOUNDED, 500),
                rulesReader.number("overloadFactor", 0.1, UNBOUNDED, 2),
                rulesReader.number("fall", 1, UNBOUNDED, 1000),
                rulesReader.integer("sendCap", 1, 100, 5),
                rulesReader.flag("cancel", true),
                rulesReader.flag("probes", false),
                rulesReader.flag("retryAfter", true),
                rulesReader.number("maxRetryAfter", 0, UNBOUNDED, 2000),
                rulesReader.number("connectTimeout", 1, UNBOUNDED, 250));
        ConfigReader penaltiesReader = reader.object("prices");
        var prices = new Placement.Penalties(
                penaltiesReader.number("crossZone", 0, UNBOUNDED, 0),
                penaltiesReader.number("probe", 0, UNBOUNDED, 0.01),
                penaltiesReader.number("moves", 0, UNBOUNDED, 0.2),
                penaltiesReader.number("lateFail", 0, UNBOUNDED, 0.05),
                penaltiesReader.number("discovery", 0, UNBOUNDED, 0));
        ConfigReader reportReader = reader.object("report");
        return new Placement.Settings(
                gatewayIndex,
                gatewayCount,
                zone,
                10,
                reader.oneOf("discovery", List.of("pushed", "on_request"), "pushed")
                        .equals("on_request"),
                reportReader.number("see", 1, UNBOUNDED, 1000),
                reportReader.number("toldEvery", 0, UNBOUNDED, 0),
                reportReader.strings("fields", List.of()),
                reportReader.oneOf("via", List.of("silent", "piggyback", "pull"), "silent"),
                classes,
                tenants,
                reader.number("overShareWorth", 0, 1, 0.1),
                ladder,
                fleet,
                rules,
                prices);
    }

    private static void requireUniqueNames(ConfigReader reader, String field, List<String> names) {
        Set<String> seen = new HashSet<>();
        for (String name : names) if (!seen.add(name)) reader.error(field, "duplicate name '" + name + "'");
    }

    private static Placement.RequestClass requestClass(ConfigReader reader, int rungCount) {
        double aimMs = reader.number("aim", 1, UNBOUNDED);
        double deadlineMs = reader.number("deadline", 1, UNBOUNDED);
        if (deadlineMs < aimMs) reader.error("deadline", "is less than aim");
        int maxRung = reader.integer("top", 0, rungCount - 1, rungCount - 1);
        int minRung = reader.integer("floor", 0, rungCount - 1, 0);
        if (minRung > maxRung) reader.error("floor", "is above top");
        return new Placement.RequestClass(
                reader.text("name", NAME_PATTERN, NAME_EXPECTED),
                aimMs,
                0,
                deadlineMs,
                Placement.Effect.valueOf(reader.oneOf("effect", List.of("pure", "token", "side_effect"), null)
                        .toUpperCase(Locale.ROOT)),
                reader.oneOf("group", List.of("all", "zone", "cell"), "all"),
                reader.number("dedupWindow", 0, UNBOUNDED, 0),
                reader.number("worth", 0, UNBOUNDED),
                minRung,
                maxRung,
                reader.number("rateFactor", 0.001, UNBOUNDED, 1),
                reader.integer("seats", 0, 1_000_000, 0),
                reader.flag("live", false));
    }
}
