package trestleline.simulator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import trestleline.placement.Placement;
import trestleline.placement.PlacementPolicy;
import trestleline.settings.InvalidInputException;
import trestleline.settings.JsonObjectReader;
import trestleline.settings.SettingsReader;

/**
 * Runs the decision modules of all simulated gateways: one {@link PlacementPolicy} per gateway id, driven by batches of
 * messages. Instances share no state but the host lists, which the simulator sends once and refers to by number.
 */
final class SimulatorAdapter {
    private final ObjectMapper mapper = new ObjectMapper();
    private final Map<Integer, PlacementPolicy> instances = new HashMap<>();
    private final Map<Integer, List<Placement.HostEntry>> hostLists = new HashMap<>();

    /**
     * Processes one batch.
     *
     * @param line the batch as JSON
     * @return the reply as JSON: the batch's number and the actions of all instances, in order
     * @throws WireException if the batch is malformed
     */
    String processBatch(String line) {
        JsonNode batch;
        try {
            batch = mapper.readTree(line);
        } catch (JsonProcessingException exception) {
            throw new InvalidInputException("malformed JSON: " + exception.getOriginalMessage());
        }
        JsonObjectReader batchFields = new JsonObjectReader(batch, "batch");
        long batchNumber = batchFields.getLong("n");
        double nowMs = batchFields.getDouble("moment");
        ObjectNode reply = mapper.createObjectNode();
        reply.put("n", batchNumber);
        ArrayNode outbox = reply.putArray("outbox");
        try {
            batchFields.getObjects("arrivals", message -> {
                processMessage(message, nowMs, outbox);
                return message;
            });
        } catch (InvalidInputException exception) {
            throw new InvalidInputException("batch " + batchNumber + ": " + exception.getMessage());
        }
        return reply.toString();
    }

    private void processMessage(JsonObjectReader message, double nowMs, ArrayNode outbox) {
        String messageName = message.getString("what");
        if (messageName.equals("table")) {
            hostLists.put(
                    message.getInt("buffer"), List.copyOf(message.getObjects("nodesList", WireCodec::readHostEntry)));
            return;
        }
        int gateway = message.getInt("gatewayId");
        PlacementPolicy instance = instances.get(gateway);
        switch (messageName) {
            case "hello" -> {
                Placement.Settings settings = SettingsReader.read(message.getObject("facts"));
                long seed = message.getLong("nonce64");
                try {
                    instances.put(gateway, new PlacementPolicy(settings, seed, nowMs));
                } catch (RuntimeException exception) {
                    reportException(gateway, exception, outbox);
                }
            }
            case "kill" -> instances.remove(gateway);
            case "update" -> dispatch(gateway, instance, nowMs, readUpdate(message), outbox);
            default -> dispatch(gateway, instance, nowMs, WireCodec.readEvent(messageName, message), outbox);
        }
    }

    private Placement.HostListUpdate readUpdate(JsonObjectReader message) {
        String mode = message.getString("mode");
        if (mode.equals("broken")) return new Placement.HostListUpdate(mode, List.of(), 0);
        List<Placement.HostEntry> entries = hostLists.get(message.getInt("buffer"));
        if (entries == null)
            throw new InvalidInputException("update: field 'buffer' refers to no host list received before");
        return new Placement.HostListUpdate(mode, entries, message.getLong("rev"));
    }

    private static void dispatch(
            int gateway, PlacementPolicy instance, double nowMs, Placement.Event event, ArrayNode outbox) {
        if (instance == null) return;
        try {
            for (Placement.Action action : instance.handle(nowMs, event))
                outbox.add(WireCodec.writeAction(gateway, action));
        } catch (RuntimeException exception) {
            reportException(gateway, exception, outbox);
        }
    }

    private static void reportException(int gateway, RuntimeException exception, ArrayNode outbox) {
        StackTraceElement topFrame =
                exception.getStackTrace().length > 0 ? exception.getStackTrace()[0] : null;
        outbox.addObject().put("what", "bug").put("gatewayId", gateway).put("text", exception + " at " + topFrame);
    }
}
