package trestleline.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StallGuardTest {
    /** Guards against peers that are taken for silent right after a stall, by a timer that catches up as well. */
    @Test
    void nothingIsJudgedForAnIntervalAfterAStall() {
        var guard = new StallGuard(100, 0);
        assertTrue(guard.mayJudge(100));
        assertTrue(guard.mayJudge(290), "somewhat late is no stall");
        assertFalse(guard.mayJudge(2000));
        for (int i = 0; i < 17; i++) assertFalse(guard.mayJudge(2000.1), "catches up");
        assertFalse(guard.mayJudge(2099));
        assertTrue(guard.mayJudge(2100));
        assertTrue(guard.mayJudge(2200));
    }
}
