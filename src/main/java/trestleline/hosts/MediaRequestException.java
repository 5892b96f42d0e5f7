package trestleline.hosts;

import trestleline.core.EndReason;

/** Thrown when a piece of media could not be fetched from the session's host. */
public final class MediaRequestException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final EndReason sessionEnd;

    MediaRequestException(String message, EndReason end) {
        super(message, null, false, false);
        this.sessionEnd = end;
    }

    /** Returns how this ended the session, or null if the session goes on and the piece may be requested again. */
    public EndReason sessionEnd() {
        return sessionEnd;
    }
}
