package trestleline.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * State of a gateway's paid attempts, and the entries that their changes produce: whether a paid set-up may be sent,
 * how long a host is queried about one of unknown outcome, and when an accounting period closes. The caller must store
 * the returned entries in their order. Free of I/O, clock and threads. Memory: one item for each unsettled attempt, and
 * the totals of periods not yet closed.
 */
public final class AttemptLedger {
    /**
     * Settings of the ledger.
     *
     * @param periodMs length of an accounting period, ms
     * @param latenessMs time after a period's end before the period may close, ms
     * @param maxBacklog number of entries not yet durable from which on paid set-ups are refused
     * @param maxStoreDelayMs age of the oldest entry not yet durable above which paid set-ups are refused, ms
     * @param minQueryDelayMs pause before the first receipt query, ms; it doubles from query to query
     * @param maxQueryDelayMs longest pause between receipt queries, ms
     * @param queryTimeoutMs how long a host is queried about an attempt of unknown outcome, ms
     * @param maxUnsettled number of unsettled attempts from which on paid set-ups are refused
     */
    public record Settings(
            double periodMs,
            double latenessMs,
            int maxBacklog,
            double maxStoreDelayMs,
            double minQueryDelayMs,
            double maxQueryDelayMs,
            double queryTimeoutMs,
            int maxUnsettled) {}

    /**
     * A paid set-up attempt.
     *
     * @param attempt id of the attempt
     * @param tenant tenant that is billed
     * @param service service class of the request
     * @param title number of the requested title
     * @param viewer number of the viewer
     * @param host name of the media host
     */
    public record PaidAttempt(String attempt, String tenant, String service, long title, long viewer, String host) {}

    /** Whether the first byte of a paid set-up may be written. */
    public enum WriteDecision {
        /** Its intent is durable: write. */
        WRITE,
        /** Its intent is not durable yet: ask again. */
        WAIT,
        /** The set-up must not be written. */
        DROP
    }

    private enum State {
        INTENDED,
        DURABLE,
        WRITTEN,
        UNKNOWN,
        ABANDONED
    }

    private static final class Unsettled {
        final PaidAttempt paid;
        final String intentPosition;
        final long eventAt;
        final long period;
        long intentSeq;
        State state = State.INTENDED;
        double unknownSince;
        double nextQueryAt;
        double queryDelay;

        Unsettled(PaidAttempt paid, String intentPosition, long intentSeq, long eventAt, long period) {
            this.paid = paid;
            this.intentPosition = intentPosition;
            this.intentSeq = intentSeq;
            this.eventAt = eventAt;
            this.period = period;
        }
    }

    private final String gateway;
    private final String generation;
    private final Settings settings;
    private final Map<String, Unsettled> unsettledByAttempt = new LinkedHashMap<>();
    private final TreeMap<Long, Map<String, Integer>> totalsByPeriod = new TreeMap<>();
    /** Time at which each entry not yet durable was produced, ms, by sequence number. */
    private final TreeMap<Long, Double> pendingSince = new TreeMap<>();

    private long nextSeq;
    private long durableSeq = -1;
    private long lastClosedPeriod = Long.MIN_VALUE;
    private boolean storeFailing;
    private long refusedIntents;

    /** Creates an empty ledger for a new generation of a gateway. */
    public AttemptLedger(String gateway, String generation, Settings settings) {
        this.gateway = gateway;
        this.generation = generation;
        this.settings = settings;
    }

    // Recovery

    /**
     * Replays one stored entry of an earlier generation; entries must come in the order stored. An intent without an
     * outcome becomes an attempt of unknown outcome, since the process that knew whether it was sent has ended.
     */
    public void recover(Entry entry) {
        switch (entry.kind()) {
            case INTENT -> {
                var item = new Unsettled(paidAttempt(entry), entry.position(), -1, entry.eventAt(), entry.period());
                item.state = State.UNKNOWN;
                unsettledByAttempt.put(entry.attempt(), item);
            }
            case RAN, NEVER -> recoverSettled(entry);
            case CORRECTION -> {
                if (!entry.attempt().isEmpty()) recoverSettled(entry);
            }
            case CLOSE -> {
                lastClosedPeriod = Math.max(lastClosedPeriod, entry.period());
                totalsByPeriod.headMap(entry.period(), true).clear();
            }
            default -> {}
        }
    }

