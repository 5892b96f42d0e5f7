package trestleline.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import trestleline.placement.State.Session;

/**
 * The best rungs of some sessions for every amount of bandwidth up to a limit: a leaf for one session, or the
 * combination of two packings. Amounts are counted in knapsack units, from the smallest amount that has a value on.
 *
 * <p>What a combination keeps is its choices alone, two bytes for each amount that leaves something to choose; the
 * values are dropped as soon as the next combination has been computed from them.
 */
final class RungPacking {
    /** Most units that a choice can hold. */
    private static final int MAX_UNITS = Character.MAX_VALUE;
    /**
     * Most packings that are combined one after the other: each step keeps choices for all amounts so far, so that
     * memory would grow with the square of the number of sessions at one host. More are combined group by group.
     */
    private static final int GROUP_SIZE = 64;

    /** The smallest amount that has a value, units. */
    private final int minimum;
    /**
     * By amount above the minimum: the rung of a leaf's session, or the units that {@link #second} gets above its own.
     */
    private final char[] choice;
    /** Session of a leaf, or null. */
    private final Session session;
    /** Parts of a combination, or null. */
    private final RungPacking first;

    private final RungPacking second;
    /** Highest payoff by amount above the minimum; null once it is combined with others. */
    private double[] value;
    /** Number of amounts that are told apart. */
    private final int size;

    private RungPacking(
            int minimum, double[] value, char[] choice, Session session, RungPacking first, RungPacking second) {
        this.minimum = minimum;
        this.value = value;
        this.choice = choice;
        this.session = session;
        this.first = first;
        this.second = second;
        size = value.length;
    }

    private static RungPacking empty() {
        return new RungPacking(0, new double[1], null, null, null, null);
    }

    /**
     * Creates the packing of one session from its payoffs.
     *
     * @param value payoff by amount, negative infinity for amounts below what the session needs at least
     * @param rungs rung of the session by amount
     */
    static RungPacking ofSession(Session session, double[] value, int[] rungs) {
        int minimum = 0;
        while (value[minimum] == Double.NEGATIVE_INFINITY) minimum++;
        char[] choice = new char[value.length - minimum];
        for (int i = 0; i < choice.length; i++) choice[i] = (char) rungs[minimum + i];
        return new RungPacking(minimum, Arrays.copyOfRange(value, minimum, value.length), choice, session, null, null);
    }

    /** The largest number of units that this packing can use. */
    int maximum() {
        return minimum + size - 1;
    }

    /** The largest number of units that some packings can use together. */
    static double totalUnits(List<RungPacking> packings) {
        double total = 0;
        for (RungPacking packing : packings) total += packing.maximum();
        return total;
    }

    /**
     * Combines packings into one, up to a limit in units but never below their smallest need. A re-pack once blocked a
     * gateway on part of a core for 400 ms, and set-ups timed out at hosts that had answered. So each combination is
     * restricted to what the limit leaves, to amounts that gain anything, and to parts at which the value rises.
     */
    static RungPacking packAll(List<RungPacking> packings, double limit) {
        if (packings.size() <= GROUP_SIZE) return packInOrder(packings, limit);
        double minimum = totalMinimum(packings);
        List<RungPacking> groups = new ArrayList<>();
        for (int start = 0; start < packings.size(); start += GROUP_SIZE) {
            List<RungPacking> group = packings.subList(start, Math.min(start + GROUP_SIZE, packings.size()));
            groups.add(packInOrder(group, limit - (minimum - totalMinimum(group))));
        }
        return packAll(groups, limit);
    }

    private static double totalMinimum(List<RungPacking> packings) {
        double minimum = 0;
        for (RungPacking packing : packings) minimum += packing.minimum;
        return minimum;
    }

    private static RungPacking packInOrder(List<RungPacking> packings, double limit) {
        double remainingMinimum = totalMinimum(packings);
        RungPacking combined = empty();
        for (RungPacking packing : packings) {
            remainingMinimum -= packing.minimum;
            RungPacking next = combine(combined, packing, limit - remainingMinimum);
            combined.value = null;
            packing.value = null;
            combined = next;
        }
        return combined;
    }

    /** Combines two packings, up to a limit in units but never below what both need at least. */
    private static RungPacking combine(RungPacking first, RungPacking second, double limit) {
        int minimum = first.minimum + second.minimum;
        double room = Math.min(Math.min(limit - minimum, first.size + second.size - 2.0), MAX_UNITS);
        double[] value = new double[(int) Math.max(0, room) + 1];
        char[] secondUnits = new char[value.length];
        Arrays.fill(value, Double.NEGATIVE_INFINITY);
        for (int part = 0; part < Math.min(second.size, value.length); part++) {
            double partValue = second.value[part];
            if (part > 0 && partValue <= second.value[part - 1]) continue;
            int end = Math.min(value.length, first.size + part);
            for (int units = part; units < end; units++) {
                double sum = first.value[units - part] + partValue;
                if (sum <= value[units]) continue;
                value[units] = sum;
                secondUnits[units] = (char) part;
            }
        }
        // An amount at which no better combination ends takes that of the next smaller amount.
        int last = 0;
        for (int units = 1; units < value.length; units++) {
            if (value[units] > value[last]) {
                last = units;
            } else {
                value[units] = value[last];
                secondUnits[units] = secondUnits[last];
            }
        }
        return new RungPacking(
                minimum, Arrays.copyOf(value, last + 1), Arrays.copyOf(secondUnits, last + 1), null, first, second);
    }

    /**
     * Adds the best rungs within a budget (units) to {@code plan}. It loops along the chain of first packings, as
     * recursion over thousands of sessions overflows the stack.
     */
    void assign(int budget, Map<Session, Integer> plan) {
        ArrayDeque<Runnable> pending = new ArrayDeque<>();
        RungPacking packing = this;
        int units = budget - minimum;
        for (; packing.second != null; packing = packing.first) {
            units = Math.max(0, Math.min(units, packing.size - 1)); // more gains nothing
            int secondUnits = packing.choice[units];
            RungPacking second = packing.second;
            pending.push(() -> second.assign(second.minimum + secondUnits, plan));
            units -= secondUnits;
        }
        if (packing.session != null) {
            plan.put(packing.session, (int) packing.choice[Math.max(0, Math.min(units, packing.size - 1))]);
        }
        pending.forEach(Runnable::run);
    }
}
