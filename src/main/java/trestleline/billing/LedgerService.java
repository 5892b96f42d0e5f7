package trestleline.billing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.UnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trestleline.core.Attempt;
import trestleline.core.AttemptJournal;
import trestleline.core.MediaHosts;
import trestleline.core.Outcome;
import trestleline.hosts.ReceiptSource;
import trestleline.ledger.AttemptLedger;
import trestleline.ledger.Compaction;
import trestleline.ledger.CompactionBase;
import trestleline.ledger.Entry;
import trestleline.ledger.Head;
import trestleline.ledger.Outbox;
import trestleline.ledger.SealedEntry;
import trestleline.ledger.SealingKeys;
import trestleline.ledger.store.LedgerStore;
import trestleline.ledger.store.LedgerWriter;

/**
 * Runs the ledger of one gateway: carries out what {@link AttemptLedger}, {@link Outbox} and {@link Compaction} decide
 * on the gateway's event loop and uses the store on a thread of its own. Exports entries to billing and queries media
 * hosts for receipts (docs/ledger-wire.md).
 */
public final class LedgerService implements AttemptJournal {
    private static final Logger LOG = LoggerFactory.getLogger(LedgerService.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long TICK_MS = 50;
    private static final int BILLING_TIMEOUT_MS = 1000;
    /** Most entries removed in one compaction step. */
    private static final int COMPACTION_BATCH = 500;

    private static final double COMPACTION_RETRY_MS = 10_000;

    /**
     * Settings of the ledger.
     *
     * @param gateway name of the gateway
     * @param generation name of this run of the gateway; never reused
     * @param billingUrl address of billing; empty without billing
     * @param attempts settings of the attempt ledger
     * @param retention how long entries are kept; null keeps every entry
     */
    public record Settings(
            String gateway,
            String generation,
            String billingUrl,
            AttemptLedger.Settings attempts,
            Compaction.Retention retention) {}

    /**
     * Counters for operators.
     *
     * @param entries entries stored at the start and written since
     * @param backlog entries not yet durable
     * @param unsettled attempts not settled
     * @param expiredQueries attempts of unknown outcome that hosts are no longer queried about
     * @param refusedIntents paid set-ups refused because of the ledger
     * @param compacted entries that compaction removed; 0 until the first compaction since the start
     * @param pendingExport entries that billing has not acknowledged, of generations that are not blocked
     * @param blockedGenerations generations that are not exported, and why
     */
    public record Counts(
            long entries,
            int backlog,
            int unsettled,
            long expiredQueries,
            long refusedIntents,
            long compacted,
            long pendingExport,
            Map<String, Outbox.ExportBlock> blockedGenerations) {}

    private final Vertx vertx;
    private final Context eventLoop;
    private final Settings settings;
    private final SealingKeys keys;
    private final AttemptLedger attemptLedger;
    private final Outbox outbox;
    private final LedgerWriter writer;
    private final ReceiptSource receipts;
    private final DoubleSupplier clock;
    private final HttpClientAgent client;
    private final UnaryOperator<Head> headFilter;
    private final Set<String> queriedHosts = new HashSet<>();
    /** Attempts of earlier generations settled in this one; at most those that they left unsettled or lost. */
    private final Set<String> settledHere = new HashSet<>();

    private String lastSeal = SealedEntry.NO_PREDECESSOR;
    /** The head computed last; used on the store's thread only. */
    private Head lastHead;

    private double receiptsSince;
    private double nextCompactionAt;
    private long entryCount;
    private long compactedCount;
    private boolean stopped;
    private boolean ready;
    private boolean exportTimerSet;
    private boolean compacting;

    /**
     * Creates the service; nothing is read or written before {@link #start}.
     *
     * @param clock time, ms since the epoch
     * @param headFilter applied to each head before it is signed; the identity outside of tests
     */
    public LedgerService(
            Vertx vertx,
            Settings settings,
            SealingKeys keys,
            LedgerStore store,
            Outbox outbox,
            ReceiptSource receipts,
            DoubleSupplier clock,
            UnaryOperator<Head> headFilter) {
        this.headFilter = headFilter;
        this.vertx = vertx;
        this.eventLoop = vertx.getOrCreateContext();
        this.settings = settings;
        this.keys = keys;
        this.receipts = receipts;
        this.clock = clock;
        attemptLedger = new AttemptLedger(settings.gateway(), settings.generation(), settings.attempts());
        this.outbox = outbox;
        client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(1000).setKeepAlive(false),
                new PoolOptions().setHttp1MaxSize(2).setMaxWaitQueueSize(4));
        writer = new LedgerWriter(store, new LedgerWriter.Listener() {
            @Override
            public void onDurable(long lastSeq) {
                eventLoop.runOnContext(v -> {
                    attemptLedger.recordDurable(lastSeq);
                    outbox.recordDurable(settings.generation(), lastSeq + 1);
                    export();
                });
            }

            @Override
            public void onFailure(IOException cause) {
                eventLoop.runOnContext(v -> attemptLedger.recordStoreFailure());
            }
        });
    }

