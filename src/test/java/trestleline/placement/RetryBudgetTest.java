package trestleline.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests the retry budget against the rule counted request by request, and the memory that it takes. */
class RetryBudgetTest {
    private static final double WINDOW_MS = 10_000;
    private static final double SLOT_MS = WINDOW_MS / RetryBudget.SLOTS_PER_WINDOW;

    private static Scenario scenario(double windowMs) {
        Scenario scenario = Scenario.withDefaults();
        scenario.retryWindowMs = windowMs;
        scenario.freeRetries = 1;
        scenario.retryShare = 0.2;
        return scenario;
    }

    /** Number of times that lie in the window, with each counted {@code longerMs} longer. */
    private static long inWindow(List<Double> times, double now, double longerMs) {
        return times.stream().filter(time -> time > now - WINDOW_MS - longerMs).count();
    }

    @Property(tries = 100)
    void isNeverWiderThanTheRuleNorNarrowerByMoreThanASlot(@ForAll long seed) {
        var random = new SplittableRandom(seed);
        var budget = new RetryBudget(scenario(WINDOW_MS).settings().rules());
        List<Double> requests = new ArrayList<>();
        List<Double> retries = new ArrayList<>();
        double now = 1_000_000 + random.nextDouble() * 1000;
        for (int i = 0; i < 400; i++) {
            now += random.nextDouble() * (random.nextInt(20) == 0 ? 4000 : 60);
            if (random.nextInt(3) > 0) {
                budget.recordRequest(now);
                requests.add(now);
                continue;
            }
            boolean allowed = budget.allowsRetry(now);
            boolean within = inWindow(retries, now, 0) + 1 <= 1 + 0.2 * inWindow(requests, now, 0);
            boolean wellWithin = inWindow(retries, now, 2 * SLOT_MS) + 1 <= 1 + 0.2 * inWindow(requests, now, -SLOT_MS);
            assertTrue(within || !allowed, "a retry beyond the budget at " + now + ", seed " + seed);
            assertTrue(allowed || !wellWithin, "no retry within the budget at " + now + ", seed " + seed);
            if (!allowed) continue;
            budget.recordRetry(now);
            retries.add(now);
        }
    }

    @Test
    void memoryDoesNotDependOnTheRate() {
        var budget = new RetryBudget(scenario(WINDOW_MS).settings().rules());
        for (int i = 0; i < 300_000; i++) {
            budget.recordRequest(1_000_000 + i * 0.1);
            budget.recordRetry(1_000_000 + i * 0.1);
        }
        assertTrue(budget.size() <= 2 * (RetryBudget.SLOTS_PER_WINDOW + 2), budget.size() + " slots");
        assertFalse(budget.allowsRetry(1_030_000));
    }

    @Test
    void nothingIsCountedWithoutALimit() {
        var budget = new RetryBudget(scenario(0).settings().rules());
        for (int i = 0; i < 10; i++) {
            assertTrue(budget.allowsRetry(i));
            budget.recordRequest(i);
            budget.recordRetry(i);
        }
        assertEquals(0, budget.size());
    }
}
