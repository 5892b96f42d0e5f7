package trestleline.node;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import trestleline.discovery.LoopbackAddress;
import trestleline.feed.FeedParser;
import trestleline.placement.Placement;
import trestleline.settings.InvalidInputException;
import trestleline.settings.JsonObjectReader;
import trestleline.settings.SettingsReader;

/**
 * Configuration of a gateway on the platform, read from the JSON file that {@code NODE_CONFIG} names. Errors name the
 * field.
 *
 * @param name of this gateway
 * @param listenAddress address for viewers; port 0 lets the system choose one
 * @param seed of the random numbers of this gateway
 * @param maxSockets limit of open descriptors
 * @param memoryMb memory limit in MB
 * @param feedAddress address of the control feed
 * @param feedParser parser of the feed, positioned after {@code initialEvents}
 * @param initialEvents events of the feed at the start
 * @param hostIdleTimeoutMs time in ms after which hosts close idle connections
 * @param maxOpenSetUps limit of set-ups without an answer
 */
public record NodeConfig(
        String name,
        LoopbackAddress listenAddress,
        long seed,
        int maxSockets,
        int memoryMb,
        LoopbackAddress feedAddress,
        FeedParser feedParser,
        List<FeedParser.Change> initialEvents,
        Placement.Settings settings,
        double hostIdleTimeoutMs,
        int maxOpenSetUps) {
    /**
     * Reads a configuration file.
     *
     * @throws WireException if the file cannot be read or is invalid; the message names the file and the field
     */
    public static NodeConfig load(Path file) {
        return parse(readJson(file), file.toString());
    }

    /**
     * Reads a configuration from JSON.
     *
     * @param file name for error messages
     * @throws WireException if a field is missing or invalid; the message names it
     */
    public static NodeConfig parse(JsonNode root, String file) {
        try {
            JsonObjectReader fields = new JsonObjectReader(root, "NODE_CONFIG");
            String seed = fields.getString("seed");
            if (!seed.matches("[0-9a-fA-F]{1,16}"))
                throw new InvalidInputException("field 'seed' is not a hexadecimal number");
            JsonObjectReader limits = fields.getObject("limits");
            JsonObjectReader policy = fields.getObject("settings").getObject("policyLimits");
            var feedParser = new FeedParser();
            List<FeedParser.Change> initialEvents = feedParser.readInitialEvents(root.path("known"));
            LoopbackAddress listenAddress = parseAddress(fields, "listen");
            LoopbackAddress feedAddress = parseAddress(fields, "feed");
            int maxSockets = limits.getInt("sockets");
            int memoryMb = (int) limits.getDouble("memory_mb");
            if (maxSockets < MIN_SOCKETS)
                throw new InvalidInputException("field 'limits.sockets' is less than " + MIN_SOCKETS);
            return new NodeConfig(
                    fields.getString("name"),
                    listenAddress,
                    Long.parseUnsignedLong(seed, 16),
                    maxSockets,
                    memoryMb,
                    feedAddress,
                    feedParser,
                    initialEvents,
                    SettingsReader.read(fields.getObject("settings")),
                    policy.getDouble("connIdle", 30000),
                    (int) Math.min(1e6, policy.getDouble("maxOpen", 1e6)));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(file + ": " + e.getMessage());
        } catch (InvalidInputException e) {
            throw new InvalidInputException(file + ": " + e.getMessage());
        }
    }

    /**
     * Reads only the address of the control feed.
     *
     * @throws WireException if the file cannot be read or the field is invalid
     */
    public static LoopbackAddress feedAddress(Path file) {
        try {
            return parseAddress(new JsonObjectReader(readJson(file), "NODE_CONFIG"), "feed");
        } catch (InvalidInputException e) {
            throw new InvalidInputException(file + ": " + e.getMessage());
        }
    }

    private static LoopbackAddress parseAddress(JsonObjectReader fields, String name) {
        try {
            return LoopbackAddress.parse(fields.getString(name));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException("field '" + name + "': " + e.getMessage());
        }
    }

    /** Descriptors reserved for the process itself. */
    static final int RESERVED_SOCKETS = 40;

    /** Smallest accepted descriptor limit. */
    static final int MIN_SOCKETS = 96;

    /**
     * Limit of concurrent connections from viewers. The platform's own viewers take a third of the descriptor limit;
     * the rest is headroom for abusive clients.
     */
    public int maxViewerConnections() {
        return (maxSockets - RESERVED_SOCKETS) * 55 / 100;
    }

    /** Limit of concurrent connections to hosts. */
    public int maxHostConnections() {
        return (maxSockets - RESERVED_SOCKETS) * 40 / 100;
    }

    private static JsonNode readJson(Path file) {
        try {
            return new ObjectMapper().readTree(Files.readAllBytes(file));
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new InvalidInputException(file + ": not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new InvalidInputException(file + ": cannot be read: " + e);
        }
    }
}
