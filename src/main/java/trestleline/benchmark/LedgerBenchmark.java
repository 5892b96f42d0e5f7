package trestleline.benchmark;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import trestleline.billing.LedgerService;
import trestleline.core.WallClock;
import trestleline.emulation.BillingServer;
import trestleline.hosts.HttpHostClient;
import trestleline.ledger.AttemptLedger;
import trestleline.ledger.Entry;
import trestleline.ledger.Outbox;
import trestleline.ledger.SealedEntry;
import trestleline.ledger.SealingKeys;
import trestleline.ledger.store.MvStoreLedger;

/** Measures the ledger: appended entries per second with sync, and recovery and export of many entries. */
final class LedgerBenchmark {
    private static final SealingKeys KEYS = SealingKeys.parse("k " + "5a".repeat(32));
    private final Consumer<String> output;
    private final int entryCount;

    LedgerBenchmark(Consumer<String> output, int entryCount) {
        this.output = output;
        this.entryCount = entryCount;
    }

    private void output(String format, Object... values) {
        output.accept(String.format(Locale.ROOT, format, values));
    }

    /** Generates a chain of sealed entries: a START, then pairs of INTENT and RAN. */
    private static final class EntrySource {
        private String previousMac = SealedEntry.NO_PREDECESSOR;
        private long nextSeq;

        List<String> nextLines(int count) {
            List<String> lines = new ArrayList<>(count);
            for (int i = 0; i < count; i++, nextSeq++) {
                Entry.Kind kind =
                        nextSeq == 0 ? Entry.Kind.START : nextSeq % 2 == 1 ? Entry.Kind.INTENT : Entry.Kind.RAN;
                String attempt = nextSeq == 0 ? "" : "0-g-" + (nextSeq + 1) / 2 + "-0";
                SealedEntry sealed = SealedEntry.seal(
                        KEYS,
                        previousMac,
                        new Entry(
                                "0",
                                "g",
                                nextSeq,
                                kind,
                                attempt,
                                "",
                                "tenant-" + nextSeq % 2,
                                "induction",
                                nextSeq % 40,
                                nextSeq * 7919,
                                "host-" + nextSeq % 12,
                                5,
                                1_700_000_000_000L + nextSeq,
                                kind == Entry.Kind.RAN ? 1 : 0,
                                ""));
                previousMac = sealed.mac();
                lines.add(sealed.line());
            }
            return lines;
        }
    }

    /** Measures appends in batches of three sizes, recovery and export, and prints the results. */
    void run() throws Exception {
        Path directory = Files.createTempDirectory("trestleline-ledger");
        try {
            for (int batchSize : new int[] {1, 64, 1024}) measureAppend(directory, batchSize);
            measureRecovery(directory);
        } finally {
            try (var paths = Files.walk(directory)) {
                for (Path path :
                        paths.sorted(java.util.Comparator.reverseOrder()).toList()) Files.deleteIfExists(path);
            }
        }
    }

    /** Compares the store with a plain file to which the same lines are appended and forced, in alternation. */
    private void measureAppend(Path directory, int batchSize) throws IOException {
        int rounds = batchSize == 1 ? 300 : 60;
        long plainFileNs = 0;
        long storeNs = 0;
        var plainSource = new EntrySource();
        var storeSource = new EntrySource();
        try (var ledgerStore = new MvStoreLedger(directory.resolve("store-" + batchSize));
                var plainFile = FileChannel.open(
                        directory.resolve("plain-" + batchSize),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.APPEND)) {
            for (int i = -5; i < rounds; i++) {
                List<String> plainLines = plainSource.nextLines(batchSize);
                List<String> storeLines = storeSource.nextLines(batchSize);
                long startNs = System.nanoTime();
                plainFile.write(
                        ByteBuffer.wrap((String.join("\n", plainLines) + "\n").getBytes(StandardCharsets.UTF_8)));
                plainFile.force(false);
                long plainDoneNs = System.nanoTime();
                ledgerStore.append(storeLines);
                long endNs = System.nanoTime();
                if (i < 0) continue;
                plainFileNs += plainDoneNs - startNs;
                storeNs += endNs - plainDoneNs;
            }
        }
        output(
                "ledger: batches of %d with sync: %.0f entries per second, %.2f of the rate of a plain file, appended and forced",
                batchSize, (double) rounds * batchSize / (storeNs / 1e9), (double) plainFileNs / storeNs);
    }

