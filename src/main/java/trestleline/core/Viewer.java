package trestleline.core;

/**
 * Receiver of the answer to one request, implemented by each front. Exactly one of {@link #granted}, {@link #refused}
 * and {@link #failed} is called, once, unless the viewer leaves first.
 */
public interface Viewer {
    /** The session has begun to play. */
    void granted(Session session);

    /**
     * The request was refused; repeating it is safe.
     *
     * @param retryAfterMs advised time (ms) to wait before repeating it, or 0 if none is advised
     */
    void refused(double retryAfterMs);

    /** The request failed. This makes no statement on whether it ran at a host. */
    void failed();

    /**
     * A granted session ended. Not called if the viewer left by itself, unless the host reported that first.
     *
     * @param session the session
     * @param reason why it ended
     */
    void ended(Session session, EndReason reason);
}
