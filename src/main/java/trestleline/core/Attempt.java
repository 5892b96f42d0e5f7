package trestleline.core;

import trestleline.placement.Placement;

/**
 * One attempt to set up a session at one host.
 *
 * @param id names the attempt on the wire; unique across gateways and their restarts
 * @param request the viewer's request
 * @param requestClass the class of the request
 * @param index index of this attempt within its request, from 0
 * @param host name of the host
 * @param rung the rung to start at, an index into the ladder
 * @param expiresAt clock reading (ms) at which the attempt is abandoned
 * @param payload what the viewer sent along for the host
 */
public record Attempt(
        String id,
        Placement.SessionRequest request,
        Placement.RequestClass requestClass,
        int index,
        String host,
        int rung,
        double expiresAt,
        RequestPayload payload) {
    /** Creates an attempt of a request that carries nothing for the host. */
    public Attempt(
            String id,
            Placement.SessionRequest request,
            Placement.RequestClass requestClass,
            int index,
            String host,
            int rung,
            double expiresAt) {
        this(id, request, requestClass, index, host, rung, expiresAt, RequestPayload.NONE);
    }
}