    private record Recovered(
            long entries, Map<String, Long> nextSeqs, CompactionBase base, String lastEntry, double newestEventAt) {}

    /** Recovers the entries of earlier generations, writes the start of this one, and begins to export. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        writer.submit(store -> {
                    String[] lastEntry = {SealedEntry.NO_PREDECESSOR};
                    double[] newestEventAt = {0};
                    CompactionBase base =
                            store.base() == null ? CompactionBase.NONE : CompactionBase.parse(store.base());
                    attemptLedger.recover(base);
                    newestEventAt[0] = base.newest();
                    store.scan(line -> {
                        SealedEntry sealed = SealedEntry.parse(line);
                        Entry entry = Entry.decode(sealed.text());
                        attemptLedger.recover(entry); // no other thread uses it before the start is done
                        lastEntry[0] = entry.position() + ":" + sealed.mac();
                        newestEventAt[0] = Math.max(newestEventAt[0], entry.eventAt());
                    });
                    Map<String, Long> nextSeqs = new LinkedHashMap<>();
                    for (String generation : store.generations()) nextSeqs.put(generation, store.nextSeq(generation));
                    return new Recovered(store.size(), nextSeqs, base, lastEntry[0], newestEventAt[0]);
                })
                .whenComplete((recovered, error) -> eventLoop.runOnContext(v -> {
                    if (error != null) {
                        started.fail(error);
                        return;
                    }
                    recovered.nextSeqs().forEach(outbox::recordDurable);
                    recovered
                            .base()
                            .ends()
                            .forEach((generation, end) -> outbox.recordCompacted(generation, end.next()));
                    entryCount = recovered.entries();
                    receiptsSince =
                            recovered.newestEventAt() - settings.attempts().queryTimeoutMs();
                    append(attemptLedger.start(recovered.lastEntry(), clock.getAsDouble()));
                    ready = true;
                    tick();
                    started.complete();
                }));
        return started.future();
    }

    private void append(Entry entry) {
        if (entry == null) return;
        SealedEntry sealed = SealedEntry.seal(keys, lastSeal, entry);
        lastSeal = sealed.mac();
        entryCount++;
        writer.add(entry.seq(), sealed.line());
    }

    // Attempt journal

    private static AttemptLedger.PaidAttempt paidAttempt(Attempt attempt) {
        return new AttemptLedger.PaidAttempt(
                attempt.id(),
                attempt.request().tenant(),
                attempt.request().service(),
                attempt.request().title(),
                attempt.request().key(),
                attempt.host());
    }

    @Override
    public void recordIntent(Attempt attempt) {
        if (ready && !stopped) append(attemptLedger.recordIntent(paidAttempt(attempt), clock.getAsDouble()));
    }

    @Override
    public MediaHosts.WriteDecision checkIntent(Attempt attempt) {
        if (!ready) return MediaHosts.WriteDecision.WAIT;
        return switch (attemptLedger.checkIntent(attempt.id())) {
            case WRITE -> MediaHosts.WriteDecision.WRITE;
            case WAIT -> MediaHosts.WriteDecision.WAIT;
            case DROP -> MediaHosts.WriteDecision.DROP;
        };
    }

    @Override
    public void recordWritten(Attempt attempt) {
        if (ready) attemptLedger.recordWritten(attempt.id());
    }

    @Override
    public void recordOutcome(Attempt attempt, Outcome outcome) {
        if (ready && !stopped)
            append(attemptLedger.recordOutcome(
                    attempt.id(), outcome == Outcome.OK, outcome.neverRan(), clock.getAsDouble()));
    }

    // Periodic work

    private void tick() {
        if (stopped) return;
        double now = clock.getAsDouble();
        for (AttemptLedger.PaidAttempt paid : attemptLedger.dueReceiptQueries(now)) queryReceipt(paid);
        boolean closed = false;
        for (Entry close = attemptLedger.closeDuePeriod(now);
                close != null;
                close = attemptLedger.closeDuePeriod(now)) {
            append(close);
            closed = true;
        }
        if (closed) {
            writer.submit(this::storeHead);
            nextCompactionAt = 0; // the closed period may allow more entries to be removed
        }
        compact(now);
        queryHosts();
        export();
        vertx.setTimer(TICK_MS, timer -> tick());
    }

    /** Signs and stores the head of this generation beside its entries. Runs on the store's thread. */
    private Void storeHead(LedgerStore store) throws IOException {
        String generation = settings.generation();
        long next = store.nextSeq(generation);
        if (next > 0)
            store.storeHead(
                    generation, headFilter.apply(head(store, generation, next)).sign(keys));
        return null;
    }

