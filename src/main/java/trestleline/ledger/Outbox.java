package trestleline.ledger;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Decides what is exported to billing, and when: one batch at a time, by generation and sequence number, resent until
 * it is acknowledged. The export resumes where billing's copy ends. Nothing is sent of a generation of which billing
 * holds more than this ledger or something else: then this ledger is an old copy, or another process wrote under the
 * same name. Free of I/O and clock.
 */
public class Outbox {
    /**
     * Settings of the export.
     *
     * @param batchSize most entries in a batch
     * @param minBackoffMs upper bound of the pause after the first failure, ms; each further failure doubles it
     * @param maxBackoffMs longest pause after a failure, ms
     * @param maxRequestsPerWindow most requests within {@code windowMs}
     * @param windowMs length of the sliding window that limits requests, ms
     */
    public record Settings(
            int batchSize, double minBackoffMs, double maxBackoffMs, int maxRequestsPerWindow, double windowMs) {}

    /** What the caller is to do next. */
    public sealed interface Step {}

    /** Ask billing how much it holds of each generation of this gateway. */
    public record FetchCursor() implements Step {}

    /**
     * Send a batch of entries.
     *
     * @param generation generation of the entries
     * @param from sequence number of the first entry
     * @param to sequence number after the last entry
     */
    public record SendBatch(String generation, long from, long to) implements Step {}

    /**
     * Do nothing for now.
     *
     * @param until time of the next step, ms; infinite while there is nothing to send or an answer is awaited
     */
    public record Wait(double until) implements Step {}

    /** Why a generation is not exported. */
    public enum ExportBlock {
        /** The generation is exported. */
        NONE,
        /** Billing holds more than this ledger: this is an old copy. */
        STALE,
        /** Billing holds another entry at the same position. */
        FORK,
        /** Billing lacks entries that compaction removed here. */
        LET_GO
    }

    private static final class Chain {
        long localEnd;
        long acknowledgedEnd;
        long compactedEnd;
        ExportBlock block = ExportBlock.NONE;
        boolean asked;
    }

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, Chain> chains = new LinkedHashMap<>();
    private final ArrayDeque<Double> requestTimes = new ArrayDeque<>();
    private boolean cursorKnown;
    private boolean requestInFlight;
    private double waitUntil;
    private int consecutiveFailures;
    private SendBatch batchInFlight;

    /** Creates an outbox without generations; {@code seed} is that of the random jitter of pauses. */
    public Outbox(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
    }

    /** Records that the first {@code count} entries of a generation are durable in the local store. */
    public void recordDurable(String generation, long count) {
        Chain chain = chains.computeIfAbsent(generation, name -> new Chain());
        chain.localEnd = Math.max(chain.localEnd, count);
    }

    /** Records that compaction removed the entries of a generation before sequence number {@code next}. */
    public void recordCompacted(String generation, long next) {
        Chain chain = chains.computeIfAbsent(generation, name -> new Chain());
        chain.compactedEnd = Math.max(chain.compactedEnd, next);
        chain.localEnd = Math.max(chain.localEnd, next);
    }

    /** How many entries billing holds, by generation; 0 for a blocked generation and before the cursor is known. */
    public Map<String, Long> acknowledged() {
        Map<String, Long> counts = new LinkedHashMap<>();
        chains.forEach((generation, chain) ->
                counts.put(generation, chain.block == ExportBlock.NONE && cursorKnown ? chain.acknowledgedEnd : 0L));
        return counts;
    }

    /**
     * The next step at time {@code now}, ms. After any step but {@link Wait} the caller must report the answer by one
     * of the methods below.
     */
    public Step nextStep(double now) {
        if (requestInFlight) return new Wait(Double.POSITIVE_INFINITY);
        if (now < waitUntil) return new Wait(waitUntil);
        while (!requestTimes.isEmpty() && requestTimes.peekFirst() <= now - settings.windowMs())
            requestTimes.removeFirst();
        if (requestTimes.size() >= settings.maxRequestsPerWindow())
            return new Wait(requestTimes.peekFirst() + settings.windowMs());
        if (!cursorKnown) return beginRequest(new FetchCursor(), now);
        for (Map.Entry<String, Chain> generation : chains.entrySet()) {
            Chain chain = generation.getValue();
            if (chain.block != ExportBlock.NONE || chain.acknowledgedEnd >= chain.localEnd) continue;
            batchInFlight = new SendBatch(
                    generation.getKey(),
                    chain.acknowledgedEnd,
                    Math.min(chain.localEnd, chain.acknowledgedEnd + settings.batchSize()));
            return beginRequest(batchInFlight, now);
        }
        return new Wait(Double.POSITIVE_INFINITY);
    }

