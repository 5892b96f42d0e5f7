package trestleline.rehearsal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import trestleline.ledger.Totals;
import trestleline.standin.BillingDesk;
import trestleline.standin.MediaHost;

/**
 * What billing holds against what ran at the hosts, by tenant. {@code difference}: attempts that only one of them has.
 */
public record LedgerResult(Map<String, Long> exported, Map<String, Long> seen, int difference, int onlyExported,
                           int onlySeen, String desk) {
    static LedgerResult of(Fleet fleet, BillingDesk desk) {
        Map<String, String> ran = new HashMap<>();
        for (MediaHost h : fleet.hosts()) ran.putAll(h.ran());
        Map<String, Long> seen = new TreeMap<>();
        ran.values().forEach(tenant -> seen.merge(tenant, 1L, Long::sum));
        Totals totals = desk.totals();
        Set<String> onlyExported = new HashSet<>(totals.attempts()), onlySeen = new HashSet<>(ran.keySet());
        onlyExported.removeAll(ran.keySet());
        onlySeen.removeAll(totals.attempts());
        return new LedgerResult(totals.byTenant(), seen, onlyExported.size() + onlySeen.size(), onlyExported.size(),
            onlySeen.size(), desk.counts() + ", " + totals.doubles().size() + " doubles counted once");
    }

    /** To the entry, and by tenant. */
    public boolean same() {
        return difference == 0 && exported.equals(seen);
    }

    String text() {
        return String.format(Locale.ROOT, "ledger: exported %s, seen at hosts %s: %s (%s)%n", exported, seen, same() ? "equal"
            : "DIFFERENT by " + difference + ", only exported " + onlyExported + ", only seen " + onlySeen, desk);
    }
}
