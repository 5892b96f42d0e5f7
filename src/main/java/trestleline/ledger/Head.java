package trestleline.ledger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A signed statement that a generation reached an entry. A chain of seals can't prove its own length: a chain that was
 * truncated still verifies. A head kept elsewhere, beside the entries or with billing, reveals the missing end. Line:
 * {@code HEAD KEYID MAC TEXT} (docs/ledger-wire.md); the MAC is computed with {@link SealingKeys} and covers the word
 * {@code HEAD}, so that no entry can pass for a head.
 *
 * @param gateway name of the gateway
 * @param generation generation of the chain
 * @param seq sequence number of the entry reached, from 0: the chain has one entry more than this number
 * @param seal MAC of that entry
 * @param starts paid starts of the generation up to that entry, by {@code TENANT/CLASS}; they tell how many starts a
 *     truncated end held
 */
public record Head(String gateway, String generation, long seq, String seal, Map<String, Long> starts) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String WORD = "HEAD";

    /** The head after appending a line to {@code before}, which is null for a generation's first line. */
    public static Head after(Head before, SealedEntry line) {
        Entry entry = Entry.decode(line.text());
        Map<String, Long> starts = before == null ? Map.of() : before.starts;
        if (entry.amount() != 0) {
            starts = new TreeMap<>(starts);
            starts.merge(entry.tenant() + "/" + entry.service(), (long) entry.amount(), Long::sum);
        }
        return new Head(entry.gateway(), entry.generation(), entry.seq(), line.mac(), starts);
    }

    /** The head of lines of one generation, which begin with its first line or follow {@code before}. */
    public static Head of(Head before, List<String> lines) {
        Head head = before;
        for (String line : lines) head = after(head, SealedEntry.parse(line));
        return head;
    }

    /** Whether a line starts like a head; its content and signature are not checked. */
    public static boolean isHeadLine(String line) {
        return line.startsWith(WORD + " ");
    }

    /** The line of this head, signed with the current key. */
    public String sign(SealingKeys keys) {
        ObjectNode node = JSON.createObjectNode()
                .put("g", gateway)
                .put("gen", generation)
                .put("seq", seq)
                .put("seal", seal);
        starts.forEach(node.putObject("starts")::put);
        String text = node.toString();
        return WORD + " " + keys.current() + " " + keys.computeMac(keys.current(), WORD, text) + " " + text;
    }

    /** Parses a line and checks its signature; throws {@code IllegalArgumentException} saying what is wrong with it. */
    public static Head verify(SealingKeys keys, String line) {
        String[] parts = line.split(" ", 4);
        if (parts.length != 4 || !parts[0].equals(WORD)) throw new IllegalArgumentException("not a head");
        if (!keys.knows(parts[1])) throw new IllegalArgumentException("head signed by unknown key " + parts[1]);
        if (!keys.computeMac(parts[1], WORD, parts[3]).equals(parts[2]))
            throw new IllegalArgumentException("invalid signature of the head");
        try {
            JsonNode node = JSON.readTree(parts[3]);
            Map<String, Long> starts = new TreeMap<>();
            node.path("starts")
                    .fields()
                    .forEachRemaining(
                            field -> starts.put(field.getKey(), field.getValue().longValue()));
            return new Head(
                    node.path("g").asText(),
                    node.path("gen").asText(),
                    node.path("seq").asLong(),
                    node.path("seal").asText(),
                    starts);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("head cannot be read: " + e.getOriginalMessage(), e);
        }
    }

    /** Identity of the chain that the head belongs to, {@code GATEWAY/GENERATION}. */
    public String chainId() {
        return gateway + "/" + generation;
    }
}
