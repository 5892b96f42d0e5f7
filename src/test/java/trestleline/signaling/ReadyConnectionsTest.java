package trestleline.signaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Turns of connections in simulated time: every message takes the same time to process. */
class ReadyConnectionsTest {
    private double nowMs;
    private final Map<String, Integer> unprocessed = new HashMap<>();
    private final List<String> processed = new ArrayList<>();

    private ReadyConnections<String> connections(double messageMs) {
        return new ReadyConnections<>(() -> nowMs, (connection, messages) -> {
            int count = Math.min(messages, unprocessed.get(connection));
            for (int i = 0; i < count; i++) {
                nowMs += messageMs;
                processed.add(connection);
            }
            return unprocessed.merge(connection, -count, Integer::sum) > 0;
        });
    }

    /** Guards against connections with very much to process that keep the others waiting. */
    @Test
    void oneMessageWaitsForOneTurnOfEachOtherConnection() {
        ReadyConnections<String> ready = connections(0.01);
        for (int i = 0; i < 100; i++) {
            unprocessed.put("flood" + i, 100_000);
            ready.add("flood" + i);
        }
        ready.runPass();
        unprocessed.put("usual", 1);
        ready.add("usual");
        int before = processed.size();
        while (unprocessed.get("usual") > 0) ready.runPass();
        assertTrue(processed.indexOf("usual") - before <= 300, "waited for " + (processed.indexOf("usual") - before));
    }

    /** Guards against passes so long that the event loop is late for its timers and its other sockets. */
    @Test
    void passEndsInTimeAndTheNextOneGoesOnWhereItEnded() {
        ReadyConnections<String> ready = connections(5);
        for (int i = 0; i < 10; i++) {
            unprocessed.put("c" + i, 2);
            ready.add("c" + i);
            ready.add("c" + i); // counts once
        }
        int passes = 0;
        while (!ready.isEmpty()) {
            double startedAt = nowMs;
            ready.runPass();
            passes++;
            assertTrue(nowMs - startedAt <= ReadyConnections.MAX_PASS_MS + 2 * 5 + 1, "pass of " + (nowMs - startedAt));
        }
        assertTrue(passes > 1);
        assertEquals(20, processed.size());
        for (int i = 0; i < 10; i++) assertEquals("c" + i, processed.get(2 * i));
    }
}
