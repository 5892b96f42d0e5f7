package trestleline.placement;

import java.util.List;
import java.util.Map;

/**
 * The interface of the decision module: the settings and events that a gateway passes in, and the actions that the
 * module returns. Times are in milliseconds and rates in kB per second. This class holds no decision logic.
 */
public final class Placement {
    private Placement() {}

    /** How often a set-up may take effect: any number of times, once per de-duplication group, or once. */
    public enum Effect {
        /** May be repeated freely. */
        PURE,
        /** May be repeated within its de-duplication group and window. */
        TOKEN,
        /** Must not be repeated once an attempt may have run. */
        SIDE_EFFECT
    }

    /**
     * The service levels and limits of one class of request.
     *
     * @param name the name that requests give as their service
     * @param targetLatency time within which a request should be answered, ms
     * @param targetStretch tolerance of the target; may be 0
     * @param deadline time within which a request must be answered, ms
     * @param effect how often a set-up may take effect
     * @param group scope of the host's de-duplication for {@link Effect#TOKEN}: {@code all}, {@code zone} or
     *     {@code cell}
     * @param dedupWindow time for which a host recognizes a repeated set-up, ms
     * @param worth weight of the class in the optimization
     * @param minRung lowest rung of the ladder that a session may get
     * @param maxRung highest rung of the ladder that a session may get
     * @param rateFactor factor from the ladder's rate to the rate of this class
     * @param maxSessionsPerTitle limit of concurrent sessions on one title; 0 means no limit
     * @param live whether the titles are live streams, which several viewers may share
     */
    public record RequestClass(
            String name,
            double targetLatency,
            double targetStretch,
            double deadline,
            Effect effect,
            String group,
            double dedupWindow,
            double worth,
            int minRung,
            int maxRung,
            double rateFactor,
            int maxSessionsPerTitle,
            boolean live) {}

    /**
     * A tenant and its share.
     *
     * @param name name of the tenant
     * @param quotaPerS requests per second over all gateways that count as within its share; 0 means no quota
     * @param fraction the tenant's share
     */
    public record Tenant(String name, double quotaPerS, double fraction) {}

    /**
     * The ladder of rates, from the lowest to the highest rung.
     *
     * @param ratesKb rate of each rung, kB per second
     * @param worth relative value of each rung
     * @param switchS cost of a change of rung, as seconds of the class's worth
     * @param shortfallCost part of the worth lost for each part of the rate that is not delivered
     * @param sharedStreamFactor part of the rate that a further viewer adds to a live stream at the same host and rung;
     *     1 means that streams are not shared
     */
    public record Ladder(
            double[] ratesKb, double[] worth, double switchS, double shortfallCost, double sharedStreamFactor) {}

    /**
     * The fleet of media hosts as configured at the start.
     *
     * @param positions number of host positions
     * @param racks number of racks; the position modulo this number is a host's rack
     * @param linksKb capacity of all host links, kB per second
     * @param rackLinkKb capacity of one rack's uplink, kB per second
     * @param linkUnitKb link capacity of a host of weight 1, kB per second
     * @param kinds kinds of host
     * @param sessionSlots sessions that a host can serve, in the order of {@code kinds}
     * @param guard load of its link at which a host refuses sessions; 0 means that it never does
     * @param weightKind what the weights of host entries say: {@code silent}, {@code nominal}, {@code rough} or
     *     {@code live}
     */
    public record Fleet(
            int positions,
            int racks,
            double linksKb,
            double rackLinkKb,
            double linkUnitKb,
            List<String> kinds,
            int[] sessionSlots,
            double guard,
            String weightKind) {}

