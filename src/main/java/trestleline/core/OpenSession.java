package trestleline.core;

import trestleline.placement.Placement;

/**
 * A playing session as one process of a gateway hands it over to the next.
 *
 * @param ask the viewer's request
 * @param host name of the host that plays the session
 * @param attempt id of the attempt that set the session up
 * @param rung the rung in force, or {@link #UNKNOWN_RUNG}
 * @param cargo what the viewer sent along for the host
 */
public record OpenSession(Placement.SessionRequest ask, String host, String attempt, int rung, RequestPayload cargo) {
    /** Rung of a session whose rung is not known yet; the host will report it. */
    public static final int UNKNOWN_RUNG = -1;

    /** Creates a record of a session whose request carried nothing for the host. */
    public OpenSession(Placement.SessionRequest ask, String host, String attempt, int rung) {
        this(ask, host, attempt, rung, RequestPayload.NONE);
    }
}
