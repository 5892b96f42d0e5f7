package trestleline.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Compares chains with the heads known of them, from whatever source. An entry that a head proves to have existed and
 * that is missing is a gap. An entry whose seal differs from that of a head at its position is a fork. An end that
 * neither a head nor a later generation reaches is open: nothing proves that no entries followed it. Free of I/O.
 */
final class HeadAudit {
    /** Proof that a chain reached an entry; {@code starts} is null when the proof does not count paid starts. */
    private record Proof(long seq, String seal, String source, Map<String, Long> starts) {}

    private final Map<String, List<Proof>> proofsByChain = new TreeMap<>();

    /** Adds a head and the name of the file that it comes from. */
    void addHead(Head head, String file) {
        addProof(head.chainId(), new Proof(head.seq(), head.seal(), "a head in " + file, head.starts()));
    }

    /** Adds the first entry of a generation, which names the last entry of the previous one. */
    void addStart(Entry start) {
        String[] parts = start.note().split(":");
        if (parts.length == 3 && parts[1].matches("\\d{1,18}")) {
            addProof(
                    start.gateway() + "/" + parts[0],
                    new Proof(Long.parseLong(parts[1]), parts[2], "the start of " + start.generation(), null));
        }
    }

    private void addProof(String chain, Proof proof) {
        proofsByChain.computeIfAbsent(chain, absent -> new ArrayList<>()).add(proof);
    }

    /** Paid starts of a chain up to and including an entry. */
    private static Map<String, Long> countStarts(TreeMap<Long, SealedEntry> held, CompactionBase.End base, long upTo) {
        Map<String, Long> starts = new TreeMap<>(base == null ? Map.of() : base.starts());
        for (SealedEntry sealed : held.subMap(
                        base == null ? 0 : base.next(), true, Math.max(upTo, base == null ? 0 : base.next()), true)
                .values()) {
            Entry entry = Entry.decode(sealed.text());
            if (entry.seq() <= upTo && entry.amount() != 0)
                starts.merge(entry.tenant() + "/" + entry.service(), (long) entry.amount(), Long::sum);
        }
        return starts;
    }

    /**
     * Compares chains with the proofs added.
     *
     * @param chains entries by sequence number, for each {@code GATEWAY/GENERATION}
     */
    List<Reconciliation.Finding> findings(Map<String, TreeMap<Long, SealedEntry>> chains, List<CompactionBase> bases) {
        List<Reconciliation.Finding> findings = new ArrayList<>();
        Map<String, CompactionBase.End> baseEnds = new TreeMap<>();
        for (CompactionBase base : bases)
            base.ends()
                    .forEach((generation, end) -> baseEnds.merge(
                            base.gateway() + "/" + generation,
                            end,
                            (one, two) -> one.next() >= two.next() ? one : two));
        proofsByChain.forEach((chain, proofs) -> {
            TreeMap<Long, SealedEntry> held = chains.getOrDefault(chain, new TreeMap<>());
            for (Proof proof : proofs) {
                SealedEntry sealed = held.get(proof.seq());
                CompactionBase.End end = baseEnds.get(chain);
                String seal = sealed != null
                        ? sealed.mac()
                        : end != null && end.next() == proof.seq() + 1 ? end.seal() : null;
                if (seal != null && !seal.equals(proof.seal())) {
                    findings.add(new Reconciliation.Finding(
                            "fork", chain + ":" + proof.seq(), proof.source() + " proves another history"));
                }
            }
            Proof newest = proofs.stream()
                    .max(java.util.Comparator.comparingLong(Proof::seq))
                    .orElseThrow();
            long last = Math.max(
                    held.isEmpty() ? -1 : held.lastKey(),
                    baseEnds.containsKey(chain) ? baseEnds.get(chain).next() - 1 : -1);
            if (newest.seq() > last) {
                findings.add(new Reconciliation.Finding(
                        "gap",
                        chain + ":" + (last + 1),
                        "missing up to " + newest.seq()
                                + ", which " + newest.source() + " proves to have existed"
                                + (newest.starts() == null
                                        ? ""
                                        : "; paid starts " + newest.starts() + ", of which "
                                                + countStarts(held, baseEnds.get(chain), last) + " are here")));
            }
            for (Proof proof : proofs) {
                boolean complete = held.isEmpty()
                        || held.firstKey()
                                <= (baseEnds.containsKey(chain)
                                        ? baseEnds.get(chain).next()
                                        : 0);
                if (proof.starts() == null
                        || proof.seq() > last
                        || !complete
                        || baseEnds.containsKey(chain)
                                && proof.seq() < baseEnds.get(chain).next() - 1) continue;
                Map<String, Long> counted = countStarts(held, baseEnds.get(chain), proof.seq());
                if (!counted.equals(proof.starts())) {
                    findings.add(new Reconciliation.Finding(
                            "fault",
                            chain + ":" + proof.seq(),
                            proof.source() + " counts " + proof.starts() + ", entries come to " + counted));
                }
            }
        });
        chains.forEach((chain, held) -> {
            long provenSeq = proofsByChain.getOrDefault(chain, List.of()).stream()
                    .mapToLong(Proof::seq)
                    .max()
                    .orElse(-1);
            if (provenSeq < held.lastKey()) {
                findings.add(new Reconciliation.Finding(
                        "open", chain + ":" + held.lastKey(), "end not anchored: no head reaches it"));
            }
        });
        return findings;
    }
}
