package trestleline.signaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SetUpMemoryTest {
    private static final int SET_UP_BYTES = 10_000;

    /** Guards against a limit that counts each connection alone, and against one that a few connections use up. */
    @Test
    void totalIsLimitedAndEachConnectionKeepsItsShare() {
        var memory = new SetUpMemory();
        List<SetUpMemory.Account> floods = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            var account = new SetUpMemory.Account();
            floods.add(account);
            while (memory.tryReserve(account, SET_UP_BYTES))
                assertTrue(account.bytes() <= SetUpMemory.MAX_CONNECTION_BYTES);
        }
        assertTrue(memory.totalBytes() <= SetUpMemory.MAX_TOTAL_BYTES + 100L * SET_UP_BYTES, "" + memory.totalBytes());
        var usual = new SetUpMemory.Account();
        assertTrue(memory.tryReserve(usual, SET_UP_BYTES), "one set-up is admitted whatever its size");
        assertFalse(memory.tryReserve(usual, SET_UP_BYTES));
        memory.release(usual, SET_UP_BYTES);
        for (int i = 0; i < 3; i++) assertTrue(memory.tryReserve(usual, 2600), "small ones up to the share");
        assertFalse(memory.tryReserve(usual, 2600));
        for (SetUpMemory.Account account : floods) memory.release(account, (int) account.bytes());
        memory.release(usual, 3 * 2600);
        assertEquals(0, memory.totalBytes());
    }
}
