package trestleline.ledger;

import java.util.List;
import java.util.Map;

/**
 * Decides which of a ledger's oldest entries may be removed. Free of I/O and clock. An entry is kept while its period
 * is to be kept, while billing may lack it, and while its attempt may still be reported: at a start hosts are queried
 * for what ran since the last entry's time less the query timeout, and an attempt that is reported twice must be
 * recognised as one. The newest entry is always kept, because the next generation names it.
 */
public final class Compaction {
    private Compaction() {}

    /**
     * How long entries are kept.
     *
     * @param periodMs length of an accounting period, ms
     * @param keepPeriods number of closed periods kept whole, at least 0
     * @param queryTimeoutMs how long a host is queried about an attempt of unknown outcome, ms
     * @param maxSetUpMs longest time from an intent to the end of its set-up, ms; needed because a host reports when
     *     the attempt ran, not when its intent was recorded
     */
    public record Retention(double periodMs, long keepPeriods, double queryTimeoutMs, double maxSetUpMs) {}

    /** The last period whose entries may be removed, given the last closed period and the newest entry's time, ms. */
    static long lastRemovablePeriod(Retention retention, long closed, double newestAt) {
        if (closed == Long.MIN_VALUE) return Long.MIN_VALUE;
        long oldestReportable = (long) Math.floor(
                (newestAt - 2 * retention.queryTimeoutMs() - 2 * retention.maxSetUpMs()) / retention.periodMs());
        return Math.min(closed - retention.keepPeriods(), oldestReportable - 1);
    }

    /**
     * How many of the oldest lines may be removed.
     *
     * @param lines the oldest lines stored, in their order
     * @param more whether other lines are stored after them
     * @param newestAt event time of a stored entry, ms; a later one allows more to be removed. Hosts are queried at a
     *     start for what ran since the latest stored event time, so the current time is of no use here
     * @param closed the last period closed, wherever its close is stored
     * @param acknowledged how many entries billing holds, by generation; null without billing
     */
    public static int removableLines(
            Retention retention,
            List<String> lines,
            boolean more,
            long closed,
            double newestAt,
            Map<String, Long> acknowledged) {
        long lastPeriod = lastRemovablePeriod(retention, closed, newestAt);
        int removable = 0;
        for (String line : lines) {
            Entry entry = Entry.decode(SealedEntry.parse(line).text());
            if (entry.period() > lastPeriod) break;
            if (acknowledged != null && entry.seq() >= acknowledged.getOrDefault(entry.generation(), 0L)) break;
            removable++;
        }
        return more ? removable : Math.min(removable, lines.size() - 1);
    }
}
