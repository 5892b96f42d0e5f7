package trestleline.core;

/** Why a playing session ended. */
public enum EndReason {
    /** The title was delivered to its end. */
    PLAYED_OUT,
    /** The viewer stopped fetching for longer than its buffer can last, or announced that it leaves. */
    VIEWER_GONE,
    /** The connection to the host broke, or the host no longer knows the session. */
    HOST_LOST,
    /** The host stopped answering. */
    HOST_SILENT,
    /** The module moved the session off its host; the viewer has to ask again. */
    MOVED,
    /** The gateway shuts down. */
    SHUTDOWN
}