    /** Fills a store, then measures how long it takes to open it and to recover from its entries. */
    private void measureRecovery(Path directory) throws Exception {
        Path file = directory.resolve("many");
        var source = new EntrySource();
        try (var store = new MvStoreLedger(file)) {
            for (int written = 0; written < entryCount; written += 4096)
                store.append(source.nextLines(Math.min(4096, entryCount - written)));
        }
        long heapBeforeBytes = usedHeapBytes();
        long startNs = System.nanoTime();
        long openedNs;
        long recoveredNs;
        long heapHeldBytes;
        try (var store = new MvStoreLedger(file)) {
            openedNs = System.nanoTime();
            var clerk =
                    new AttemptLedger("0", "h", new AttemptLedger.Settings(3.6e6, 6e4, 1000, 500, 200, 1e4, 6e5, 5000));
            store.scan(
                    line -> clerk.recover(Entry.decode(SealedEntry.parse(line).text())));
            recoveredNs = System.nanoTime();
            heapHeldBytes = usedHeapBytes() - heapBeforeBytes;
            output(
                    "ledger: %d entries (%d MB): opened and indexed in %.1f s, recovered in another %.1f s, %d MB of heap used, "
                            + "%d unsettled",
                    entryCount,
                    Files.size(file) >> 20,
                    (openedNs - startNs) / 1e9,
                    (recoveredNs - openedNs) / 1e9,
                    heapHeldBytes >> 20,
                    clerk.unsettled());
        }
        measureExport(file);
    }

    /** Measures how long the export of all entries to a billing endpoint takes. */
    private void measureExport(Path file) throws Exception {
        Vertx gatewayVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        Vertx billingVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        try {
            var billing = new BillingServer(billingVertx, 1);
            billing.start().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
            var clock = new WallClock();
            var keeper = new LedgerService[1];
            long startNs = System.nanoTime();
            var started = new java.util.concurrent.CompletableFuture<Void>();
            var store = new MvStoreLedger(file);
            gatewayVertx.runOnContext(v -> {
                var hosts = new HttpHostClient(
                        gatewayVertx,
                        Measurement.gatewayConfig("http://127.0.0.1:1/").settings(),
                        1000,
                        clock);
                keeper[0] = new LedgerService(
                        gatewayVertx,
                        new LedgerService.Settings(
                                "0",
                                "x",
                                billing.url(),
                                new AttemptLedger.Settings(3.6e6, 6e4, 1000, 500, 200, 1e4, 6e5, 5000),
                                null),
                        KEYS,
                        store,
                        new Outbox(new Outbox.Settings(2000, 50, 1000, 1_000_000, 1000), 1),
                        hosts,
                        clock,
                        h -> h);
                keeper[0].start().onComplete(x -> started.complete(null));
            });
            started.get(300, TimeUnit.SECONDS);
            long exportStartNs = System.nanoTime();
            while (true) {
                var remaining = new java.util.concurrent.CompletableFuture<Long>();
                gatewayVertx.runOnContext(
                        v -> remaining.complete(keeper[0].counts().pendingExport()));
                if (remaining.get() == 0) break;
                Thread.sleep(20);
            }
            double seconds = (System.nanoTime() - exportStartNs) / 1e9;
            output(
                    "ledger: exported %d entries in %.1f s, %.0f per second, in batches of 2000 (start took %.1f s)",
                    entryCount, seconds, entryCount / seconds, (exportStartNs - startNs) / 1e9);
            var stopped = new java.util.concurrent.CompletableFuture<Void>();
            gatewayVertx.runOnContext(v -> keeper[0].stop().onComplete(x -> stopped.complete(null)));
            stopped.get(10, TimeUnit.SECONDS);
        } finally {
            gatewayVertx.close();
            billingVertx.close();
        }
    }

    private static long usedHeapBytes() throws InterruptedException {
        for (int i = 0; i < 4; i++) {
            System.gc();
            Thread.sleep(50);
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
