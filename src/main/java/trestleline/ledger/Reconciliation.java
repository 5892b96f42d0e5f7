package trestleline.ledger;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reconciles exported ledgers with one another: finds entries that are missing, duplicated or contradictory. Free of
 * I/O.
 */
public final class Reconciliation {
    /**
     * A finding.
     *
     * @param kind {@code gap}: missing entries; {@code fork}: two histories of one chain; {@code double}: an attempt
     *     counted by two entries; {@code stale}: an old copy; {@code fault}: a line, signature or count that is wrong;
     *     {@code open}: an end that no head reaches
     * @param place the file, chain or entry concerned
     * @param what what was found there
     */
    public record Finding(String kind, String place, String what) {}

    /**
     * The result of a reconciliation.
     *
     * @param findings all findings
     * @param totals paid starts of all ledgers together
     * @param entries number of distinct entries, without those that a base replaces
     */
    public record Result(List<Finding> findings, PaidStartTotals totals, int entries) {}

    private Reconciliation() {}

    /**
     * Reconciles exported ledgers.
     *
     * @param files lines of each exported ledger in the order stored, by its name
     */
    public static Result reconcile(SealingKeys keys, Map<String, List<String>> files) {
        List<Finding> findings = new ArrayList<>();
        Map<String, TreeMap<Long, SealedEntry>> chains = new TreeMap<>();
        Map<String, Map<String, Long>> lengthsByChain = new TreeMap<>();
        var headAudit = new HeadAudit();
        List<CompactionBase> bases = new ArrayList<>();
        files.forEach((name, lines) -> {
            for (SealedEntry.Fault fault : SealedEntry.verify(keys, lines)) {
                boolean gap = fault.what().startsWith("missing");
                findings.add(new Finding(gap ? "gap" : "fault", name + " " + fault.place(), fault.what()));
            }
            for (String line : lines) {
                if (CompactionBase.isBaseLine(line)) {
                    try {
                        bases.add(CompactionBase.verify(keys, line));
                    } catch (IllegalArgumentException e) {
                        continue; // reported as a fault above
                    }
                    CompactionBase base = bases.get(bases.size() - 1);
                    base.ends()
                            .forEach((generation, end) -> lengthsByChain
                                    .computeIfAbsent(base.gateway() + "/" + generation, absent -> new TreeMap<>())
                                    .merge(name, end.next(), Math::max));
                    continue;
                }
                if (Head.isHeadLine(line)) {
                    try {
                        headAudit.addHead(Head.verify(keys, line), name);
                    } catch (IllegalArgumentException e) {
                        findings.add(new Finding("fault", name, e.getMessage()));
                    }
                    continue;
                }
                SealedEntry sealed;
                Entry entry;
                try {
                    sealed = SealedEntry.parse(line);
                    entry = Entry.decode(sealed.text());
                } catch (IllegalArgumentException e) {
                    continue; // reported as a fault above
                }
                String chain = entry.gateway() + "/" + entry.generation();
                lengthsByChain
                        .computeIfAbsent(chain, absent -> new TreeMap<>())
                        .merge(name, entry.seq() + 1, Math::max);
                SealedEntry other =
                        chains.computeIfAbsent(chain, absent -> new TreeMap<>()).putIfAbsent(entry.seq(), sealed);
                if (other != null && !other.mac().equals(sealed.mac())) {
                    findings.add(new Finding(
                            "fork", name + " " + chain + ":" + entry.seq(), "two histories of one generation"));
                }
            }
        });
        lengthsByChain.forEach((chain, lengthByFile) -> {
            long longest = lengthByFile.values().stream()
                    .mapToLong(length -> length)
                    .max()
                    .orElse(0);
            lengthByFile.forEach((name, length) -> {
                if (length < longest)
                    findings.add(
                            new Finding("stale", name + " " + chain, "holds " + length + " entries of " + longest));
            });
        });
        var totals = new PaidStartTotals();
        var periods = new PeriodAudit();
        int entries = 0;
        Map<String, CompactionBase> effectiveBases = effectiveBases(bases, chains, findings);
        effectiveBases.values().forEach(totals::add);
        for (Map.Entry<String, TreeMap<Long, SealedEntry>> chain : chains.entrySet()) {
            for (SealedEntry sealed : chain.getValue().values()) {
                Entry entry = Entry.decode(sealed.text());
                CompactionBase base = effectiveBases.get(entry.gateway());
                if (base != null && entry.seq() < base.next(entry.generation())) continue; // counted in the base
                entries++;
                totals.add(entry);
                periods.add(entry);
                if (entry.kind() == Entry.Kind.START) {
                    checkPredecessor(chain.getKey(), entry, chains, findings);
                    headAudit.addStart(entry);
                }
            }
        }
        effectiveBases.values().forEach(periods::add);
        findings.addAll(periods.findings());
        findings.addAll(headAudit.findings(chains, bases));
        for (String duplicate : totals.duplicates())
            findings.add(new Finding("double", duplicate, "attempt already counted; it counts once"));
        return new Result(findings, totals, entries);
    }

