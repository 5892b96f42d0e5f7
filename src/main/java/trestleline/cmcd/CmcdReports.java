package trestleline.cmcd;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.greenbytes.http.sfv.IntegerItem;
import org.greenbytes.http.sfv.ListElement;
import org.greenbytes.http.sfv.Parser;
import org.greenbytes.http.sfv.StringItem;
import org.greenbytes.http.sfv.TokenItem;

/**
 * Parser of the reports that players send on their own by CMCD version 2 (CTA-5004-B), in event and response mode. A
 * body of type {@code application/cmcd} has one report per line, each a structured-field dictionary (RFC 8941, section
 * 3.2). The input is not trusted: a report without a valid version, session id, sequence number or timestamp is ignored
 * and counted, as is one beyond the limits; no text causes an exception.
 */
public final class CmcdReports {
    /** Length (characters) above which a line is ignored; no genuine player exceeds it. */
    public static final int MAX_LINE_LENGTH = 2048;
    /** Number of lines above which further lines are ignored; no genuine player exceeds it. */
    public static final int MAX_LINES = 256;
    /** The {@code Content-Type} of a batch of reports. */
    public static final String MEDIA_TYPE = "application/cmcd";

    private static final int MAX_ID_LENGTH = 64;
    private static final long MAX_SEQUENCE_NUMBER = 1L << 40;
    private static final Set<String> PLAYER_STATES = Set.of("s", "d", "p", "k", "r", "a", "w", "e", "f", "q");

    /**
     * One report. The first three components are named after the report's keys.
     *
     * @param sid the player's session id
     * @param sn sequence number of the report within the session
     * @param ts time of the report by the player's clock, ms since the epoch
     * @param event the event that caused the report, key {@code e}; {@code rr} for a response received
     * @param state state of the player, key {@code sta}, or null if absent or unknown
     */
    public record Report(String sid, long sn, long ts, String event, String state) {}

    /**
     * The reports of one body.
     *
     * @param reports the valid reports, in order
     * @param ignoredCount number of lines that were ignored
     */
    public record Batch(List<Report> reports, int ignoredCount) {}

    private CmcdReports() {}

    /** Parses a body; empty lines are skipped and not counted. */
    public static Batch parse(String body) {
        List<Report> reports = new ArrayList<>();
        int ignoredCount = 0;
        int lineCount = 0;
        for (String line : body.split("\r?\n", MAX_LINES + 2)) {
            if (line.isBlank()) continue;
            Report report = lineCount++ < MAX_LINES ? parseReport(line) : null;
            if (report == null) ignoredCount++;
            else reports.add(report);
        }
        return new Batch(List.copyOf(reports), ignoredCount);
    }

    private static Report parseReport(String line) {
        if (line.length() > MAX_LINE_LENGTH) return null;
        Map<String, ListElement<? extends Object>> dictionary;
        try {
            dictionary = Parser.parseDictionary(line).get();
        } catch (RuntimeException e) { // ParseException, or another one that odd text causes in the parser
            return null;
        }
        if (!(dictionary.get("v") instanceof IntegerItem version) || version.getAsLong() != 2) return null;
        if (!(dictionary.get("sid") instanceof StringItem sessionId)
                || sessionId.get().isEmpty()
                || sessionId.get().length() > MAX_ID_LENGTH) return null;
        if (!(dictionary.get("sn") instanceof IntegerItem sequenceNumber)
                || sequenceNumber.getAsLong() < 0
                || sequenceNumber.getAsLong() > MAX_SEQUENCE_NUMBER) return null;
        if (!(dictionary.get("ts") instanceof IntegerItem timestamp) || timestamp.getAsLong() < 0) return null;
        String event = dictionary.get("e") instanceof TokenItem token ? token.get() : "rr";
        String state = dictionary.get("sta") instanceof TokenItem token && PLAYER_STATES.contains(token.get())
                ? token.get()
                : null;
        return new Report(sessionId.get(), sequenceNumber.getAsLong(), timestamp.getAsLong(), event, state);
    }
}
