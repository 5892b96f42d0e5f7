package trestleline.conformance;

/**
 * An event that a peer of the gateways observed on its sockets: a viewer, a media host or the source of the host list.
 * {@code at} is the time in milliseconds on one clock that all peers share. {@code gateway}, {@code host} and
 * {@code attempt} are names; {@code viewer} is a number that a viewer keeps over all its requests.
 */
public sealed interface TrafficEvent {
    /** Returns the time of the event, ms. */
    double at();

    /** A viewer sent a request for a session, to be answered within {@code ttl} ms. */
    record RequestSent(double at, long viewer, String gateway, String service, String title, double ttl)
            implements TrafficEvent {}

    /** A viewer received the status of a response. */
    record ResponseReceived(double at, long viewer, String gateway, int status) implements TrafficEvent {}

    /** A viewer closed its connection before a response arrived. */
    record ViewerLeft(double at, long viewer, String gateway) implements TrafficEvent {}

    /**
     * The source of the host list sent a gateway the status of a host: {@code Running}, {@code Stopping} or
     * {@code Deleted}. {@code since} is the time at which the host started, ms.
     */
    record HostStatusSent(double at, String gateway, String host, String status, double since)
            implements TrafficEvent {}

    /** A host received a set-up. */
    record SetUpReceived(
            double at, String host, String gateway, long viewer, String attempt, String service, String title, int rung)
            implements TrafficEvent {}

    /** How a set-up ended at its host. */
    enum SetUpResult {
        /** The session runs or has run. */
        RAN,
        /** Refused unprocessed, and the response said so. This is the only result that proves it never ran. */
        REFUSED,
        /** The host answered with an error. */
        FAILED,
        /** The gateway closed the connection or cancelled the attempt before any response. */
        CANCELLED
    }

    /** A set-up ended at its host. */
    record SetUpEnded(double at, String host, String attempt, SetUpResult result) implements TrafficEvent {}

    /** A host released the session of an attempt. */
    record SessionReleased(double at, String host, String attempt) implements TrafficEvent {}

    /** A host received a request for media at a rung. */
    record MediaRequested(double at, String host, String attempt, String service, int rung) implements TrafficEvent {}

    /** A gateway process ended; its requests and sessions are lost. */
    record GatewayDown(double at, String gateway) implements TrafficEvent {}

    /** A gateway process started. */
    record GatewayUp(double at, String gateway) implements TrafficEvent {}

    /** A gateway was suspended from {@code at} until {@code until}. */
    record GatewayStalled(double at, String gateway, double until) implements TrafficEvent {}

    /**
     * The peers themselves were stalled from {@code at} until {@code until}: responses that were due in that time were
     * read only afterwards.
     */
    record ObserverStalled(double at, double until) implements TrafficEvent {}

    /** A host started, cold unless {@code warm}, with room for {@code slots} sessions once it is warm. */
    record HostUp(double at, String host, int slots, boolean warm) implements TrafficEvent {}

    /** A host process ended; its sessions are lost. */
    record HostDown(double at, String host) implements TrafficEvent {}
}
