package trestleline.ledger.store;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The only thread that uses a store. Lines that wait while a group is written form the next group, so that one sync
 * serves many lines. A group that failed is retried unchanged until it is durable; how many lines may wait is limited
 * by {@link trestleline.ledger.AttemptLedger}.
 */
public final class LedgerWriter {
    /** Receives results of writes, on the writer's thread. */
    public interface Listener {
        /** All lines up to this sequence number are durable. */
        void onDurable(long lastSeq);

        /** A group could not be written and will be retried. */
        void onFailure(IOException cause);
    }

    /** A job that uses the store. */
    public interface Job<T> {
        /** Runs on the writer's thread; an exception fails the job's future. */
        T run(LedgerStore store) throws IOException;
    }

    private static final Logger LOG = LoggerFactory.getLogger(LedgerWriter.class);
    private static final int MAX_GROUP_LINES = 4096;
    private static final long RETRY_MS = 50;
    private final LedgerStore store;
    private final Listener listener;
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "ledger-writer");
        thread.setDaemon(true);
        return thread;
    });
    private final ArrayDeque<String> pendingLines = new ArrayDeque<>();
    private final ArrayDeque<Long> pendingSeqs = new ArrayDeque<>();
    private boolean scheduled;

    /** Creates a writer with its own daemon thread; from now on the store must be used through it only. */
    public LedgerWriter(LedgerStore store, Listener listener) {
        this.store = store;
        this.listener = listener;
    }

    /** Queues a line to be stored after all lines queued before it. Thread-safe. */
    public synchronized void add(long seq, String line) {
        pendingLines.addLast(line);
        pendingSeqs.addLast(seq);
        schedule(0);
    }

    private synchronized void schedule(long delayMs) {
        if (scheduled || pendingLines.isEmpty() || executor.isShutdown()) return;
        scheduled = true;
        executor.schedule(this::write, delayMs, TimeUnit.MILLISECONDS);
    }

    private void write() {
        List<String> group = new ArrayList<>();
        long lastSeq = -1;
        synchronized (this) {
            var seqs = pendingSeqs.iterator();
            for (String line : pendingLines) {
                if (group.size() == MAX_GROUP_LINES) break;
                group.add(line);
                lastSeq = seqs.next();
            }
        }
        try {
            store.append(group);
        } catch (IOException e) {
            LOG.atError()
                    .addKeyValue("cause", e.getMessage())
                    .addKeyValue("lines", group.size())
                    .log("ledger write failed, will be retried");
            listener.onFailure(e);
            synchronized (this) {
                scheduled = false;
                schedule(RETRY_MS);
            }
            return;
        }
        synchronized (this) {
            for (int i = 0; i < group.size() && !pendingLines.isEmpty(); i++) { // empty if kill() cleared it meanwhile
                pendingLines.removeFirst();
                pendingSeqs.removeFirst();
            }
            scheduled = false;
            schedule(0);
        }
        listener.onDurable(lastSeq);
    }

    /** Runs a job on the writer's thread, after the writes and jobs scheduled before it. */
    public <T> CompletableFuture<T> submit(Job<T> job) {
        var result = new CompletableFuture<T>();
        executor.execute(() -> {
            try {
                result.complete(job.run(store));
            } catch (IOException | RuntimeException e) {
                result.completeExceptionally(e);
            }
        });
        return result;
    }

    /**
     * Writes the lines that wait, runs a last job and closes the store. Nothing is retried: if a step fails, the store
     * is closed without flushing and the future fails.
     */
    public CompletableFuture<Void> close(Job<?> lastJob) {
        var result = new CompletableFuture<Void>();
        executor.execute(() -> {
            try {
                List<String> remaining;
                synchronized (this) {
                    remaining = List.copyOf(pendingLines);
                }
                if (!remaining.isEmpty()) store.append(remaining);
                lastJob.run(store);
                store.close();
                result.complete(null);
            } catch (IOException e) {
                store.closeWithoutFlush();
                result.completeExceptionally(e);
            }
        });
        executor.shutdown();
        return result;
    }

    /** Stops at once, as a crash does: lines that wait are lost. */
    public void kill() {
        synchronized (this) {
            pendingLines.clear();
            pendingSeqs.clear();
        }
        executor.execute(store::closeWithoutFlush);
        executor.shutdown();
    }
}