    /** Replays the base that replaced compacted entries; it must come before any stored entry. */
    public void recover(CompactionBase base) {
        lastClosedPeriod = Math.max(lastClosedPeriod, base.closed());
        for (String line : base.open())
            recover(Entry.decode(SealedEntry.parse(line).text()));
    }

    private void recoverSettled(Entry entry) {
        unsettledByAttempt.remove(entry.attempt());
        count(entry.period(), entry.tenant(), entry.service(), entry.amount());
    }

    private static PaidAttempt paidAttempt(Entry entry) {
        return new PaidAttempt(
                entry.attempt(), entry.tenant(), entry.service(), entry.title(), entry.viewer(), entry.host());
    }

    /**
     * The first entry of this generation.
     *
     * @param follows position and MAC of the previous generation's last entry
     * @param now time, ms since the epoch
     */
    public Entry start(String follows, double now) {
        for (Unsettled item : unsettledByAttempt.values()) markUnknown(item, now);
        return entry(
                Entry.Kind.START,
                "",
                "",
                new PaidAttempt("", "", "", 0, 0, ""),
                period(now),
                (long) now,
                0,
                follows,
                now);
    }

    // Paid set-ups

    /**
     * Records the intent to send a paid set-up and returns the entry to store, or null when the set-up is refused. It
     * is refused while the store fails (refusing a paid set-up is allowed, sending an unrecorded one is not), while the
     * store is slow or its backlog is full, and while too many attempts are unsettled.
     */
    public Entry recordIntent(PaidAttempt paid, double now) {
        boolean slow =
                !pendingSince.isEmpty() && now - pendingSince.firstEntry().getValue() > settings.maxStoreDelayMs();
        if (storeFailing
                || slow
                || pendingSince.size() >= settings.maxBacklog()
                || unsettledByAttempt.size() >= settings.maxUnsettled()) {
            refusedIntents++;
            return null;
        }
        Entry intent = entry(Entry.Kind.INTENT, paid.attempt(), "", paid, period(now), (long) now, 0, "", now);
        unsettledByAttempt.put(
                paid.attempt(),
                new Unsettled(paid, intent.position(), intent.seq(), intent.eventAt(), intent.period()));
        return intent;
    }

    /** Whether an attempt's first byte may be written, which requires that its intent is durable. */
    public WriteDecision checkIntent(String attempt) {
        Unsettled item = unsettledByAttempt.get(attempt);
        if (item == null || item.state == State.ABANDONED) return WriteDecision.DROP;
        if (item.state == State.DURABLE) return WriteDecision.WRITE;
        return item.state == State.INTENDED && !storeFailing ? WriteDecision.WAIT : WriteDecision.DROP;
    }

    /** Records that an attempt's first byte is about to be written. */
    public void recordWritten(String attempt) {
        Unsettled item = unsettledByAttempt.get(attempt);
        if (item != null && item.state == State.DURABLE) item.state = State.WRITTEN;
    }

    /**
     * Records how an attempt ended for the gateway and returns the entry to store, or null if the attempt is settled or
     * its outcome was recorded as unknown before. An attempt whose first byte was never written never ran, whatever its
     * outcome; one that was written is settled only by proof.
     *
     * @param ran whether the outcome proves that the attempt ran
     * @param neverRan whether the outcome proves that it never ran
     */
    public Entry recordOutcome(String attempt, boolean ran, boolean neverRan, double now) {
        Unsettled item = unsettledByAttempt.get(attempt);
        if (item == null || item.state == State.UNKNOWN) return null;
        if (ran) return settle(item, Entry.Kind.RAN, 1, "", now);
        if (neverRan || item.state != State.WRITTEN) return settle(item, Entry.Kind.NEVER, 0, "", now);
        markUnknown(item, now);
        return entry(
                Entry.Kind.UNKNOWN,
                attempt,
                item.intentPosition,
                item.paid,
                openPeriod(item.period),
                item.eventAt,
                0,
                "",
                now);
    }

