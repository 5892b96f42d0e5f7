package trestleline.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import trestleline.http.MemoryBudget.ConnectionState;

class MemoryBudgetTest {
    private static MemoryBudget<String, String> budgetForConnections(int connections) {
        return new MemoryBudget<>(connections * MemoryBudget.CONNECTION_BYTES);
    }

    private static void open(MemoryBudget<String, String> budget, ConnectionState state, String... connections) {
        for (String connection : connections) {
            budget.opened(connection);
            budget.setState(connection, state, 0);
        }
    }

    @Test
    void shedsInTheDocumentedOrder() {
        MemoryBudget<String, String> budget = budgetForConnections(14);
        open(budget, ConnectionState.IDLE, "idle-1", "idle-2");
        open(budget, ConnectionState.HEAD, "head-1", "head-2");
        open(budget, ConnectionState.ACCEPTED, "accepted-1", "accepted-2");
        open(budget, ConnectionState.LONG_HEAD, "long-1", "long-2");
        open(budget, ConnectionState.BUSY, "busy");
        open(budget, ConnectionState.PLAYING, "playing");
        open(budget, ConnectionState.GRANTED, "granted");
        budget.sessionStarted("unfetched");
        open(budget, ConnectionState.ACCEPTED, "accepted-3");
        budget.sessionStarted("fetched");
        budget.mediaRequested("fetched");
        assertNull(budget.shed(0), "the limit is not exceeded");
        for (String expected : new String[] {
            "idle-2",
            "idle-1",
            "long-1",
            "long-2",
            "head-1",
            "head-2",
            "accepted-1",
            "accepted-2",
            "granted",
            "unfetched",
            "accepted-3"
        }) {
            MemoryBudget.ShedTarget<String, String> target = budget.shed(14 * MemoryBudget.CONNECTION_BYTES);
            assertEquals(expected, expected.equals("unfetched") ? target.session() : target.connection());
        }
        assertNull(
                budget.shed(14 * MemoryBudget.CONNECTION_BYTES),
                "requests being handled and playing connections are kept");
        assertEquals(2 * MemoryBudget.CONNECTION_BYTES + MemoryBudget.SESSION_BYTES, budget.usedBytes());
        assertEquals(10, budget.connectionsShedCount());
    }

    /** Guards against heads of very many short fields that are accounted for by their bytes alone. */
    @Test
    void fieldsOfAHeadAreAccountedFor() {
        MemoryBudget<String, String> budget = budgetForConnections(5);
        budget.opened("a");
        budget.headBytesRead("a", 400, 20);
        assertEquals(ConnectionState.HEAD, budget.state("a"));
        budget.headBytesRead("a", 400, 100);
        assertEquals(ConnectionState.LONG_HEAD, budget.state("a"));
        assertEquals(
                MemoryBudget.CONNECTION_BYTES + 800 * MemoryBudget.HEAD_MEMORY_FACTOR + 120 * MemoryBudget.FIELD_BYTES,
                budget.usedBytes());
    }

    @Test
    void headCountsAsLongOnceItsBytesExceedTheThreshold() {
        MemoryBudget<String, String> budget = budgetForConnections(5);
        budget.opened("a");
        budget.headBytesRead("a", MemoryBudget.LONG_HEAD_BYTES, 0);
        assertEquals(ConnectionState.HEAD, budget.state("a"));
        budget.headBytesRead("a", 1, 0);
        assertEquals(ConnectionState.LONG_HEAD, budget.state("a"));
        assertEquals(
                MemoryBudget.CONNECTION_BYTES + (MemoryBudget.LONG_HEAD_BYTES + 1) * MemoryBudget.HEAD_MEMORY_FACTOR,
                budget.usedBytes(),
                "all bytes read are accounted for");
        budget.requestReceived("a");
        assertEquals(
                MemoryBudget.CONNECTION_BYTES
                        + MemoryBudget.REQUEST_BYTES
                        + (MemoryBudget.LONG_HEAD_BYTES + 1) * MemoryBudget.HEAD_MEMORY_FACTOR,
                budget.usedBytes());
    }

    @Test
    void rejectsUnnamedRequestsBeforeNamedOnes() {
        MemoryBudget<String, String> budget = budgetForConnections(4);
        open(budget, ConnectionState.BUSY, "a", "b", "c");
        assertFalse(budget.admits(false, 1));
        assertTrue(budget.admits(true, MemoryBudget.CONNECTION_BYTES));
        assertFalse(budget.admits(true, MemoryBudget.CONNECTION_BYTES + 1));
        budget.closed("a");
        assertTrue(budget.admits(false, 1));
    }

    @Test
    void accountsForTheBytesReadOfAHead() {
        MemoryBudget<String, String> budget = budgetForConnections(4);
        budget.opened("a");
        budget.headBytesRead("a", 100, 0);
        budget.headBytesRead("a", 50, 0);
        assertEquals(MemoryBudget.CONNECTION_BYTES + 150 * MemoryBudget.HEAD_MEMORY_FACTOR, budget.usedBytes());
        budget.requestReceived("a");
        assertEquals(
                MemoryBudget.CONNECTION_BYTES + MemoryBudget.REQUEST_BYTES + 150 * MemoryBudget.HEAD_MEMORY_FACTOR,
                budget.usedBytes());
        budget.headBytesRead("a", 1000, 0);
        assertEquals(ConnectionState.BUSY, budget.state("a"), "pipelined requests are limited by number, not by bytes");
        budget.setState("a", ConnectionState.IDLE, 0);
        budget.sessionStarted("s");
        assertEquals(MemoryBudget.CONNECTION_BYTES + MemoryBudget.SESSION_BYTES, budget.usedBytes());
        budget.sessionEnded("s");
        budget.closed("a");
        budget.closed("a");
        assertEquals(0, budget.usedBytes());
    }

    @Property(tries = 300)
    void keepsTheLimitWhileAnythingCanBeShedAndFreesAllBytes(@ForAll long seed) {
        var random = new Random(seed);
        MemoryBudget<Integer, Integer> budget = new MemoryBudget<>(20 * MemoryBudget.CONNECTION_BYTES);
        Map<Integer, ConnectionState> open = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            int connection = random.nextInt(60);
            switch (random.nextInt(4)) {
                case 0 -> {
                    if (!open.containsKey(connection)) {
                        budget.opened(connection);
                        open.put(connection, ConnectionState.ACCEPTED);
                    }
                }
                case 1 -> {
                    budget.closed(connection);
                    open.remove(connection);
                }
                case 2 -> budget.headBytesRead(connection, random.nextInt(2000), random.nextInt(500));
                default -> {
                    ConnectionState state = ConnectionState.values()[random.nextInt(ConnectionState.values().length)];
                    budget.setState(connection, state, random.nextInt(5000));
                }
            }
            for (var target = budget.shed(0); target != null; target = budget.shed(0)) open.remove(target.connection());
            boolean canShed = false;
            for (int openConnection : open.keySet()) {
                ConnectionState state = budget.state(openConnection);
                canShed |= state != ConnectionState.BUSY && state != ConnectionState.PLAYING;
            }
            assertTrue(budget.usedBytes() <= budget.limitBytes() || !canShed, "seed " + seed);
        }
        open.keySet().forEach(budget::closed);
        assertEquals(0, budget.usedBytes(), "seed " + seed);
    }
}
