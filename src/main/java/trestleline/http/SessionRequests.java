package trestleline.http;

import java.util.OptionalLong;
import trestleline.cmcd.Cmcd;
import trestleline.config.GatewayConfig;
import trestleline.placement.Placement;

/**
 * Translates a player's request and hints into a request to the decision module (docs/wire.md has the table). Only two
 * hints can lower what a viewer is offered: the top bitrate that the player can play, and the throughput that it
 * measured before the session started. No hint can take a session below the lowest rung of its class: the module
 * enforces that whatever {@code top} says.
 */
final class SessionRequests {
    private final Placement.Settings settings;

    SessionRequests(Placement.Settings settings) {
        this.settings = settings;
    }

    /** Creates the module's request; {@code fallbackKey} identifies the viewer if it sent no {@code sid}. */
    Placement.SessionRequest create(HlsRequest hlsRequest, GatewayConfig.Title title, Cmcd hints, String fallbackKey) {
        String viewerKey = hints.sessionId() == null ? fallbackKey : hints.sessionId();
        return new Placement.SessionRequest(
                0,
                hlsRequest.service(),
                hlsRequest.tenant(),
                GatewayConfig.stableId(viewerKey),
                title.number(),
                0,
                Double.NaN,
                title.home(),
                title.holders(),
                highestRung(hlsRequest.service(), hints),
                0);
    }

    /** Returns the rate of a rung for a class, kbit/s. */
    double rateKbps(String service, int rung) {
        return settings.ladder().ratesKb()[rung] * requestClass(service).rateFactor() * 8;
    }

    /** Returns the class of this name, or null if there is none. */
    Placement.RequestClass requestClass(String service) {
        for (Placement.RequestClass requestClass : settings.classes())
            if (requestClass.name().equals(service)) return requestClass;
        return null;
    }

    /** Returns the highest rung that the player's hints allow, but at least the lowest rung of the class. */
    private int highestRung(String service, Cmcd hints) {
        int rung = settings.ladder().ratesKb().length - 1;
        for (OptionalLong limitKbps : new OptionalLong[] {hints.topBitrateKbps(), hints.throughputKbps()}) {
            while (limitKbps.isPresent() && rung > 0 && rateKbps(service, rung) > limitKbps.getAsLong()) rung--;
        }
        return Math.max(rung, requestClass(service).minRung());
    }
}
