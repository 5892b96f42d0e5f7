package trestleline.core;

import trestleline.placement.Placement;

/** A playing session. Its rung may change at any time; a front reads it before each media segment. */
public final class Session {
    private final Attempt attempt;
    private final double startedAt;
    int rung;
    boolean open = true;
    byte[] hostDescription = new byte[0];

    Session(Attempt attempt, int rung, double startedAtMs) {
        this.attempt = attempt;
        this.rung = rung;
        this.startedAt = startedAtMs;
    }

    /** Returns the attempt that set the session up; its id names the session at the host. */
    public Attempt attempt() {
        return attempt;
    }

    /** Returns the viewer's request. */
    public Placement.SessionRequest request() {
        return attempt.request();
    }

    /** Returns the name of the host that plays the session. */
    public String host() {
        return attempt.host();
    }

    /** Returns the rung in force, an index into the ladder. */
    public int rung() {
        return rung;
    }

    /** Returns the description in the host's answer, unchanged; empty except during {@link Viewer#granted}. */
    public byte[] hostDescription() {
        return hostDescription;
    }

    /** Returns the clock reading (ms) at which the session began to play. */
    public double startedAt() {
        return startedAt;
    }

    /** Returns false once the session has ended; nothing may be fetched for it then. */
    public boolean open() {
        return open;
    }
}
