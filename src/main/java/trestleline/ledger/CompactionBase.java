package trestleline.ledger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Replaces a ledger's oldest entries once compaction removed them. It holds where each generation's chain continues and
 * after which seal, the paid starts by period, tenant and class, the last period closed, and the sealed lines of the
 * intents that were not settled yet. Line: {@code BASE KEYID MAC TEXT} (docs/ledger-wire.md), signed as a {@link Head}
 * is.
 *
 * @param gateway name of the gateway
 * @param ends end of the removed part of each generation, in the order in which generations started
 * @param starts paid starts by period, then by {@code TENANT/CLASS}
 * @param closed the last period closed; {@code Long.MIN_VALUE} if none was
 * @param newest latest event time among the removed entries, ms since the epoch
 * @param open sealed lines of the intents not settled, in the order stored
 */
public record CompactionBase(
        String gateway,
        Map<String, End> ends,
        Map<Long, Map<String, Long>> starts,
        long closed,
        long newest,
        List<String> open) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String WORD = "BASE";
    /** The base of a ledger from which nothing was removed. */
    public static final CompactionBase NONE = new CompactionBase("", Map.of(), Map.of(), Long.MIN_VALUE, 0, List.of());

    /**
     * End of the removed part of a generation.
     *
     * @param next sequence number of the generation's first entry that was not removed
     * @param seal MAC of the entry before it
     * @param starts paid starts of the generation's removed entries, by {@code TENANT/CLASS}
     */
    public record End(long next, String seal, Map<String, Long> starts) {}

    /**
     * This base extended by the lines that follow it. An attempt counts once among these lines, as in
     * {@link PaidStartTotals}; one counted in this base already must not be reported again, which {@link Compaction}
     * ensures.
     */
    public CompactionBase extend(List<String> lines) {
        String gatewayName = gateway;
        long lastClosed = closed;
        long newestEventAt = newest;
        Map<String, End> extendedEnds = new LinkedHashMap<>(ends);
        Map<String, String> unsettled = new LinkedHashMap<>();
        for (String line : open)
            unsettled.put(Entry.decode(SealedEntry.parse(line).text()).attempt(), line);
        Map<String, Entry> countedByAttempt = new LinkedHashMap<>();
        for (String line : lines) {
            SealedEntry sealed = SealedEntry.parse(line);
            Entry entry = Entry.decode(sealed.text());
            gatewayName = entry.gateway();
            newestEventAt = Math.max(newestEventAt, entry.eventAt());
            Head head = Head.after(
                    gatewayName.isEmpty()
                            ? null
                            : head(gatewayName, entry.generation(), extendedEnds.get(entry.generation())),
                    sealed);
            extendedEnds.put(entry.generation(), new End(entry.seq() + 1, sealed.mac(), head.starts()));
            switch (entry.kind()) {
                case INTENT -> unsettled.put(entry.attempt(), line);
                case RAN, NEVER, CORRECTION -> unsettled.remove(entry.attempt());
                case CLOSE -> lastClosed = Math.max(lastClosed, entry.period());
                default -> {}
            }
            if (entry.amount() > 0) countedByAttempt.putIfAbsent(entry.attempt(), entry);
            if (entry.amount() < 0) countedByAttempt.remove(entry.attempt());
        }
        Map<Long, Map<String, Long>> extendedStarts = new TreeMap<>();
        starts.forEach((period, byTenantAndClass) -> extendedStarts.put(period, new TreeMap<>(byTenantAndClass)));
        for (Entry entry : countedByAttempt.values()) {
            extendedStarts
                    .computeIfAbsent(entry.period(), absent -> new TreeMap<>())
                    .merge(entry.tenant() + "/" + entry.service(), 1L, Long::sum);
        }
        return new CompactionBase(
                gatewayName,
                Collections.unmodifiableMap(extendedEnds),
                Collections.unmodifiableMap(extendedStarts),
                lastClosed,
                newestEventAt,
                List.copyOf(unsettled.values()));
    }

    private static Map<String, Long> parseCounts(JsonNode object) {
        Map<String, Long> counts = new TreeMap<>();
        object.fields()
                .forEachRemaining(
                        field -> counts.put(field.getKey(), field.getValue().longValue()));
        return counts;
    }

    private static Head head(String gateway, String generation, End end) {
        return end == null ? null : new Head(gateway, generation, end.next() - 1, end.seal(), end.starts());
    }

    /** Head of a generation's removed part; null for a generation that this base does not contain. */
    public Head head(String generation) {
        return head(gateway, generation, ends.get(generation));
    }

    /** Number of entries removed. */
    public long entries() {
        return ends.values().stream().mapToLong(End::next).sum();
    }

    /**
     * Sequence number of a generation's first entry that was not removed; 0 for a generation that this base does not
     * contain.
     */
    public long next(String generation) {
        End end = ends.get(generation);
        return end == null ? 0 : end.next();
    }

    /** Whether a line starts like a base; its content and signature are not checked. */
    public static boolean isBaseLine(String line) {
        return line.startsWith(WORD + " ");
    }

    /** The line of this base, signed with the current key. */
    public String sign(SealingKeys keys) {
        ObjectNode node = JSON.createObjectNode().put("g", gateway);
        ObjectNode endsNode = node.putObject("ends");
        ObjectNode startsNode = node.putObject("starts");
        ends.forEach((generation, end) -> end.starts()
                .forEach(endsNode.putObject(generation)
                        .put("next", end.next())
                        .put("seal", end.seal())
                        .putObject("starts")::put));
        starts.forEach((period, byTenantAndClass) -> {
            ObjectNode periodNode = startsNode.putObject(Long.toString(period));
            byTenantAndClass.forEach(periodNode::put);
        });
        if (closed != Long.MIN_VALUE) node.put("closed", closed);
        node.put("newest", newest);
        ArrayNode openNode = node.putArray("open");
        open.forEach(openNode::add);
        String text = node.toString();
        return WORD + " " + keys.current() + " " + keys.computeMac(keys.current(), WORD, text) + " " + text;
    }

    /** Parses a line without checking its signature; throws {@code IllegalArgumentException} when it is not a base. */
    public static CompactionBase parse(String line) {
        String[] parts = line.split(" ", 4);
        if (parts.length != 4 || !parts[0].equals(WORD)) throw new IllegalArgumentException("not a base");
        try {
            JsonNode node = JSON.readTree(parts[3]);
            Map<String, End> ends = new LinkedHashMap<>();
            node.path("ends")
                    .fields()
                    .forEachRemaining(field -> ends.put(
                            field.getKey(),
                            new End(
                                    field.getValue().path("next").longValue(),
                                    field.getValue().path("seal").asText(),
                                    parseCounts(field.getValue().path("starts")))));
            Map<Long, Map<String, Long>> starts = new TreeMap<>();
            node.path("starts")
                    .fields()
                    .forEachRemaining(field -> starts.put(Long.valueOf(field.getKey()), parseCounts(field.getValue())));
            List<String> open = new ArrayList<>();
            for (JsonNode intent : node.path("open")) open.add(intent.asText());
            return new CompactionBase(
                    node.path("g").asText(),
                    Collections.unmodifiableMap(ends),
                    Collections.unmodifiableMap(starts),
                    node.path("closed").asLong(Long.MIN_VALUE),
                    node.path("newest").longValue(),
                    List.copyOf(open));
        } catch (JsonProcessingException | NumberFormatException e) {
            throw new IllegalArgumentException("base cannot be read: " + e.getMessage(), e);
        }
    }

    /** Parses a line and checks its signature; throws {@code IllegalArgumentException} saying what is wrong with it. */
    public static CompactionBase verify(SealingKeys keys, String line) {
        CompactionBase base = parse(line);
        String[] parts = line.split(" ", 4);
        if (!keys.knows(parts[1])) throw new IllegalArgumentException("base signed by unknown key " + parts[1]);
        if (!keys.computeMac(parts[1], WORD, parts[3]).equals(parts[2]))
            throw new IllegalArgumentException("invalid signature of the base");
        return base;
    }
}