    private void markUnknown(Unsettled item, double now) {
        item.state = State.UNKNOWN;
        item.unknownSince = now;
        item.queryDelay = settings.minQueryDelayMs();
        item.nextQueryAt = now + item.queryDelay;
    }

    private Entry settle(Unsettled item, Entry.Kind kind, int amount, String note, double now) {
        unsettledByAttempt.remove(item.paid.attempt());
        long period = openPeriod(item.period);
        // an attempt settled after its period was closed counts in the first open period, as a correction
        Entry.Kind actualKind = period == item.period ? kind : Entry.Kind.CORRECTION;
        count(period, item.paid.tenant(), item.paid.service(), amount);
        return entry(
                actualKind,
                item.paid.attempt(),
                item.intentPosition,
                item.paid,
                period,
                item.eventAt,
                amount,
                period == item.period ? note : (note.isEmpty() ? "" : note + "; ") + "late for period " + item.period,
                now);
    }

    /**
     * Records a host's answer whether an attempt of unknown outcome ran, and returns the entry to store, or null if the
     * attempt is not open or its outcome is not unknown.
     */
    public Entry recordReceipt(String attempt, boolean ran, double now) {
        Unsettled item = unsettledByAttempt.get(attempt);
        if (item == null || item.state != State.UNKNOWN) return null;
        return settle(item, Entry.Kind.CORRECTION, ran ? 1 : 0, ran ? "receipt: ran" : "receipt: never ran", now);
    }

    /**
     * Records an attempt of this gateway that ran at a host and that no entry settles as run, as happens after the
     * ledger was restored from an old copy. It counts in a period that is still open. Returns the entry to store, or
     * null if the attempt is open and its outcome is still awaited.
     */
    public Entry recordUnknownAttempt(PaidAttempt paid, double eventAt, double now) {
        if (unsettledByAttempt.containsKey(paid.attempt())) return recordReceipt(paid.attempt(), true, now);
        long period = openPeriod(period(eventAt));
        count(period, paid.tenant(), paid.service(), 1);
        return entry(Entry.Kind.CORRECTION, paid.attempt(), "", paid, period, (long) eventAt, 1, "found at host", now);
    }

    /**
     * Attempts of unknown outcome whose hosts are to be queried now. Queries back off exponentially and end after the
     * query timeout.
     */
    public List<PaidAttempt> dueReceiptQueries(double now) {
        List<PaidAttempt> due = new ArrayList<>();
        for (Unsettled item : unsettledByAttempt.values()) {
            if (item.state != State.UNKNOWN || now < item.nextQueryAt) continue;
            item.queryDelay = Math.min(settings.maxQueryDelayMs(), item.queryDelay * 2);
            item.nextQueryAt = now - item.unknownSince >= settings.queryTimeoutMs()
                    ? Double.POSITIVE_INFINITY
                    : now + item.queryDelay;
            due.add(item.paid);
        }
        return due;
    }

    /** Number of attempts that are no longer queried; an operator has to correct them by hand. */
    public long expiredQueries() {
        return unsettledByAttempt.values().stream()
                .filter(item -> item.state == State.UNKNOWN && Double.isInfinite(item.nextQueryAt))
                .count();
    }

    // Store

    /** Records that all entries up to {@code seq} are durable. */
    public void recordDurable(long seq) {
        storeFailing = false;
        durableSeq = Math.max(durableSeq, seq);
        pendingSince.headMap(seq, true).clear();
        for (Unsettled item : unsettledByAttempt.values())
            if (item.state == State.INTENDED && item.intentSeq <= durableSeq) item.state = State.DURABLE;
    }

