package trestleline.ledger.store;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

/** A store that fails, or waits, when told to: before it wrote, or after. */
public final class FaultyStore implements Store {
    private final Store in;
    /** So many appends fail before or after they wrote. */
    public volatile int failBefore, failAfter;
    /** Appends wait for it. */
    public volatile CountDownLatch held = new CountDownLatch(0);

    public FaultyStore(Store in) {
        this.in = in;
    }

    @Override
    public void append(List<String> lines) throws IOException {
        try {
            held.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        if (failBefore > 0) {
            failBefore--;
            throw new IOException("no space left on device");
        }
        in.append(lines);
        if (failAfter > 0) {
            failAfter--;
            throw new IOException("sync failed");
        }
    }

    @Override
    public long size() {
        return in.size();
    }

    @Override
    public void scan(Consumer<String> line) throws IOException {
        in.scan(line);
    }

    @Override
    public List<String> range(String generation, long from, long to) throws IOException {
        return in.range(generation, from, to);
    }

    @Override
    public long next(String generation) {
        return in.next(generation);
    }

    @Override
    public List<String> generations() {
        return in.generations();
    }

    @Override
    public void abandon() {
        in.abandon();
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
