package trestleline.ledger;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An entry as it is stored and exported: {@code KEYID MAC TEXT}. Each MAC covers the MAC of the previous entry of its
 * generation, so that removing, swapping or changing an entry breaks the chain at that entry.
 *
 * @param key id of the key that sealed the entry
 * @param mac MAC over the previous entry's MAC and the text, as hexadecimal digits
 * @param text the encoded entry
 */
public record SealedEntry(String key, String mac, String text) {
    /** Stands for the MAC of the previous entry where there is none: before a generation's first entry. */
    public static final String NO_PREDECESSOR = "0";

    /**
     * Seals an entry with the current key.
     *
     * @param before MAC of the previous entry; {@link #NO_PREDECESSOR} for a generation's first
     */
    public static SealedEntry seal(SealingKeys keys, String before, Entry entry) {
        String text = entry.encode();
        return new SealedEntry(keys.current(), keys.computeMac(keys.current(), before, text), text);
    }

    /** The line that is stored and exported. */
    public String line() {
        return key + " " + mac + " " + text;
    }

    /**
     * Splits a line without checking its MAC; throws {@code IllegalArgumentException} when it is not a sealed entry.
     */
    public static SealedEntry parse(String line) {
        String[] parts = line.split(" ", 3);
        if (parts.length != 3 || !parts[1].matches("[0-9a-f]{64}"))
            throw new IllegalArgumentException("not a sealed entry");
        return new SealedEntry(parts[0], parts[1], parts[2]);
    }

    /**
     * A fault of a ledger.
     *
     * @param place the line or the entry at fault
     * @param what what is wrong there
     */
    public record Fault(String place, String what) {}

    /**
     * Checks the lines of a ledger in the order stored and returns all faults. An empty list means that every seal is
     * valid and that no entry is missing before the last one.
     */
    public static List<Fault> verify(SealingKeys keys, List<String> lines) {
        List<Fault> faults = new ArrayList<>();
        Map<String, Long> nextSeqs = new LinkedHashMap<>();
        Map<String, String> lastSeals = new LinkedHashMap<>();
        int lineNumber = 0;
        for (String line : lines) {
            lineNumber++;
            if (Head.isHeadLine(line)) continue; // not part of the chain; HeadAudit compares heads
            if (CompactionBase.isBaseLine(line)) {
                try {
                    CompactionBase base = CompactionBase.verify(keys, line);
                    base.ends().forEach((generation, end) -> {
                        if (nextSeqs.merge(base.gateway() + "/" + generation, end.next(), Math::max) == end.next())
                            lastSeals.put(base.gateway() + "/" + generation, end.seal());
                    });
                } catch (IllegalArgumentException e) {
                    faults.add(new Fault("line " + lineNumber, e.getMessage()));
                }
                continue;
            }
            SealedEntry sealed;
            Entry entry;
            try {
                sealed = parse(line);
                entry = Entry.decode(sealed.text);
            } catch (IllegalArgumentException e) {
                faults.add(new Fault("line " + lineNumber, "cannot be read: " + e.getMessage()));
                continue;
            }
            String chain = entry.gateway() + "/" + entry.generation();
            long expected = nextSeqs.getOrDefault(chain, 0L);
            String before = lastSeals.getOrDefault(chain, NO_PREDECESSOR);
            if (entry.seq() > expected)
                faults.add(new Fault(chain + ":" + expected, "missing up to " + (entry.seq() - 1)));
            else if (entry.seq() < expected)
                faults.add(new Fault(chain + ":" + entry.seq(), "out of order or duplicated"));
            else if (!keys.knows(sealed.key))
                faults.add(new Fault(chain + ":" + entry.seq(), "sealed by unknown key " + sealed.key));
            else if (!keys.computeMac(sealed.key, before, sealed.text).equals(sealed.mac)) {
                faults.add(new Fault(
                        chain + ":" + entry.seq(), "invalid seal: this entry or the one before it was changed"));
            }
            nextSeqs.put(chain, Math.max(expected, entry.seq() + 1));
            if (entry.seq() >= expected) lastSeals.put(chain, sealed.mac);
        }
        return faults;
    }
}
