package stores;

import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.rocksdb.Options;
import org.rocksdb.RocksDB;
import org.rocksdb.RocksIterator;
import org.rocksdb.WriteBatch;
import org.rocksdb.WriteOptions;

/**
 * Entries a second with a sync for each group, the time to open and read all of them, and bytes on disk, of an append-only file,
 * H2 MVStore and RocksDB, in turns. Times are of one run on one machine: only their ratios say anything.
 */
public final class Compare {
    private static final int ROUNDS = 3, READ = 200_000;

    private interface Kind extends AutoCloseable {
        void append(long first, List<byte[]> lines) throws Exception;

        /** Opens what is there anew and reads it; returns how many lines. */
        long reopen() throws Exception;
    }

    private Compare() { }

    public static void main(String[] args) throws Exception {
        RocksDB.loadLibrary();
        String[] names = {"file", "MVStore", "RocksDB"};
        int[] groups = {1, 64, 1024}, counts = {400, 25_600, 204_800};
        System.out.println("entries a second with sync, by group; part of the file's in the same round");
        for (int g = 0; g < groups.length; g++) {
            double[][] rate = new double[3][ROUNDS];
            for (int r = 0; r < ROUNDS; r++) {
                for (int k = 0; k < 3; k++) rate[k][r] = write(names[k], groups[g], counts[g]);
            }
            for (int k = 0; k < 3; k++) {
                var line = new StringBuilder(String.format(Locale.ROOT, "%-8s group %4d:", names[k], groups[g]));
                for (int r = 0; r < ROUNDS; r++) line.append(String.format(Locale.ROOT, " %.0f (%.2f)", rate[k][r], rate[k][r] / rate[0][r]));
                System.out.println(line);
            }
        }
        System.out.println("opening and reading " + READ + " entries, s; MB on disk");
        for (String name : names) {
            Path dir = Files.createTempDirectory("compare");
            try (Kind k = open(name, dir)) {
                for (long at = 0; at < READ; at += 1024) k.append(at, lines(at, (int) Math.min(1024, READ - at)));
                long from = System.nanoTime(), n = k.reopen();
                double s = (System.nanoTime() - from) / 1e9;
                if (n != READ) throw new IllegalStateException(name + " holds " + n);
                System.out.printf(Locale.ROOT, "%-8s %.2f s, %d MB%n", name, s, size(dir) >> 20);
            } finally {
                delete(dir);
            }
        }
    }

    private static double write(String name, int group, int count) throws Exception {
        Path dir = Files.createTempDirectory("compare");
        try (Kind k = open(name, dir)) {
            long from = System.nanoTime();
            for (long at = 0; at < count; at += group) k.append(at, lines(at, group));
            return count / ((System.nanoTime() - from) / 1e9);
        } finally {
            delete(dir);
        }
    }

    /** Of a sealed entry's length and sameness. */
    private static List<byte[]> lines(long first, int n) {
        List<byte[]> all = new ArrayList<>(n);
        for (long i = first; i < first + n; i++) {
            all.add(String.format("k %064x {\"g\":\"0\",\"gen\":\"mx4umhnp\",\"seq\":%d,\"kind\":\"INTENT\",\"a\":\"0-mx4umhnp-%d-0\",\"c\":\"\",\"t\":\"bwyd-cyflym\","
                + "\"cl\":\"induction\",\"ti\":4714,\"v\":%d,\"h\":\"host-a%d\",\"p\":13,\"at\":%d,\"n\":0,\"note\":\"\"}", i * 0x9E3779B97F4A7C15L, i, i, i * 7919, i % 12,
                1796138441290L + i).getBytes(StandardCharsets.UTF_8));
        }
        return all;
    }

    private static Kind open(String name, Path dir) throws Exception {
        return switch (name) {
            case "file" -> new Plain(dir.resolve("lines"));
            case "MVStore" -> new Mv(dir.resolve("store"));
            default -> new Rocks(dir.resolve("rocks"));
        };
    }

    private static final class Plain implements Kind {
        private final Path file;
        private FileChannel out;

        Plain(Path file) throws Exception {
            this.file = file;
            out = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        }

        @Override
        public void append(long first, List<byte[]> lines) throws Exception {
            int size = lines.stream().mapToInt(l -> l.length + 1).sum();
            ByteBuffer all = ByteBuffer.allocate(size);
            for (byte[] l : lines) all.put(l).put((byte) '\n');
            all.flip();
            while (all.hasRemaining()) out.write(all);
            out.force(false);
        }

        @Override
        public long reopen() throws Exception {
            out.close();
            try (Stream<String> all = Files.lines(file)) {
                return all.count();
            } finally {
                out = FileChannel.open(file, StandardOpenOption.APPEND);
            }
        }

        @Override
        public void close() throws Exception {
            out.close();
        }
    }

    private static final class Mv implements Kind {
        private final Path file;
        private MVStore store;
        private MVMap<Long, String> lines;

        Mv(Path file) {
            this.file = file;
            open();
        }

        private void open() {
            store = new MVStore.Builder().fileName(file.toString()).autoCommitDisabled().cacheSize(8).open();
            store.setVersionsToKeep(0);
            lines = store.openMap("lines");
        }

        @Override
        public void append(long first, List<byte[]> all) {
            for (int i = 0; i < all.size(); i++) lines.put(first + i, new String(all.get(i), StandardCharsets.UTF_8));
            store.commit();
            store.sync();
        }

        @Override
        public long reopen() {
            store.close();
            open();
            long n = 0;
            for (var c = lines.cursor(null); c.hasNext(); n++) c.next();
            return n;
        }

        @Override
        public void close() {
            store.close();
        }
    }

    private static final class Rocks implements Kind {
        private final Path dir;
        private final Options options = new Options().setCreateIfMissing(true);
        private final WriteOptions sync = new WriteOptions().setSync(true);
        private RocksDB db;

        Rocks(Path dir) throws Exception {
            this.dir = dir;
            db = RocksDB.open(options, dir.toString());
        }

        @Override
        public void append(long first, List<byte[]> lines) throws Exception {
            try (var batch = new WriteBatch()) {
                for (int i = 0; i < lines.size(); i++) batch.put(ByteBuffer.allocate(8).putLong(first + i).array(), lines.get(i));
                db.write(sync, batch);
            }
        }

        @Override
        public long reopen() throws Exception {
            db.close();
            db = RocksDB.open(options, dir.toString());
            long n = 0;
            try (RocksIterator it = db.newIterator()) {
                for (it.seekToFirst(); it.isValid(); it.next()) n++;
            }
            return n;
        }

        @Override
        public void close() {
            db.close();
            sync.close();
            options.close();
        }
    }

    private static long size(Path dir) throws Exception {
        try (Stream<Path> all = Files.walk(dir)) {
            return all.filter(Files::isRegularFile).mapToLong(p -> p.toFile().length()).sum();
        }
    }

    private static void delete(Path dir) throws Exception {
        try (Stream<Path> all = Files.walk(dir)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) Files.delete(p);
        }
    }
}
