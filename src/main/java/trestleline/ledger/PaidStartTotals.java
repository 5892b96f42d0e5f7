package trestleline.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts paid starts by tenant from ledger entries. Each attempt counts once, however many entries report it. */
public final class PaidStartTotals {
    private final Map<String, Entry> countedByAttempt = new HashMap<>();
    private final Map<String, Long> compactedStarts = new TreeMap<>();
    private final List<String> duplicates = new ArrayList<>();

    /** Adds one entry. The order of entries matters within a generation, the order of generations does not. */
    public void add(Entry entry) {
        if (entry.amount() > 0 && countedByAttempt.putIfAbsent(entry.attempt(), entry) != null)
            duplicates.add(entry.position() + " " + entry.attempt());
        if (entry.amount() < 0) countedByAttempt.remove(entry.attempt());
    }

    /** Adds the starts of entries that compaction removed. */
    public void add(CompactionBase base) {
        base.starts()
                .values()
                .forEach(byTenantAndClass -> byTenantAndClass.forEach(
                        (tenantAndClass, count) -> compactedStarts.merge(tenantAndClass, count, Long::sum)));
    }

    /** Paid starts by tenant. */
    public Map<String, Long> byTenant() {
        return sum(false);
    }

    /** Paid starts by {@code TENANT/CLASS}. */
    public Map<String, Long> byTenantAndClass() {
        return sum(true);
    }

    private Map<String, Long> sum(boolean byClass) {
        Map<String, Long> totals = new TreeMap<>();
        compactedStarts.forEach((tenantAndClass, count) -> totals.merge(
                byClass ? tenantAndClass : tenantAndClass.substring(0, tenantAndClass.indexOf('/')), count, Long::sum));
        countedByAttempt
                .values()
                .forEach(entry ->
                        totals.merge(byClass ? entry.tenant() + "/" + entry.service() : entry.tenant(), 1L, Long::sum));
        return totals;
    }

    /** Attempts that were counted from entries; those of compacted entries are not included. */
    public java.util.Set<String> attempts() {
        return countedByAttempt.keySet();
    }

    /** Entries that report an attempt already counted, as {@code GENERATION:SEQ ATTEMPT}. */
    public List<String> duplicates() {
        return duplicates;
    }
}
