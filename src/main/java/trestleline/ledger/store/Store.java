package trestleline.ledger.store;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

/** A place for sealed lines, in order. Used by one thread. */
public interface Store extends AutoCloseable {
    /** Adds lines; when it returns they survive any crash. When it throws, all, some or none of them may be there. */
    void append(List<String> lines) throws IOException;

    /** Lines stored, after bases; see {@link #compact}. */
    long size();

    /** Every line in the order stored. */
    void scan(Consumer<String> line) throws IOException;

    /** Lines {@code from} (included) to {@code to} (excluded) of one generation, fewer if there are fewer. */
    List<String> range(String generation, long from, long to) throws IOException;

    /** Entries of a generation: its next sequence. */
    long next(String generation);

    /** Generations in the order of their starts. */
    List<String> generations();

    /** Keeps a generation's newest {@link trestleline.ledger.Head} beside the entries; when it returns it survives any crash. */
    void anchor(String generation, String head) throws IOException;

    /** The heads kept, one a generation at most. */
    List<String> anchors();

    /** Lets go of the file as a crash would: what was not yet safe is not made so. */
    void abandon();

    @Override
    void close() throws IOException;
}