    private Step beginRequest(Step step, double now) {
        requestInFlight = true;
        requestTimes.addLast(now);
        return step;
    }

    /**
     * Records how many entries billing holds of one generation.
     *
     * @param next sequence number after the last entry that billing holds
     * @param same whether the seal of that last entry is this ledger's at the same position; true where this ledger
     *     does not reach as far
     */
    public void recordCursor(String generation, long next, boolean same) {
        Chain chain = chains.computeIfAbsent(generation, name -> new Chain());
        if (!same) chain.block = ExportBlock.FORK;
        else if (next > chain.localEnd) chain.block = ExportBlock.STALE;
        else chain.acknowledgedEnd = next;
    }

    /** Blocks generations of which billing, restored from an old copy, lacks entries that compaction removed here. */
    private void blockIncompleteChains() {
        for (Chain chain : chains.values())
            if (chain.block == ExportBlock.NONE && chain.acknowledgedEnd < chain.compactedEnd)
                chain.block = ExportBlock.LET_GO;
    }

    /** Ends a {@link FetchCursor} step: billing's answer on all generations has been recorded. */
    public void completeCursors() {
        blockIncompleteChains();
        requestInFlight = false;
        cursorKnown = true;
        consecutiveFailures = 0;
    }

    /**
     * Records an acknowledgement; one for a generation other than that of the batch in flight is ignored. A late
     * acknowledgement of an earlier batch reports less than is known and moves nothing back, so batches need no id
     * beyond their sequence numbers.
     *
     * @param next sequence number after the last entry that billing holds
     * @param same whether the seal of that last entry is this ledger's at the same position
     */
    public void acknowledged(String generation, long next, boolean same) {
        if (batchInFlight == null || !batchInFlight.generation().equals(generation)) return;
        Chain chain = chains.get(generation);
        if (!same) chain.block = ExportBlock.FORK;
        else if (next > chain.localEnd) chain.block = ExportBlock.STALE;
        else if (next >= chain.acknowledgedEnd) chain.acknowledgedEnd = next;
        batchInFlight = null;
        requestInFlight = false;
        consecutiveFailures = 0;
    }

    /**
     * Records that a request got no answer or an unusable one. Billing may have stored the batch all the same: it is
     * sent again unchanged after an exponential backoff with jitter.
     */
    public void recordFailure(double now) {
        requestInFlight = false;
        batchInFlight = null;
        double backoff = Math.min(
                settings.maxBackoffMs(), settings.minBackoffMs() * Math.pow(2, Math.min(30, consecutiveFailures++)));
        waitUntil = now + backoff * (0.5 + 0.5 * random.nextDouble());
    }

    /**
     * Records that billing refused a batch because its copy differs at that position. The cursor is fetched again
     * before anything else is sent.
     */
    public void recordConflict(double now) {
        recordFailure(now);
        cursorKnown = false;
    }

    /** Number of entries not yet acknowledged, of generations that are not blocked. */
    public long pendingEntries() {
        return chains.values().stream()
                .filter(chain -> chain.block == ExportBlock.NONE)
                .mapToLong(chain -> chain.localEnd - chain.acknowledgedEnd)
                .sum();
    }

    /** Generations that are not exported, and why. */
    public Map<String, ExportBlock> blockedGenerations() {
        Map<String, ExportBlock> blocked = new LinkedHashMap<>();
        chains.forEach((generation, chain) -> {
            if (chain.block != ExportBlock.NONE) blocked.put(generation, chain.block);
        });
        return blocked;
    }
}
