package trestleline.placement;

import java.util.ArrayDeque;

/**
 * How many retries one gateway may send: a fixed number in a sliding window and a share of the requests that came in
 * it. Times are milliseconds.
 *
 * <p>Requests and retries are counted by slots of a thousandth of the window, so that memory doesn't depend on their
 * rate. A slot of requests counts no longer than its earliest request could, and a slot of retries no shorter than its
 * latest, so the budget is never wider than the rules allow.
 */
final class RetryBudget {
    /** Slots that a window is divided into. */
    static final int SLOTS_PER_WINDOW = 1000;

    private final Placement.Rules rules;
    private final SlidingCount requests;
    private final SlidingCount retries;

    RetryBudget(Placement.Rules rules) {
        this.rules = rules;
        double slotMs = rules.retryWindow() / SLOTS_PER_WINDOW;
        requests = new SlidingCount(slotMs, rules.retryWindow());
        retries = new SlidingCount(slotMs, rules.retryWindow() + slotMs);
    }

    void recordRequest(double now) {
        if (isLimited()) requests.add(now);
    }

    void recordRetry(double now) {
        if (isLimited()) retries.add(now);
    }

    /** Whether one more retry stays within the budget. */
    boolean allowsRetry(double now) {
        return !isLimited() || retries.count(now) + 1 <= rules.freeRetries() + rules.retryShare() * requests.count(now);
    }

    /** Number of slots held. */
    int size() {
        return requests.slots.size() + retries.slots.size();
    }

    private boolean isLimited() {
        return rules.retryWindow() > 0;
    }

    /** Number of events of a sliding window, by slots. */
    private static final class SlidingCount {
        private final double slotMs;
        private final double retentionMs;
        private final ArrayDeque<Slot> slots = new ArrayDeque<>();
        private long total;

        SlidingCount(double slotMs, double retentionMs) {
            this.slotMs = slotMs;
            this.retentionMs = retentionMs;
        }

        void add(double now) {
            removeExpired(now);
            double startMs = Math.floor(now / slotMs) * slotMs;
            if (slots.isEmpty() || slots.peekLast().startMs < startMs) slots.addLast(new Slot(startMs));
            slots.peekLast().events++;
            total++;
        }

        long count(double now) {
            removeExpired(now);
            return total;
        }

        private void removeExpired(double now) {
            while (!slots.isEmpty() && slots.peekFirst().startMs <= now - retentionMs) {
                total -= slots.removeFirst().events;
            }
        }
    }

    /** Events that came from {@code startMs} on, before the next slot begins. */
    private static final class Slot {
        final double startMs;
        long events;

        Slot(double startMs) {
            this.startMs = startMs;
        }
    }
}
