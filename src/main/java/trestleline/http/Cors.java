package trestleline.http;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;

/**
 * Lets players on pages of other origins read responses (Fetch Standard, section 3.2, CORS protocol). No cookies or
 * credentials are used, so any origin may be allowed. Error responses carry the headers too, because a page would
 * otherwise see only that something failed. Preflight requests are answered here and never request a session.
 */
final class Cors {
    private static final String ALLOWED_HEADERS = "CMCD-Object, CMCD-Request, CMCD-Status, CMCD-Session, Range";
    private static final String EXPOSED_HEADERS = "CMSD-Static, CMSD-Dynamic, Retry-After, Trestleline-Request";
    private static final String METHODS = "GET, HEAD, OPTIONS";
    /** Time (s) for which a browser may cache a preflight response. */
    private static final String MAX_AGE_S = "600";

    private final List<String> allowedOrigins;
    private final boolean anyOrigin;

    /** @param allowedOrigins the origins allowed; {@code *} allows any */
    Cors(List<String> allowedOrigins) {
        this.allowedOrigins = List.copyOf(allowedOrigins);
        anyOrigin = allowedOrigins.contains("*");
    }

    /** Adds the CORS headers to a response, whatever its status will be. */
    void addHeaders(HttpServerRequest request, HttpServerResponse response) {
        if (!anyOrigin) response.putHeader("Vary", "Origin");
        String origin = request.getHeader("Origin");
        if (origin == null || !anyOrigin && !allowedOrigins.contains(origin)) return;
        String allowOrigin = anyOrigin ? "*" : origin;
        response.putHeader("Access-Control-Allow-Origin", allowOrigin)
                .putHeader("Access-Control-Expose-Headers", EXPOSED_HEADERS)
                .putHeader("Timing-Allow-Origin", allowOrigin);
    }

    /** Answers an {@code OPTIONS} request; {@link #addHeaders} must have been called before. */
    void answerPreflight(HttpServerRequest request, HttpServerResponse response) {
        response.setStatusCode(204).putHeader("Allow", METHODS);
        if (response.headers().contains("Access-Control-Allow-Origin")
                && request.getHeader("Access-Control-Request-Method") != null) {
            response.putHeader("Access-Control-Allow-Methods", METHODS)
                    .putHeader("Access-Control-Allow-Headers", ALLOWED_HEADERS)
                    .putHeader("Access-Control-Max-Age", MAX_AGE_S);
        }
        response.end();
    }
}
