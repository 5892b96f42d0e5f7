package trestleline.ledger.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import trestleline.ledger.CompactionBase;
import trestleline.ledger.Entry;
import trestleline.ledger.SealedEntry;

/**
 * Stores lines in an H2 MVStore, a log-structured store in one file with a checksum on each chunk, which after a crash
 * opens at its last complete version. Keys are positions; each group of lines ends with a commit and a sync. Lines that
 * are stored already, as when a group is appended again after a failure, are skipped.
 */
public final class MvStoreLedger implements LedgerStore {
    private static final int CACHE_MB = 8;
    private final MVStore store;
    private final MVMap<Long, String> lines;
    private final MVMap<String, String> headLines;
    private final MVMap<String, String> bases;
    /** By generation, runs of consecutive sequence numbers at consecutive positions: {position, sequence, count}. */
    private final Map<String, List<long[]>> runsByGeneration = new LinkedHashMap<>();

    private final Map<String, Long> nextSeqs = new LinkedHashMap<>();
    private long nextPosition;

    /** Opens the file or creates it; throws {@code IOException} when it is in use or can't be read. */
    public MvStoreLedger(Path file) throws IOException {
        Path parent = file.toAbsolutePath().getParent();
        if (parent != null) Files.createDirectories(parent);
        try {
            store = new MVStore.Builder()
                    .fileName(file.toString())
                    .autoCommitDisabled()
                    .cacheSize(CACHE_MB)
                    .open();
            store.setVersionsToKeep(0);
            lines = store.openMap("lines");
            headLines = store.openMap("heads");
            bases = store.openMap("base");
        } catch (MVStoreException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
        indexBase();
        for (var cursor = lines.cursor(null); cursor.hasNext(); ) {
            long position = cursor.next();
            index(position, Entry.decode(SealedEntry.parse(cursor.getValue()).text()));
        }
    }

    /** Indexes the generations of the base, of which no entry may be stored any more. */
    private void indexBase() {
        if (base() == null) return;
        CompactionBase.parse(base()).ends().forEach((generation, end) -> {
            runsByGeneration.computeIfAbsent(generation, absent -> new ArrayList<>());
            nextSeqs.merge(generation, end.next(), Math::max);
        });
    }

    /** Adds an entry at a position to the index, extending the generation's last run where possible. */
    private void index(long position, Entry entry) {
        List<long[]> runs = runsByGeneration.computeIfAbsent(entry.generation(), absent -> new ArrayList<>());
        long[] last = runs.isEmpty() ? null : runs.get(runs.size() - 1);
        if (last != null && last[0] + last[2] == position && last[1] + last[2] == entry.seq()) last[2]++;
        else runs.add(new long[] {position, entry.seq(), 1});
        nextSeqs.merge(entry.generation(), entry.seq() + 1, Math::max);
        nextPosition = Math.max(nextPosition, position + 1);
    }

    @Override
    public void append(List<String> group) throws IOException {
        try {
            for (String line : group) {
                Entry entry = Entry.decode(SealedEntry.parse(line).text());
                if (entry.seq() < nextSeqs.getOrDefault(entry.generation(), 0L)) continue;
                lines.put(nextPosition, line);
                index(nextPosition, entry);
            }
            store.commit();
            store.sync();
        } catch (MVStoreException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    @Override
    public String base() {
        return bases.get("base");
    }

    @Override
    public List<String> oldest(int most) {
        List<String> oldest = new ArrayList<>();
        for (var cursor = lines.cursor(null); cursor.hasNext() && oldest.size() < most; ) {
            cursor.next();
            oldest.add(cursor.getValue());
        }
        return oldest;
    }

    @Override
    public void compact(String base, int count) throws IOException {
        try {
            List<Long> removed = new ArrayList<>();
            for (var cursor = lines.cursor(null); cursor.hasNext() && removed.size() < count; )
                removed.add(cursor.next());
            bases.put("base", base);
            removed.forEach(lines::remove);
            store.commit();
            store.sync();
            long firstPosition = removed.isEmpty() ? 0 : removed.get(removed.size() - 1) + 1;
            for (List<long[]> runs : runsByGeneration.values()) {
                for (long[] run : runs) {
                    long removedOfRun = Math.max(0, Math.min(run[2], firstPosition - run[0]));
                    run[0] += removedOfRun;
                    run[1] += removedOfRun;
                    run[2] -= removedOfRun;
                }
                runs.removeIf(run -> run[2] == 0);
            }
            indexBase();
        } catch (MVStoreException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    @Override
    public long size() {
        return lines.sizeAsLong();
    }

    @Override
    public void scan(Consumer<String> line) {
        for (var cursor = lines.cursor(null); cursor.hasNext(); ) {
            cursor.next();
            line.accept(cursor.getValue());
        }
    }

    @Override
    public List<String> range(String generation, long from, long to) {
        List<String> found = new ArrayList<>();
        for (long[] run : runsByGeneration.getOrDefault(generation, List.of())) {
            for (long seq = Math.max(from, run[1]); seq < Math.min(to, run[1] + run[2]); seq++) {
                found.add(lines.get(run[0] + seq - run[1]));
            }
        }
        return found;
    }

    @Override
    public long nextSeq(String generation) {
        return nextSeqs.getOrDefault(generation, 0L);
    }

    @Override
    public List<String> generations() {
        return List.copyOf(runsByGeneration.keySet());
    }

    @Override
    public void storeHead(String generation, String head) throws IOException {
        try {
            headLines.put(generation, head);
            store.commit();
            store.sync();
        } catch (MVStoreException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    @Override
    public List<String> heads() {
        return List.copyOf(headLines.values());
    }

    @Override
    public void closeWithoutFlush() {
        store.closeImmediately();
    }

    @Override
    public void close() {
        store.close();
    }
}