    /**
     * Limits that a gateway has to keep.
     *
     * @param graceToAnswer time after a request's deadline by which it must be answered, ms
     * @param askEvery time to wait for updates of the host list, ms; a failed subscription is renewed after a quarter
     *     of it
     * @param freeRetries retries that are allowed in a window regardless of the number of requests
     * @param retryShare retries that are allowed for each request of the window
     * @param retryWindow length of the window of the retry budget, ms; 0 means that retries are not limited
     * @param coldShare part of its capacity that a host has right after its start
     * @param warmUp time from a host's start to its full capacity, ms; 0 means that hosts start warm
     * @param drainGrace time for which set-ups may still reach a host that is no longer listed as running, ms
     * @param overloadFactor factor on the rate of set-ups that a cold host's capacity allows
     * @param overloadWindow window in which set-ups at a cold host are counted, ms
     * @param maxAttempts attempts for one request, the first included
     * @param cancel whether attempts may be cancelled
     * @param probes whether hosts may be probed
     * @param retryAfter whether refusals advise when to come again
     * @param maxRetryAfter longest advised time, ms
     * @param connectTimeout time to wait for a connection to a host, ms
     */
    public record Rules(
            double graceToAnswer,
            double askEvery,
            double freeRetries,
            double retryShare,
            double retryWindow,
            double coldShare,
            double warmUp,
            double drainGrace,
            double overloadFactor,
            double overloadWindow,
            int maxAttempts,
            boolean cancel,
            boolean probes,
            boolean retryAfter,
            double maxRetryAfter,
            double connectTimeout) {}

    /** Points taken off the score for each kind of cost. */
    public record Penalties(double crossZone, double probe, double moves, double lateFail, double discovery) {}

    /**
     * All settings of one instance of the decision module.
     *
     * @param gatewayIndex index of this gateway, from 0
     * @param gatewayCount number of gateways that share the fleet
     * @param zone zone of this gateway
     * @param tick resolution of the times of events, ms
     * @param subscribesToHostList whether updates of the host list arrive only after a {@link Subscribe} action
     * @param observationDelay age of a reported load or delivered share on arrival, ms
     * @param reportInterval shortest time between the load reports of a host, ms; 0 means that none are passed on
     * @param reportFields fields of the load reports
     * @param reportVia how load reports arrive: {@code silent}, {@code piggyback} or {@code pull}
     * @param classes the classes of request
     * @param tenants the tenants and their shares
     * @param overShareWorth factor on the worth of requests beyond their tenant's share
     * @param ladder the ladder of rates
     * @param fleet the fleet of media hosts
     * @param rules the limits to keep
     * @param penalties the costs that the score counts
     */
    public record Settings(
            int gatewayIndex,
            int gatewayCount,
            String zone,
            double tick,
            boolean subscribesToHostList,
            double observationDelay,
            double reportInterval,
            List<String> reportFields,
            String reportVia,
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overShareWorth,
            Ladder ladder,
            Fleet fleet,
            Rules rules,
            Penalties penalties) {}

    /**
     * A media host as the host list has it.
     *
     * @param host name of the host
     * @param status {@code Running} for a host that accepts sessions, {@code Deleted} for one that is gone
     * @param kind kind of host, one of {@link Fleet#kinds}
     * @param startedAt when the host started, ms; 0 means long ago
     * @param zone zone of the host
     * @param weight weight of the host, see {@link Fleet#weightKind}
     * @param position position of the host in the fleet
     */
    public record HostEntry(
            String host, String status, String kind, double startedAt, String zone, double weight, int position) {}

    /**
     * A viewer's request for a session.
     *
     * @param req id of the request
     * @param service name of the request's class
     * @param tenant name of the tenant; may be empty
     * @param key key of the viewer, the same for each of its requests
     * @param title number of the title
     * @param ttl time left to answer the request, ms
     * @param hint expected length of the session as the viewer sent it, s; NaN if unknown
     * @param home first fleet position that holds the title
     * @param holders number of consecutive positions that hold the title
     * @param top highest rung that the viewer can use
     * @param marks flags of the request as bits
     */
    public record SessionRequest(
            long req,
            String service,
            String tenant,
            long key,
            long title,
            double ttl,
            double hint,
            int home,
            int holders,
            int top,
            int marks) {}