    /**
     * The head of a generation before its entry {@code next}. Runs on the store's thread and continues from the head
     * computed last where that is possible.
     */
    private Head head(LedgerStore store, String generation, long next) throws IOException {
        if (lastHead == null || !lastHead.generation().equals(generation) || lastHead.seq() >= next) {
            lastHead = store.base() == null
                    ? null
                    : CompactionBase.parse(store.base()).head(generation);
        }
        lastHead = Head.of(lastHead, store.range(generation, lastHead == null ? 0 : lastHead.seq() + 1, next));
        if (lastHead == null || lastHead.seq() != next - 1) throw new IOException("entries are not stored");
        return lastHead;
    }

    /**
     * Compacts the store by a limited number of old entries at a time, so that no paid set-up waits long for the
     * store's thread.
     */
    private void compact(double now) {
        if (settings.retention() == null || compacting || now < nextCompactionAt) return;
        compacting = true;
        Map<String, Long> acknowledged = settings.billingUrl().isEmpty() ? null : outbox.acknowledged();
        long lastClosed = attemptLedger.lastClosedPeriod();
        writer.submit(store -> {
                    List<String> oldest = store.oldest(COMPACTION_BATCH);
                    CompactionBase previous =
                            store.base() == null ? CompactionBase.NONE : CompactionBase.parse(store.base());
                    long next = store.nextSeq(settings.generation());
                    double newestEventAt = store.range(settings.generation(), next - 1, next).stream()
                            .mapToDouble(line ->
                                    Entry.decode(SealedEntry.parse(line).text()).eventAt())
                            .reduce(previous.newest(), Math::max);
                    int removable = Compaction.removableLines(
                            settings.retention(),
                            oldest,
                            store.size() > oldest.size(),
                            lastClosed,
                            newestEventAt,
                            acknowledged);
                    if (removable == 0) return null;
                    CompactionBase base = previous.extend(oldest.subList(0, removable));
                    store.compact(base.sign(keys), removable);
                    return base;
                })
                .whenComplete((base, error) -> eventLoop.runOnContext(v -> {
                    compacting = false;
                    if (error != null)
                        LOG.atWarn()
                                .addKeyValue("cause", String.valueOf(error.getMessage()))
                                .log("ledger compaction failed");
                    if (base == null) {
                        // by then billing may have acknowledged more, or the store may work again
                        nextCompactionAt = clock.getAsDouble() + COMPACTION_RETRY_MS;
                        return;
                    }
                    base.ends().forEach((generation, end) -> outbox.recordCompacted(generation, end.next()));
                    compactedCount = base.entries();
                }));
    }

    /**
     * Queries the host of an attempt of unknown outcome whether it ran. A host that was queried about an attempt that
     * it does not know never runs it afterwards.
     */
    private void queryReceipt(AttemptLedger.PaidAttempt paid) {
        receipts.queryAttempt(paid.host(), paid.attempt()).onSuccess(ran -> {
            if (stopped) return;
            settledHere.add(paid.attempt());
            append(attemptLedger.recordReceipt(paid.attempt(), ran, clock.getAsDouble()));
        });
    }

    /**
     * Queries each known host once after a start for the attempts of earlier generations that ran there. A ledger that
     * was restored from an old copy lacks the entries of some of them.
     */
    private void queryHosts() {
        for (String host : receipts.hostNames()) {
            if (!queriedHosts.add(host)) continue;
            receipts.listReceipts(host, settings.gateway(), receiptsSince).onComplete(answer -> {
                if (stopped) return;
                if (answer.failed()) queriedHosts.remove(host);
                else
                    writer.submit(store -> unsettledReceipts(store, answer.result()))
                            .thenAccept(found -> eventLoop.runOnContext(v -> {
                                for (ReceiptSource.Receipt receipt : found) recordFoundReceipt(host, receipt);
                            }));
            });
        }
    }