    /**
     * Records that the store failed. Entries not yet durable will be stored again unchanged, but set-ups whose intents
     * are not durable are dropped and not delayed until then.
     */
    public void recordStoreFailure() {
        storeFailing = true;
        for (Unsettled item : unsettledByAttempt.values())
            if (item.state == State.INTENDED) item.state = State.ABANDONED;
    }

    // Accounting periods

    private long period(double time) {
        return (long) Math.floor(time / settings.periodMs());
    }

    /** The given period, or the first open one if it is closed already, as it may be after a clock stepped back. */
    private long openPeriod(long period) {
        return Math.max(period, lastClosedPeriod == Long.MIN_VALUE ? period : lastClosedPeriod + 1);
    }

    private void count(long period, String tenant, String service, int amount) {
        if (amount != 0)
            totalsByPeriod
                    .computeIfAbsent(period, absent -> new TreeMap<>())
                    .merge(tenant + "/" + service, amount, Integer::sum);
    }

    /**
     * Closes the earliest period that has paid starts or unsettled attempts if it is due, and returns the entry to
     * store, or null. A period is due once its end and the allowed lateness have passed and none of its attempts is
     * awaited or queried any more.
     */
    public Entry closeDuePeriod(double now) {
        long first = totalsByPeriod.isEmpty() ? Long.MAX_VALUE : totalsByPeriod.firstKey();
        for (Unsettled item : unsettledByAttempt.values()) first = Math.min(first, openPeriod(item.period));
        if (first == Long.MAX_VALUE || now < (first + 1) * settings.periodMs() + settings.latenessMs()) return null;
        for (Unsettled item : unsettledByAttempt.values()) {
            boolean awaited = item.state != State.UNKNOWN || !Double.isInfinite(item.nextQueryAt);
            if (awaited && openPeriod(item.period) <= first) return null;
        }
        Map<String, Integer> totals = totalsByPeriod.getOrDefault(first, Map.of());
        totalsByPeriod.remove(first);
        long period = first;
        long unsettled = unsettledByAttempt.values().stream()
                .filter(item -> openPeriod(item.period) <= period)
                .count();
        lastClosedPeriod = Math.max(lastClosedPeriod, first);
        String note = totals + (unsettled == 0 ? "" : " unsettled " + unsettled);
        return entry(Entry.Kind.CLOSE, "", "", new PaidAttempt("", "", "", 0, 0, ""), first, (long) now, 0, note, now);
    }

    /** The last period closed, or {@code Long.MIN_VALUE} if none was. */
    public long lastClosedPeriod() {
        return lastClosedPeriod;
    }

    /** Paid starts of a period not yet closed, by {@code TENANT/CLASS}. */
    public Map<String, Integer> totals(long period) {
        return Map.copyOf(totalsByPeriod.getOrDefault(period, Map.of()));
    }

    private Entry entry(
            Entry.Kind kind,
            String attempt,
            String corrects,
            PaidAttempt paid,
            long period,
            long eventAt,
            int amount,
            String note,
            double now) {
        pendingSince.put(nextSeq, now);
        return new Entry(
                gateway,
                generation,
                nextSeq++,
                kind,
                attempt,
                corrects,
                paid.tenant(),
                paid.service(),
                paid.title(),
                paid.viewer(),
                paid.host(),
                period,
                eventAt,
                amount,
                note);
    }

    // Counters

    /** Number of paid set-ups whose intent was refused. */
    public long refusedIntents() {
        return refusedIntents;
    }

    /** Number of attempts not settled. */
    public int unsettled() {
        return unsettledByAttempt.size();
    }

    /** Number of entries not yet durable. */
    public int backlog() {
        return pendingSince.size();
    }

    /** Whether an attempt is unsettled in this ledger. */
    public boolean hasUnsettled(String attempt) {
        return unsettledByAttempt.containsKey(attempt);
    }
}
