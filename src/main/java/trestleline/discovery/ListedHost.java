package trestleline.discovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import trestleline.placement.Placement;

/**
 * An entry of the host list with the address of the host, and the text form of lists: one JSON object a line
 * (docs/wire.md).
 *
 * @param ip loopback address of the host
 */
public record ListedHost(Placement.HostEntry entry, String ip, int port) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Pattern HOST_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Set<String> STATUSES = Set.of("Running", "Stopping", "Deleted");

    /**
     * A parsed line of the feed.
     *
     * @param mode {@code whole} for a complete list, {@code patch} for changed entries only
     * @param version number of the list
     * @param errors one message for each entry that was left out, with its index and field
     */
    public record Line(String mode, long version, List<ListedHost> hosts, List<String> errors) {}

    /**
     * Parses one line. Invalid entries are left out and reported in {@link Line#errors}.
     *
     * @throws IllegalArgumentException if the line as a whole is invalid
     */
    public static Line parse(String text) {
        JsonNode root;
        try {
            root = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
        }
        String mode = root == null ? "" : root.path("mode").asText();
        if (!mode.equals("whole") && !mode.equals("patch")) {
            throw new IllegalArgumentException("field 'mode' is '" + mode + "'; expected whole or patch");
        }
        if (!root.path("version").isIntegralNumber())
            throw new IllegalArgumentException("field 'version' is not an integer");
        if (!root.path("hosts").isArray()) throw new IllegalArgumentException("field 'hosts' is not an array");
        List<ListedHost> hosts = new ArrayList<>();
        List<String> errors = new ArrayList<>();
        int index = 0;
        for (JsonNode host : root.path("hosts")) {
            try {
                hosts.add(parseEntry(host));
            } catch (IllegalArgumentException e) {
                errors.add("hosts[" + index + "]." + e.getMessage());
            }
            index++;
        }
        return new Line(mode, root.path("version").longValue(), hosts, errors);
    }

    private static ListedHost parseEntry(JsonNode host) {
        if (!host.path("slot").canConvertToInt()) throw new IllegalArgumentException("slot: not a 32-bit integer");
        return of(
                host.path("host").asText(),
                host.path("status").asText(),
                host.path("address").asText(),
                host.path("kind").asText(),
                host.path("since").asDouble(0),
                host.path("zone").asText(),
                host.path("weight").asDouble(1),
                host.path("slot").intValue());
    }

    /**
     * Creates an entry from its fields.
     *
     * @param address {@code IP:PORT}
     * @param since when the host started, Unix time in ms
     * @throws IllegalArgumentException if a field is invalid; the message begins with its name
     */
    public static ListedHost of(
            String host,
            String status,
            String address,
            String kind,
            double since,
            String zone,
            double weight,
            int slot) {
        if (!HOST_NAME.matcher(host).matches()) throw new IllegalArgumentException("host: not a valid host name");
        if (!STATUSES.contains(status)) throw new IllegalArgumentException("status: unknown value '" + status + "'");
        LoopbackAddress parsed = LoopbackAddress.parse(address);
        if (parsed.port() < 1) throw new IllegalArgumentException("address: port is 0");
        if (!(since >= 0 && since < 1e15)) throw new IllegalArgumentException("since: not a Unix time in ms");
        if (!(weight > 0 && weight < 1e9)) throw new IllegalArgumentException("weight: not between 0 and 1e9");
        return new ListedHost(
                new Placement.HostEntry(host, status, kind, since, zone, weight, slot), parsed.ip(), parsed.port());
    }

    /** Formats one line, without the line break. */
    public static String format(String mode, long version, List<ListedHost> hosts) {
        ObjectNode root = MAPPER.createObjectNode().put("mode", mode).put("version", version);
        ArrayNode entries = root.putArray("hosts");
        for (ListedHost listed : hosts) {
            Placement.HostEntry entry = listed.entry();
            entries.addObject()
                    .put("host", entry.host())
                    .put("address", listed.ip() + ":" + listed.port())
                    .put("status", entry.status())
                    .put("kind", entry.kind())
                    .put("since", entry.startedAt())
                    .put("zone", entry.zone())
                    .put("weight", entry.weight())
                    .put("slot", entry.position());
        }
        return root.toString();
    }
}
