package trestleline.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What {@link PlacementPolicy} remembers of bandwidth pools, hosts and sessions: plain data without decisions. Times
 * are milliseconds on the clock of the events, rates kB a second.
 */
final class State {
    private State() {}

    /**
     * Bandwidth that all gateways share, as this gateway accounts for it: a host's link, a rack's uplink or the whole
     * fleet.
     */
    static final class BandwidthPool {
        /** Total capacity (kB/s), 0 until the first host list. */
        double capacityKb;
        /** This gateway's fair share of the capacity (kB/s). */
        double fairShareKb;
        /** How much this gateway may use at present (kB/s): the fair share corrected by shortages and reports. */
        double budgetKb;
        /** What this gateway's sessions and its freed shares use (kB/s). */
        double ownUseKb;

        double lastShortageAt = Double.NEGATIVE_INFINITY;
        /** Whether the utilisation of the pool was ever reported. */
        boolean hasReports;
        /** Random fraction of a rung's step, from 0 to 1, that is added to the budget; drawn anew at a cut. */
        double roundingFraction = 0.5;

        double roundingDrawnAt = Double.NEGATIVE_INFINITY;
        /** Recent values of the own use: pairs of the time of a change and the use up to then. */
        final ArrayDeque<double[]> useHistory = new ArrayDeque<>();
    }

    /** A media host as listed, with what this gateway observed of it. */
    static final class MediaHost {
        final String id;
        final BandwidthPool link = new BandwidthPool();
        /** Sessions that play or are being set up at the host, by request. */
        final Map<Long, Session> sessions = new LinkedHashMap<>();

        Placement.HostEntry entry;
        boolean running;
        /** Whether the latest complete list leaves the host out. */
        boolean unlisted;
        /** Rank among the candidates of the request at hand. */
        double score;
        /** Start time as listed. */
        double startedAt;
        /** When the host answered again after its connections had been lost. */
        double recoveredAt = Double.NEGATIVE_INFINITY;

        double lastSetUpAt = Double.NEGATIVE_INFINITY;
        /** No set-up is sent before this time: the circuit breaker is open. */
        double circuitOpenUntil = Double.NEGATIVE_INFINITY;

        double lastShortageAt = Double.NEGATIVE_INFINITY;
        double lastProbedAt;
        /** Moving estimate, from 0 to 1, of how reliably the host answers set-ups. */
        double reliability = 1;

        int consecutiveFailures;
        /** Whether connections to the host failed or were reset and no set-up was answered since. */
        boolean connectionLost;
        /** Whether a session that another process of this gateway opened was resumed at the host. */
        boolean hadResumedSession;

        MediaHost(String id) {
            this.id = id;
        }
    }

    /** A viewer's session: its request, attempts and rung. */
    static final class Session {
        final Placement.SessionRequest request;
        final int classIndex;
        final double deadline;
        /** What the request counts in the result: the worth of its class, reduced beyond the tenant's share. */
        final double weight;

        final List<MediaHost> triedHosts = new ArrayList<>();
        /** Host of the current attempt or of the playing session, or null. */
        MediaHost host;

        int rung;
        /** Number of the latest attempt, counted from 0; -1 before the first. */
        int attemptIndex = -1;

        boolean playing;
        /** Whether an attempt is sent and not answered yet. */
        boolean awaitingAnswer;
        /** Whether some attempt may have taken effect at its host. */
        boolean mayHaveRun;

        double playingSince;
        double sentAt;
        /** When the latest attempt that may have taken effect was sent. */
        double mayHaveRunSince;
        /** Host of the latest attempt that may have taken effect. */
        MediaHost mayHaveRunAt;

        Session(Placement.SessionRequest request, int classIndex, double now, double weight) {
            this.request = request;
            this.classIndex = classIndex;
            this.weight = weight;
            this.deadline = now + request.ttl();
        }
    }

    /** Bandwidth (kB/s) that a session which just ended leaves to the next one of its class, until it expires. */
    record FreedShare(int classIndex, MediaHost host, int rung, double rate, double expiresAt) {}
}