    /** Compares the totals that closed periods state with the entries present. */
    private static final class PeriodAudit {
        private static final Pattern TOTAL = Pattern.compile("([^ ,{}=]+/[^ ,{}=]+)=(\\d+)");
        private final Map<String, Map<String, Long>> countedByPeriod = new TreeMap<>();
        private final Map<String, Entry> closes = new TreeMap<>();
        private final Set<String> compactedPeriods = new HashSet<>();

        void add(Entry entry) {
            String period = entry.gateway() + " " + entry.period();
            if (entry.kind() == Entry.Kind.CLOSE) closes.put(period, entry);
            else
                countedByPeriod
                        .computeIfAbsent(period, absent -> new TreeMap<>())
                        .merge(entry.tenant() + "/" + entry.service(), (long) entry.amount(), Long::sum);
        }

        /**
         * Excludes the periods of a base from the comparison: the base counts each start once, so the total of such a
         * period's close can't be compared.
         */
        void add(CompactionBase base) {
            base.starts().keySet().forEach(period -> compactedPeriods.add(base.gateway() + " " + period));
        }

        List<Finding> findings() {
            List<Finding> found = new ArrayList<>();
            closes.forEach((period, close) -> {
                if (compactedPeriods.contains(period)) return;
                for (Matcher total = TOTAL.matcher(close.note()); total.find(); ) {
                    long stated = Long.parseLong(total.group(2));
                    long counted =
                            countedByPeriod.getOrDefault(period, Map.of()).getOrDefault(total.group(1), 0L);
                    if (counted >= stated) continue;
                    found.add(new Finding(
                            "gap",
                            close.gateway() + "/" + close.position(),
                            "closes period " + close.period() + " with " + total.group() + "; entries here come to "
                                    + counted));
                }
            });
            return found;
        }
    }

    /**
     * By gateway, the base that replaces the most entries among those that replace an entry held in no file. A base all
     * of whose entries are held in files is not used. A base whose seal differs from that of the entry at its end is a
     * fork.
     */
    private static Map<String, CompactionBase> effectiveBases(
            List<CompactionBase> bases, Map<String, TreeMap<Long, SealedEntry>> chains, List<Finding> findings) {
        Map<String, CompactionBase> effective = new TreeMap<>();
        for (CompactionBase base : bases) {
            boolean allHeld = true;
            for (Map.Entry<String, CompactionBase.End> end : base.ends().entrySet()) {
                String chain = base.gateway() + "/" + end.getKey();
                TreeMap<Long, SealedEntry> held = chains.getOrDefault(chain, new TreeMap<>());
                SealedEntry last = held.get(end.getValue().next() - 1);
                if (last != null && !last.mac().equals(end.getValue().seal())) {
                    findings.add(new Finding(
                            "fork", chain + ":" + (end.getValue().next() - 1), "a base replaces another history"));
                }
                allHeld &= held.headMap(end.getValue().next()).size()
                        == end.getValue().next();
            }
            if (!allHeld)
                effective.merge(base.gateway(), base, (one, two) -> one.entries() >= two.entries() ? one : two);
        }
        return effective;
    }

    /** Reports a generation that names an entry before its predecessor's end: it was started from an old copy. */
    private static void checkPredecessor(
            String chain, Entry start, Map<String, TreeMap<Long, SealedEntry>> chains, List<Finding> findings) {
        String[] parts = start.note().split(":");
        if (parts.length != 3) return;
        TreeMap<Long, SealedEntry> predecessor = chains.get(start.gateway() + "/" + parts[0]);
        long seq = Long.parseLong(parts[1]);
        if (predecessor != null && predecessor.lastKey() > seq) {
            findings.add(new Finding(
                    "stale",
                    chain,
                    "was started from a copy of " + parts[0] + " that ended at " + seq + ", which went on to "
                            + predecessor.lastKey()));
        }
    }
}
