package trestleline.rtsp;

/**
 * Detects from connections alone whether a host's process is alive, and so whether the sessions that play there are
 * over. No probe is sent for this, as probes are charged for. Does no I/O and reads no clock; times are in ms.
 */
final class HostLiveness {
    /** What a failed connect means for the sessions that play at the host. */
    enum Verdict {
        UNKNOWN,
        LOST,
        SILENT
    }

    /** A host with sessions from which nothing was received for this long (ms) has to accept a connection. */
    static final double MAX_SILENCE_MS = 3000;
    /** Consecutive failed connects after which a host counts as silent. */
    static final int MAX_FAILED_CONNECTS = 3;
    /**
     * Time (ms) after which sessions at a host that is no longer listed are over: its last messages may still be on
     * their way until then.
     */
    static final double DELISTED_GRACE_MS = 700;

    /**
     * Time (ms) after the loss of all connections for which it is open whether the process that accepts the next one is
     * the same. The host list names a host that has gone within that time.
     */
    static final double IDENTITY_DOUBT_MS = 5000;

    /** When the last connection was established or the last bytes were received. */
    private double heard;

    private double delistedAt = Double.POSITIVE_INFINITY;
    private int failedConnects;
    private double identityDoubtedUntil = Double.NEGATIVE_INFINITY;

    HostLiveness(double now) {
        heard = now;
    }

    /** Records that a connection was established, or that bytes were received on one. */
    void heard(double now) {
        heard = now;
        failedConnects = 0;
    }

    /** Records that the host is no longer listed; from then on it needs no liveness check. The first call counts. */
    void markDelisted(double now) {
        delistedAt = Math.min(delistedAt, now);
    }

    boolean isListed() {
        return delistedAt == Double.POSITIVE_INFINITY;
    }

    /** Whether the host is no longer listed and its last messages have had time to arrive. */
    boolean delistedGraceOver(double now) {
        return now - delistedAt > DELISTED_GRACE_MS;
    }

    /**
     * Whether a host with sessions has to accept a new connection: there is none on which it could report the end of a
     * session, or nothing was received from it for too long.
     */
    boolean needsCheck(double now, boolean connected) {
        return isListed() && (!connected || now - heard > MAX_SILENCE_MS);
    }

    /**
     * Records that a connect failed. If it was refused, nothing listens there: the process died and its sessions ended
     * with it. Otherwise nothing is known until several connects in a row have failed, as a living host loses some too.
     */
    Verdict connectFailed(boolean refused) {
        if (refused) return Verdict.LOST;
        return ++failedConnects >= MAX_FAILED_CONNECTS ? Verdict.SILENT : Verdict.UNKNOWN;
    }

    /**
     * Records that the last open connection broke, or that a connect was refused. An address says nothing of the
     * process that listens there: another host's may have come up at it.
     */
    void allConnectionsLost(double now) {
        identityDoubtedUntil = now + IDENTITY_DOUBT_MS;
    }

    /** Records a proof that the process is the host's: it knows of a session, or the list tells of its start. */
    void identityProved() {
        identityDoubtedUntil = Double.NEGATIVE_INFINITY;
    }

    /** Whether what accepts connections at the host's address can be taken for the host. */
    boolean isIdentityKnown(double now) {
        return now >= identityDoubtedUntil;
    }
}
