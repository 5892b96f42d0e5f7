package trestleline.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import trestleline.placement.State.Session;

/** Compares the packings with a search of all choices, and with a plain dynamic programme where there are too many. */
class RungPackingTest {
    private static final int[] UNITS_BY_RUNG = {2, 4, 7};

    private static Session session(long req) {
        return new Session(Scenario.requestFor(req, "safe", 2), 0, 0, 1);
    }

    /** Payoffs by rung of each session, rising. */
    private static double[][] payoffs(SplittableRandom random, int sessions) {
        double[][] payoffs = new double[sessions][UNITS_BY_RUNG.length];
        for (double[] byRung : payoffs) {
            for (int rung = 0; rung < byRung.length; rung++)
                byRung[rung] = (rung == 0 ? 0 : byRung[rung - 1]) + 0.1 + random.nextInt(100);
        }
        return payoffs;
    }

    private static RungPacking leaf(Session session, double[] payoffByRung) {
        double[] value = new double[UNITS_BY_RUNG[UNITS_BY_RUNG.length - 1] + 1];
        int[] rungs = new int[value.length];
        Arrays.fill(value, Double.NEGATIVE_INFINITY);
        for (int rung = 0; rung < payoffByRung.length; rung++) {
            for (int units = UNITS_BY_RUNG[rung]; units < value.length; units++) {
                value[units] = payoffByRung[rung];
                rungs[units] = rung;
            }
        }
        return RungPacking.ofSession(session, value, rungs);
    }

    /** The plan's payoff; checks that each session has a rung and that all fit into the larger of limit and minimum. */
    private static double payoffOfPlan(double[][] payoffs, int limit) {
        List<Session> sessions = new ArrayList<>();
        List<RungPacking> packings = new ArrayList<>();
        for (int i = 0; i < payoffs.length; i++) {
            sessions.add(session(i + 1));
            packings.add(leaf(sessions.get(i), payoffs[i]));
        }
        RungPacking packed = RungPacking.packAll(packings, limit);
        Map<Session, Integer> plan = new LinkedHashMap<>();
        packed.assign(packed.maximum(), plan);
        double payoff = 0;
        int units = 0;
        for (int i = 0; i < payoffs.length; i++) {
            int rung = plan.get(sessions.get(i));
            payoff += payoffs[i][rung];
            units += UNITS_BY_RUNG[rung];
        }
        assertTrue(units <= Math.max(limit, payoffs.length * UNITS_BY_RUNG[0]), units + " units, limit " + limit);
        return payoff;
    }

    /** The best payoff within a limit by a plain table over all amounts. */
    private static double bestPayoff(double[][] payoffs, int limit) {
        int room = Math.max(limit, payoffs.length * UNITS_BY_RUNG[0]);
        double[] best = new double[room + 1];
        for (double[] byRung : payoffs) {
            double[] next = new double[room + 1];
            Arrays.fill(next, Double.NEGATIVE_INFINITY);
            for (int units = 0; units <= room; units++) {
                for (int rung = 0; rung < byRung.length; rung++) {
                    if (units >= UNITS_BY_RUNG[rung])
                        next[units] = Math.max(next[units], best[units - UNITS_BY_RUNG[rung]] + byRung[rung]);
                }
            }
            best = next;
        }
        return best[room];
    }

    /** Guards against a plan that is worse than need be, also where sessions are combined group by group. */
    @Test
    void plansAreTheBestWithinTheLimit() {
        var random = new SplittableRandom(11);
        for (int sessions : new int[] {1, 3, 20, 64, 65, 200}) {
            double[][] payoffs = payoffs(random, sessions);
            for (int limit : new int[] {0, 2 * sessions, 3 * sessions, 5 * sessions, 7 * sessions, 9 * sessions}) {
                assertEquals(
                        bestPayoff(payoffs, limit),
                        payoffOfPlan(payoffs, limit),
                        1e-6,
                        sessions + " sessions, limit " + limit);
            }
        }
    }
}
