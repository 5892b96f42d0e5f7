package trestleline.signaling;

/**
 * Accounts for the memory of the set-ups that have no answer yet, queued or pending, against one limit over all
 * connections. Each connection has a small share that the others cannot use up, so that a flood on some connections
 * does not keep the set-ups of the others out. Free of I/O.
 */
final class SetUpMemory {
    /** Limit over all connections, apart from their own shares, bytes. */
    static final long MAX_TOTAL_BYTES = 8L << 20;
    /** Limit of one connection, bytes. */
    static final long MAX_CONNECTION_BYTES = 1 << 20;
    /** Each connection's own share, bytes; one set-up is admitted whatever its size. */
    static final long CONNECTION_SHARE_BYTES = 8 << 10;
    /** Memory of a pending set-up in this front, the core, the decision module and the host client, bytes. */
    private static final int SET_UP_OVERHEAD_BYTES = 2500;

    /** What one connection has reserved. */
    static final class Account {
        private long bytes;

        /** Bytes reserved at present. */
        long bytes() {
            return bytes;
        }
    }

    private long totalBytes;

    /** Estimated memory of a set-up until it is answered, bytes. */
    static int bytesOf(SetUpReader.SetUp setUp) {
        return SET_UP_OVERHEAD_BYTES + setUp.payload().description().length;
    }

    /** Reserves memory for a set-up unless a limit would be exceeded; returns whether it did. */
    boolean tryReserve(Account account, int bytes) {
        boolean withinShare = account.bytes == 0 || account.bytes + bytes <= CONNECTION_SHARE_BYTES;
        boolean withinLimits = account.bytes + bytes <= MAX_CONNECTION_BYTES && totalBytes + bytes <= MAX_TOTAL_BYTES;
        if (!withinShare && !withinLimits) return false;
        account.bytes += bytes;
        totalBytes += bytes;
        return true;
    }

    /** Returns memory that was reserved. */
    void release(Account account, int bytes) {
        account.bytes -= bytes;
        totalBytes -= bytes;
    }

    /** Bytes reserved by all connections. */
    long totalBytes() {
        return totalBytes;
    }
}