    private void recordFoundReceipt(String host, ReceiptSource.Receipt receipt) {
        if (stopped
                || !settledHere.add(receipt.attempt())
                || receipt.attempt().startsWith(settings.gateway() + "-" + settings.generation() + "-")) return;
        append(attemptLedger.recordUnknownAttempt(
                new AttemptLedger.PaidAttempt(
                        receipt.attempt(),
                        receipt.tenant(),
                        receipt.service(),
                        receipt.title(),
                        receipt.viewer(),
                        host),
                receipt.ranAt(),
                clock.getAsDouble()));
    }

    /** Receipts of attempts that no stored entry settles as run. */
    private static List<ReceiptSource.Receipt> unsettledReceipts(LedgerStore store, List<ReceiptSource.Receipt> all)
            throws IOException {
        Map<String, ReceiptSource.Receipt> unsettled = new LinkedHashMap<>();
        for (ReceiptSource.Receipt receipt : all) unsettled.put(receipt.attempt(), receipt);
        if (!unsettled.isEmpty()) {
            store.scan(line -> {
                Entry entry = Entry.decode(SealedEntry.parse(line).text());
                if (entry.amount() > 0) unsettled.remove(entry.attempt());
            });
        }
        return List.copyOf(unsettled.values());
    }

    // Export to billing

    private void export() {
        if (stopped || !ready || settings.billingUrl().isEmpty()) return;
        Outbox.Step step = outbox.nextStep(clock.getAsDouble());
        if (step instanceof Outbox.FetchCursor) fetchCursor();
        else if (step instanceof Outbox.SendBatch batch) sendBatch(batch);
        else if (step instanceof Outbox.Wait wait && Double.isFinite(wait.until()) && !exportTimerSet) {
            exportTimerSet = true;
            vertx.setTimer((long) Math.max(1, Math.ceil(wait.until() - clock.getAsDouble())), timer -> {
                exportTimerSet = false;
                export();
            });
        }
    }

    private RequestOptions requestOptions(HttpMethod method, String path) {
        return new RequestOptions()
                .setAbsoluteURI(settings.billingUrl() + path)
                .setMethod(method)
                .setTimeout(BILLING_TIMEOUT_MS);
    }

    /** Sends a request to billing; fails with {@link ConflictException} on status 409. */
    private Future<Buffer> call(HttpMethod method, String path, Buffer body) {
        Promise<Buffer> promise = Promise.promise();
        long timer = vertx.setTimer(BILLING_TIMEOUT_MS, id -> promise.tryFail("no answer in time"));
        client.request(requestOptions(method, path))
                .compose(request -> body == null ? request.send() : request.send(body))
                .compose(response -> response.statusCode() == 200 || response.statusCode() == 409
                        ? response.body()
                                .compose(content -> response.statusCode() == 200
                                        ? Future.succeededFuture(content)
                                        : Future.failedFuture(new ConflictException()))
                        : Future.failedFuture("status " + response.statusCode()))
                .onComplete(answer -> {
                    vertx.cancelTimer(timer);
                    if (answer.succeeded()) promise.tryComplete(answer.result());
                    else promise.tryFail(answer.cause());
                });
        return promise.future();
    }

