package trestleline.feed;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import trestleline.discovery.ListedHost;

/**
 * Parser for the lines of the control feed. Events are numbered from 1 without gaps; each is accepted once and in
 * order. A line that holds only a number states the number of the latest event. Performs no I/O.
 */
public final class FeedParser {
    /**
     * The change of one event.
     *
     * @param mode {@code whole} or {@code patch}, as the placement module takes it
     * @param eventNumber number of the event
     * @param errors one message for each host that was left out, with its index and field
     */
    public record Change(String mode, List<ListedHost> hosts, long eventNumber, List<String> errors) {}

    /** Classification of a line. */
    public enum LineType {
        /** The next event in order. */
        CHANGE,
        /** A number that shows that no event was missed. */
        UP_TO_DATE,
        /** An event that was accepted before. */
        DUPLICATE,
        /** An event or a number that shows that events are missing. */
        GAP
    }

    /** A parsed line; {@code change} is null unless {@code type} is {@link LineType#CHANGE}. */
    public record Line(LineType type, Change change) {}

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Map<String, String> STATUS_BY_FEED_NAME =
            Map.of("up", "Running", "draining", "Stopping", "removed", "Deleted");
    private long lastEventNumber;

    /** The number of the last accepted event; 0 if there is none. */
    public long lastEventNumber() {
        return lastEventNumber;
    }

    /**
     * Reads the events known at the start, {@code {"n":LAST,"events":[...]}}, and continues numbering after them.
     *
     * @throws IllegalArgumentException if a field or a host is invalid; the message names its place
     */
    public List<Change> readInitialEvents(JsonNode initial) {
        if (!initial.path("n").isIntegralNumber())
            throw new IllegalArgumentException("field 'known.n' is not an integer");
        if (!initial.path("events").isArray())
            throw new IllegalArgumentException("field 'known.events' is not an array");
        List<Change> changes = new ArrayList<>();
        int index = 0;
        for (JsonNode event : initial.path("events")) {
            try {
                Change change = parseChange(event);
                if (!change.errors().isEmpty())
                    throw new IllegalArgumentException(change.errors().get(0));
                lastEventNumber = change.eventNumber();
                changes.add(change);
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException("known.events[" + index + "]: " + e.getMessage(), e);
            }
            index++;
        }
        lastEventNumber = Math.max(lastEventNumber, initial.path("n").longValue());
        return changes;
    }

    /** Applies events in order and returns the resulting list as one whole change, without deleted hosts. */
    public static Change merge(List<Change> events) {
        Map<String, ListedHost> hosts = new LinkedHashMap<>();
        long eventNumber = 0;
        for (Change change : events) {
            eventNumber = change.eventNumber();
            if (change.mode().equals("whole")) hosts.clear();
            for (ListedHost listed : change.hosts()) {
                if (listed.entry().status().equals("Deleted"))
                    hosts.remove(listed.entry().host());
                else hosts.put(listed.entry().host(), listed);
            }
        }
        return new Change("whole", List.copyOf(hosts.values()), eventNumber, List.of());
    }

    /**
     * Parses one complete line and, if it is the next event, accepts it.
     *
     * @throws IllegalArgumentException if the line is not JSON or lacks a field
     */
    public Line parseLine(String text) {
        String line = text.trim();
        if (line.matches("[0-9]{1,18}")) {
            return new Line(Long.parseLong(line) > lastEventNumber ? LineType.GAP : LineType.UP_TO_DATE, null);
        }
        JsonNode event;
        try {
            event = MAPPER.readTree(line);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON: " + e.getOriginalMessage(), e);
        }
        if (event != null && event.path("n").isIntegralNumber() && !event.has("members")) {
            return new Line(event.path("n").longValue() > lastEventNumber ? LineType.GAP : LineType.UP_TO_DATE, null);
        }
        Change change = parseChange(event);
        if (change.eventNumber() <= lastEventNumber) return new Line(LineType.DUPLICATE, null);
        if (change.eventNumber() > lastEventNumber + 1) return new Line(LineType.GAP, null);
        lastEventNumber = change.eventNumber();
        return new Line(LineType.CHANGE, change);
    }

    private static Change parseChange(JsonNode event) {
        if (event == null || !event.path("n").isIntegralNumber())
            throw new IllegalArgumentException("field 'n' is not an integer");
        JsonNode members = event.path("members");
        if (!members.path("endpoints").isArray())
            throw new IllegalArgumentException("field 'members.endpoints' is not an array");
        List<ListedHost> hosts = new ArrayList<>();
        List<String> errors = new ArrayList<>();
        int index = 0;
        for (JsonNode host : members.path("endpoints")) {
            try {
                String status = host.path("status").asText();
                hosts.add(ListedHost.of(
                        host.path("name").asText(),
                        STATUS_BY_FEED_NAME.getOrDefault(status, status),
                        host.path("address").asText(),
                        host.path("type").asText(),
                        host.path("since_ms").asDouble(0),
                        host.path("zone").asText(),
                        host.path("weight").asDouble(1),
                        host.path("group").asInt()));
            } catch (IllegalArgumentException e) { // an invalid host does not affect the others
                errors.add("members.endpoints[" + index + "]." + e.getMessage());
            }
            index++;
        }
        return new Change(
                members.path("snapshot").asBoolean() ? "whole" : "patch",
                hosts,
                event.path("n").longValue(),
                errors);
    }
}
