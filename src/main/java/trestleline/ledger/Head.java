package trestleline.ledger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A signed word that a generation reached an entry. A chain of seals can't see its own end: what is cut off there leaves a
 * chain that holds. A head kept elsewhere, beside the entries or with billing, shows what is short. Line:
 * {@code HEAD KEYID MAC TEXT} (docs/ledger-wire.md); the MAC is under {@link Keys} and covers the word {@code HEAD}, so that
 * no entry passes for one.
 *
 * @param seq the entry reached, from 0; {@code seal} is that entry's
 */
public record Head(String gateway, String generation, long seq, String seal) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String WORD = "HEAD";

    /** The head of a chain whose last line is given. */
    public static Head of(Sealed last) {
        Entry e = Entry.decode(last.text());
        return new Head(e.gateway(), e.generation(), e.seq(), last.mac());
    }

    public static boolean looksLike(String line) {
        return line.startsWith(WORD + " ");
    }

    /** Signed with the current key. */
    public String line(Keys keys) {
        String text = JSON.createObjectNode().put("g", gateway).put("gen", generation).put("seq", seq).put("seal", seal)
            .toString();
        return WORD + " " + keys.current() + " " + keys.mac(keys.current(), WORD, text) + " " + text;
    }

    /** Reads and checks a line; throws {@code IllegalArgumentException} saying what is wrong with it. */
    public static Head read(Keys keys, String line) {
        String[] part = line.split(" ", 4);
        if (part.length != 4 || !part[0].equals(WORD)) throw new IllegalArgumentException("no head");
        if (!keys.knows(part[1])) throw new IllegalArgumentException("head signed by unknown key " + part[1]);
        if (!keys.mac(part[1], WORD, part[3]).equals(part[2])) throw new IllegalArgumentException("signature of the head does not hold");
        try {
            JsonNode n = JSON.readTree(part[3]);
            return new Head(n.path("g").asText(), n.path("gen").asText(), n.path("seq").asLong(), n.path("seal").asText());
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("head cannot be read: " + e.getOriginalMessage(), e);
        }
    }

    /** The chain it is of. */
    public String chain() {
        return gateway + "/" + generation;
    }
}