    private static final class ConflictException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        ConflictException() {
            super("billing holds other entries at that position", null, false, false);
        }
    }

    private void exportFailed(Throwable cause) {
        LOG.atInfo().addKeyValue("cause", String.valueOf(cause.getMessage())).log("export to billing failed");
        if (cause instanceof ConflictException) outbox.recordConflict(clock.getAsDouble());
        else outbox.recordFailure(clock.getAsDouble());
        export();
    }

    private void fetchCursor() {
        call(HttpMethod.GET, "/cursor?gateway=" + settings.gateway(), null).onComplete(answer -> {
            if (stopped) return;
            if (answer.failed()) {
                exportFailed(answer.cause());
                return;
            }
            Map<String, long[]> cursors = new LinkedHashMap<>();
            Map<String, String> seals = new LinkedHashMap<>();
            try {
                JsonNode generations = JSON.readTree(answer.result().getBytes()).path("generations");
                generations.fields().forEachRemaining(field -> {
                    cursors.put(
                            field.getKey(),
                            new long[] {field.getValue().path("next").asLong()});
                    seals.put(field.getKey(), field.getValue().path("mac").asText());
                });
            } catch (IOException e) {
                exportFailed(e);
                return;
            }
            compareSeals(cursors, seals)
                    .whenComplete((same, error) -> eventLoop.runOnContext(v -> {
                        if (stopped) return;
                        if (error != null) {
                            exportFailed(error);
                            return;
                        }
                        cursors.forEach(
                                (generation, next) -> outbox.recordCursor(generation, next[0], same.get(generation)));
                        outbox.completeCursors();
                        outbox.blockedGenerations()
                                .forEach((generation, block) -> LOG.atError()
                                        .addKeyValue("generation", generation)
                                        .addKeyValue("bar", block)
                                        .log("export of generation is blocked"));
                        export();
                    }));
        });
    }

    /** For each generation, whether billing's last seal is the one stored here at the same position. */
    private java.util.concurrent.CompletableFuture<Map<String, Boolean>> compareSeals(
            Map<String, long[]> cursors, Map<String, String> seals) {
        return writer.submit(store -> {
            Map<String, Boolean> same = new LinkedHashMap<>();
            for (String generation : cursors.keySet()) {
                long next = cursors.get(generation)[0];
                List<String> stored = next == 0 ? List.of() : store.range(generation, next - 1, next);
                CompactionBase.End end = store.base() == null
                        ? null
                        : CompactionBase.parse(store.base()).ends().get(generation);
                String seal = !stored.isEmpty()
                        ? SealedEntry.parse(stored.get(0)).mac()
                        : end != null && end.next() == next ? end.seal() : null;
                same.put(generation, seal == null || seal.equals(seals.get(generation)));
            }
            return same;
        });
    }

    private record Batch(List<String> lines, Head head) {}

    private void sendBatch(Outbox.SendBatch step) {
        writer.submit(store -> {
                    List<String> lines = store.range(step.generation(), step.from(), step.to());
                    return new Batch(lines, head(store, step.generation(), step.from() + lines.size()));
                })
                .whenComplete((batch, error) -> eventLoop.runOnContext(v -> {
                    if (stopped) return;
                    if (error != null || batch.lines().isEmpty()) {
                        exportFailed(error == null ? new IOException("entries are not stored") : error);
                        return;
                    }
                    List<String> lines = batch.lines();
                    String path = "/batches?gateway=" + settings.gateway() + "&generation=" + step.generation()
                            + "&from=" + step.from();
                    // each batch carries a head, so that billing can prove its end even if the file here is lost
                    List<String> content = new java.util.ArrayList<>(lines);
                    content.add(headFilter.apply(batch.head()).sign(keys));
                    call(HttpMethod.POST, path, Buffer.buffer(String.join("\n", content) + "\n"))
                            .onComplete(answer -> {
                                if (stopped) return;
                                if (answer.failed()) {
                                    exportFailed(answer.cause());
                                    return;
                                }
                                try {
                                    JsonNode node =
                                            JSON.readTree(answer.result().getBytes());
                                    long next = node.path("next").asLong();
                                    int last = (int) (next - step.from()) - 1;
                                    boolean same = last < 0
                                            || last >= lines.size()
                                            || SealedEntry.parse(lines.get(last))
                                                    .mac()
                                                    .equals(node.path("mac").asText());
                                    if (!node.path("generation").asText().equals(step.generation()))
                                        throw new IOException("answer to another batch");
                                    outbox.acknowledged(step.generation(), next, same);
                                    export();
                                } catch (IOException e) {
                                    exportFailed(e);
                                }
                            });
                }));
    }

    // Counters and shutdown

    /** The current counters; must be called on the event loop. */
    public Counts counts() {
        return new Counts(
                entryCount,
                attemptLedger.backlog(),
                attemptLedger.unsettled(),
                attemptLedger.expiredQueries(),
                attemptLedger.refusedIntents(),
                compactedCount,
                outbox.pendingEntries(),
                outbox.blockedGenerations());
    }

    /** Stops in order: pending entries are written and the store is closed. Completes even if the store fails. */
    public Future<Void> stop() {
        stopped = true;
        client.close();
        Promise<Void> promise = Promise.promise();
        writer.close(this::storeHead).whenComplete((nothing, error) -> eventLoop.runOnContext(v -> promise.complete()));
        return promise.future();
    }

    /** Stops as a crash does: entries not yet written are lost. */
    public void kill() {
        stopped = true;
        writer.kill();
    }
}