    /** What a gateway tells the decision module. */
    public sealed interface Event {}

    /**
     * The host list or changes to it.
     *
     * @param mode {@code patch} for changes, {@code broken} when the source was lost; otherwise the entries replace the
     *     list, and {@code stale_copy} marks a list that may be out of date
     * @param entries the listed hosts
     * @param version version of the list
     */
    public record HostListUpdate(String mode, List<HostEntry> entries, long version) implements Event {}

    /** A viewer requests a session. */
    public record NewRequest(SessionRequest ask) implements Event {}

    /** A session that another process of the gateway opened plays on at a host. */
    public record SessionResumed(SessionRequest ask, String host) implements Event {}

    /** A host accepted a set-up, and the session plays. {@code elapsed} is the time that the attempt took, ms. */
    public record SessionStarted(long req, int attemptIndex, String host, double elapsed) implements Event {}

    /**
     * An attempt, or the session that it set up, has ended.
     *
     * @param req id of the request
     * @param attemptIndex index of the attempt within the request, from 0
     * @param host the host of the attempt
     * @param elapsed time that the attempt took, or that the session played, ms
     * @param requestClosed whether the request needs no further attempt
     * @param code outcome of the attempt, such as {@code Ok} or {@code QueueFull}
     * @param report load that the host reported, by field; may be empty
     */
    public record AttemptEnded(
            long req,
            int attemptIndex,
            String host,
            double elapsed,
            boolean requestClosed,
            String code,
            Map<String, Double> report)
            implements Event {}

    /** The viewer of a request went away. */
    public record ViewerLeft(long req) implements Event {}

    /** The result of a probe: {@code code} is {@code Ok} for an answer; {@code report} is the load by field. */
    public record ProbeResult(String host, String code, double elapsed, Map<String, Double> report) implements Event {}

    /**
     * A host's notice about a playing session.
     *
     * @param req id of the request
     * @param attemptIndex index of the attempt that set the session up
     * @param host the host of the session
     * @param kind 1: delivered share of the rate, 2: rung in force, 3: use of the host's link, 4: use of the rack's
     *     uplink (both as requested rate over capacity)
     * @param value the value of that kind
     */
    public record HostNotice(long req, int attemptIndex, String host, int kind, double value) implements Event {}

    /** A message from another gateway. */
    public record PeerMessage(int sender, String content) implements Event {}

    /** A timer started by {@link StartTimer} has fired. */
    public record TimerFired(String tag) implements Event {}

    /** What the decision module asks its gateway to do. */
    public sealed interface Action {}

    /** Sends a set-up to a host; it is abandoned at {@code expiresAt}, or at the request's deadline if that is 0. */
    public record StartAttempt(long req, String host, double expiresAt) implements Action {}

    /** Probes a host for its load. */
    public record ProbeHost(String host) implements Action {}

    /**
     * Refuses a request that the viewer can safely repeat; {@code retryAfter} is the advised wait in ms, 0 for none.
     */
    public record Refuse(long req, double retryAfter) implements Action {}

    /** Fails a request without a statement on whether it had an effect. */
    public record Fail(long req) implements Action {}

    /** Ends a playing session, so that its viewer requests it again. */
    public record Evict(long req) implements Action {}

    /** Requests the whole host list once. */
    public record RefreshHostList() implements Action {}

    /** Starts or ends the subscription to the host list. */
    public record Subscribe(boolean enabled) implements Action {}

    /** Cancels an attempt in progress. */
    public record CancelAttempt(long req, int attemptIndex) implements Action {}

    /** Sets the rung of a request's session, an index into the ladder. */
    public record SetRung(long req, int rung) implements Action {}

    /** Closes the idle connections to a host. */
    public record CloseIdleConnections(String host) implements Action {}

    /** Starts a timer that fires once after {@code delay} ms with {@link TimerFired}. */
    public record StartTimer(double delay, String tag) implements Action {}

    /** Writes a text to the log. */
    public record Trace(String text) implements Action {}
}
