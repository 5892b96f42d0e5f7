package trestleline.quality;

/**
 * The dimensions by which totals are kept.
 *
 * @param windowIndex number of the time window since the epoch: event time divided by the length of a window
 * @param tenant name of the tenant
 * @param service name of the request class
 * @param title name of the title
 * @param location the host to which the time is attributed, and its rack
 */
public record TotalKey(long windowIndex, String tenant, String service, String title, HostLocation location) {}
