package trestleline.signaling;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RecentIdsTest {
    @Test
    void idsAreRememberedForTheRetentionAndForgottenAfterTwice() {
        var ids = new RecentIds();
        double start = 1_000_000;
        for (double offset : new double[] {0, 1, RecentIds.RETENTION_MS - 1, RecentIds.RETENTION_MS}) {
            ids.add((long) offset, start + offset);
            assertTrue(ids.contains((long) offset, start + offset + RecentIds.RETENTION_MS - 1), "id " + offset);
            assertFalse(ids.contains(-1, start + offset));
        }
        assertFalse(ids.contains(1, start + 4 * RecentIds.RETENTION_MS));
        assertFalse(ids.contains((long) RecentIds.RETENTION_MS, start + 10 * RecentIds.RETENTION_MS));
    }

    /** Guards against a flood of ids that grows without end, or that pushes out what came just before it. */
    @Test
    void floodIsBoundedAndTheLatestAreKept() {
        var ids = new RecentIds();
        int count = 10 * RecentIds.MAX_IDS;
        for (int id = 0; id < count; id++) ids.add(id, 5);
        assertTrue(ids.contains(count - 1, 5));
        assertTrue(ids.contains(count - RecentIds.MAX_IDS, 5));
        assertFalse(ids.contains(count - 3 * RecentIds.MAX_IDS, 5));
    }
}
