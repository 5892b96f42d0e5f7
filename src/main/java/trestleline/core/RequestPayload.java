package trestleline.core;

/**
 * Data that a front passes on with a request and that no decision depends on.
 *
 * @param session the session's id on the wire, for protocols in which the client assigns it, else empty
 * @param title the title as the wire names it
 * @param description description of the session for the host
 */
public record RequestPayload(String session, String title, byte[] description) {
    /** No data to pass on. */
    public static final RequestPayload NONE = new RequestPayload("", "", new byte[0]);
}
