package trestleline.simulator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import trestleline.placement.Placement;
import trestleline.settings.InvalidInputException;
import trestleline.settings.JsonObjectReader;

/** Converts messages of the simulator's wire format to the records of {@link Placement}, and actions to messages. */
final class WireCodec {
    private WireCodec() {}

    /** Reads one entry of a host list. */
    static Placement.HostEntry readHostEntry(JsonObjectReader fields) {
        return new Placement.HostEntry(
                fields.getString("host"),
                fields.getString("status"),
                fields.getString("type"),
                fields.getDouble("since", 0),
                fields.getString("zone"),
                fields.getDouble("weight", 1),
                fields.getInt("slotNo"));
    }

    private static Placement.SessionRequest readSessionRequest(JsonObjectReader fields) {
        int attributes = fields.getInt("attrs", 0);
        return new Placement.SessionRequest(
                fields.getLong("req"),
                fields.getString("service"),
                fields.getString("org", ""),
                fields.getLong("key"),
                fields.getLong("asset"),
                fields.getDouble("ttl"),
                (attributes & 1) != 0 ? fields.getDouble("cost") : Double.NaN,
                fields.getInt("home"),
                fields.getInt("holders"),
                fields.getInt("ceilingRung"),
                attributes);
    }

    /**
     * Reads an event for one instance. The messages {@code hello}, {@code kill}, {@code table} and {@code update} are
     * handled by the caller.
     *
     * @throws WireException if the message is unknown or malformed
     */
    static Placement.Event readEvent(String messageName, JsonObjectReader fields) {
        return switch (messageName) {
            case "newRequest" -> new Placement.NewRequest(readSessionRequest(fields));
            case "alreadyOpen" -> new Placement.SessionResumed(readSessionRequest(fields), fields.getString("host"));
            case "headReceived" ->
                new Placement.SessionStarted(
                        fields.getLong("req"),
                        fields.getInt("shot"),
                        fields.getString("host"),
                        fields.getDouble("waitTime"));
            case "result" ->
                new Placement.AttemptEnded(
                        fields.getLong("req"),
                        fields.getInt("shot"),
                        fields.getString("host"),
                        fields.getDouble("waitTime"),
                        fields.getBoolean("over"),
                        fields.getString("code"),
                        fields.getNumberMap("serverStats"));
            case "cancelledByClient" -> new Placement.ViewerLeft(fields.getLong("req"));
            case "statusBack" ->
                new Placement.ProbeResult(
                        fields.getString("host"),
                        fields.getString("code"),
                        fields.getDouble("waitTime"),
                        fields.getNumberMap("serverStats"));
            case "updateOf" ->
                new Placement.HostNotice(
                        fields.getLong("req"),
                        fields.getInt("shot"),
                        fields.getString("host"),
                        fields.getInt("sort"),
                        fields.getDouble("value"));
            case "whisper" -> new Placement.PeerMessage(fields.getInt("sender"), fields.getString("content"));
            case "due" -> new Placement.TimerFired(fields.getString("tag"));
            default -> throw new InvalidInputException("unknown message '" + messageName + "'");
        };
    }

    /** Writes an action of a gateway's instance as a message. */
    static ObjectNode writeAction(int gateway, Placement.Action action) {
        ObjectNode message = JsonNodeFactory.instance.objectNode();
        if (action instanceof Placement.StartAttempt start) {
            writeHeader(message, "transmit", gateway)
                    .put("req", start.req())
                    .put("host", start.host())
                    .put("expireAt", start.expiresAt());
        } else if (action instanceof Placement.ProbeHost probe) {
            writeHeader(message, "check", gateway).put("host", probe.host());
        } else if (action instanceof Placement.Refuse refusal) {
            writeHeader(message, "notNow", gateway).put("req", refusal.req()).put("comeBack", refusal.retryAfter());
        } else if (action instanceof Placement.Fail failure) {
            writeHeader(message, "fail", gateway).put("req", failure.req());
        } else if (action instanceof Placement.Evict eviction) {
            writeHeader(message, "evict", gateway).put("req", eviction.req());
        } else if (action instanceof Placement.RefreshHostList) {
            writeHeader(message, "refresh", gateway);
        } else if (action instanceof Placement.Subscribe subscription) {
            writeHeader(message, "listen", gateway).put("want", subscription.enabled());
        } else if (action instanceof Placement.CancelAttempt cancel) {
            writeHeader(message, "cancel", gateway).put("req", cancel.req()).put("shot", cancel.attemptIndex());
        } else if (action instanceof Placement.SetRung change) {
            writeHeader(message, "rate", gateway).put("req", change.req()).put("rung", change.rung());
        } else if (action instanceof Placement.CloseIdleConnections close) {
            writeHeader(message, "hangUp", gateway).put("host", close.host());
        } else if (action instanceof Placement.StartTimer timer) {
            writeHeader(message, "sleep", gateway).put("in", timer.delay()).put("tag", timer.tag());
        } else if (action instanceof Placement.Trace trace) {
            writeHeader(message, "trace", gateway).put("text", trace.text());
        }
        return message;
    }

    private static ObjectNode writeHeader(ObjectNode message, String messageName, int gateway) {
        return message.put("what", messageName).put("gatewayId", gateway);
    }
}
