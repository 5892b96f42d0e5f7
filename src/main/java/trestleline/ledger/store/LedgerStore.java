package trestleline.ledger.store;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

/** Stores the sealed lines of a ledger in their order. Not thread-safe: used by one thread. */
public interface LedgerStore extends AutoCloseable {
    /**
     * Appends lines; once it returns they are durable. When it throws, all, some or none of them may be stored.
     *
     * @throws IOException if the store can't be written
     */
    void append(List<String> lines) throws IOException;

    /** Number of lines stored, without those that compaction removed. */
    long size();

    /** The line of the {@link trestleline.ledger.CompactionBase} that replaces removed entries, or null. */
    String base();

    /**
     * Removes the oldest lines and stores a base that replaces these and everything the previous base replaced. Atomic:
     * after a crash all of it is done or nothing.
     *
     * @param base line of the new base
     * @param lines number of lines to remove
     * @throws IOException if the store can't be written
     */
    void compact(String base, int lines) throws IOException;

    /**
     * The oldest lines stored after the base, at most {@code most}.
     *
     * @throws IOException if the store can't be read
     */
    List<String> oldest(int most) throws IOException;

    /**
     * Passes every line stored to a consumer, in the order stored.
     *
     * @throws IOException if the store can't be read
     */
    void scan(Consumer<String> line) throws IOException;

    /**
     * The lines of one generation from sequence number {@code from} (inclusive) to {@code to} (exclusive), as far as
     * they are stored.
     *
     * @throws IOException if the store can't be read
     */
    List<String> range(String generation, long from, long to) throws IOException;

    /** The sequence number after a generation's last entry; 0 for a generation that is not stored. */
    long nextSeq(String generation);

    /** Generations in the order in which they started. */
    List<String> generations();

    /**
     * Stores the line of a generation's newest {@link trestleline.ledger.Head}; once it returns the head is durable.
     *
     * @throws IOException if the store can't be written
     */
    void storeHead(String generation, String head) throws IOException;

    /** The lines of the stored heads, at most one for each generation. */
    List<String> heads();

    /** Closes the file as a crash would: what is not durable yet is not written. */
    void closeWithoutFlush();

    @Override
    void close() throws IOException;
}
