package trestleline.ledger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One entry of the ledger. Entries are immutable once written: a wrong or premature one is corrected by a later entry
 * that names it.
 *
 * @param gateway name of the gateway that wrote the entry
 * @param generation one run of the gateway process; never reused
 * @param seq sequence number within the generation, from 0 and without gaps
 * @param kind what the entry records
 * @param attempt id of the set-up attempt; empty for {@code START} and {@code CLOSE}
 * @param corrects {@code GENERATION:SEQ} of the entry that this one corrects or settles, or empty
 * @param tenant tenant that is billed
 * @param service service class of the request
 * @param title number of the requested title
 * @param viewer number of the viewer
 * @param host name of the media host
 * @param period accounting period in which the entry counts: the event time divided by the period's length, or a later
 *     period if that one was closed already
 * @param eventAt time of the event by the gateway's clock, ms since the epoch
 * @param amount change in the number of paid starts: 1, 0 or -1
 * @param note for {@code START} the last entry of the previous generation, for {@code CLOSE} the period's totals, for
 *     corrections the reason
 */
public record Entry(
        String gateway,
        String generation,
        long seq,
        Kind kind,
        String attempt,
        String corrects,
        String tenant,
        String service,
        long title,
        long viewer,
        String host,
        long period,
        long eventAt,
        int amount,
        String note) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** What an entry records. */
    public enum Kind {
        /** A generation begins; the note names the last entry of the previous one. */
        START,
        /** A paid set-up is about to be sent. */
        INTENT,
        /** The attempt ran: one paid start. */
        RAN,
        /** The attempt provably never ran. */
        NEVER,
        /** Whether the attempt ran is not known yet. */
        UNKNOWN,
        /** Settles or corrects an earlier entry. */
        CORRECTION,
        /** A period is closed; the note holds its totals. */
        CLOSE
    }

    /** Position of the entry in the gateway's ledger, {@code GENERATION:SEQ}. */
    public String position() {
        return generation + ":" + seq;
    }

    /** The entry as the JSON text that is sealed and stored. */
    public String encode() {
        ObjectNode node = JSON.createObjectNode()
                .put("g", gateway)
                .put("gen", generation)
                .put("seq", seq)
                .put("kind", kind.name())
                .put("a", attempt)
                .put("c", corrects)
                .put("t", tenant)
                .put("cl", service)
                .put("ti", title)
                .put("v", viewer)
                .put("h", host)
                .put("p", period)
                .put("at", eventAt)
                .put("n", amount)
                .put("note", note);
        return node.toString();
    }

    /** Parses the output of {@link #encode}; throws {@code IllegalArgumentException} on any other text. */
    public static Entry decode(String text) {
        try {
            JsonNode node = JSON.readTree(text);
            if (node == null || !node.hasNonNull("gen") || !node.path("seq").isIntegralNumber()) {
                throw new IllegalArgumentException("not a ledger entry");
            }
            return new Entry(
                    node.path("g").asText(),
                    node.path("gen").asText(),
                    node.path("seq").longValue(),
                    Kind.valueOf(node.path("kind").asText()),
                    node.path("a").asText(),
                    node.path("c").asText(),
                    node.path("t").asText(),
                    node.path("cl").asText(),
                    node.path("ti").longValue(),
                    node.path("v").longValue(),
                    node.path("h").asText(),
                    node.path("p").longValue(),
                    node.path("at").longValue(),
                    node.path("n").intValue(),
                    node.path("note").asText());
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a ledger entry: " + e.getOriginalMessage(), e);
        }
    }
}
