package trestleline.emulation;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/**
 * The ways in which a set-up fails at a host under {@code fast_errors}, drawn with equal probability: those that the
 * protocol allows and that do the most harm. All but the first happen after the set-up ran, as a real host fails after
 * it as often as before. Malformed responses are written to the socket directly, as the HTTP library would not write
 * them.
 */
enum SetUpFault {
    /** {@code 500} at once; the set-up never ran. */
    ERROR_BEFORE_RUN,
    /** {@code 500} once it runs. */
    ERROR_AFTER_RUN,
    /** The connection is reset once it runs, without any byte of a response. */
    RESET_AFTER_RUN,
    /** Half of the head of a {@code 201}, then a reset. */
    PARTIAL_HEAD,
    /** {@code 503} that names the attempt but does not say that it never ran. */
    UNAVAILABLE_AFTER_RUN,
    /** {@code 201} that names another attempt. */
    CREATED_FOR_OTHER_ATTEMPT,
    /** {@code 503} that says another attempt never ran. */
    REFUSED_FOR_OTHER_ATTEMPT,
    /** {@code 201} followed by an unsolicited refusal of the same attempt. */
    TWO_RESPONSES,
    /** {@code 201} after the viewer's deadline. */
    LATE_RESPONSE,
    /** {@code 201} sent byte by byte over seconds. */
    SLOW_RESPONSE;

    /**
     * Time after which a connection is closed that a response was written to directly, ms. It cannot be used any
     * further.
     */
    private static final long CLOSE_DELAY_MS = 30;

    static SetUpFault draw(SplittableRandom random) {
        return values()[random.nextInt(values().length)];
    }

    private static String responseHead(int status, String attempt, String extraHeaders) {
        return "HTTP/1.1 " + status + " x\r\nTrestleline-Attempt: " + attempt + "\r\n" + extraHeaders
                + "Content-Length: 0\r\n\r\n";
    }

    /**
     * Answers a set-up in this way; all but the first fault expect that it has just started to run.
     *
     * @param deadlineMs longest time that its viewer may still wait, ms
     */
    void answer(Vertx vertx, HttpServerRequest request, String attempt, double deadlineMs) {
        Channel channel = ((ConnectionBase) request.connection()).channel();
        switch (this) {
            case ERROR_BEFORE_RUN, ERROR_AFTER_RUN ->
                request.response().setStatusCode(500).end();
            case RESET_AFTER_RUN -> reset(channel);
            case PARTIAL_HEAD -> {
                String head = responseHead(201, attempt, "");
                write(channel, head.substring(0, head.length() / 2));
                vertx.setTimer(5, t -> reset(channel));
            }
            case UNAVAILABLE_AFTER_RUN -> request.response().setStatusCode(503).end();
            case CREATED_FOR_OTHER_ATTEMPT ->
                request.response()
                        .setStatusCode(201)
                        .putHeader("Trestleline-Attempt", attempt + "9")
                        .end();
            case REFUSED_FOR_OTHER_ATTEMPT ->
                request.response()
                        .setStatusCode(503)
                        .putHeader("Trestleline-Attempt", attempt + "9")
                        .putHeader("Trestleline-Ran", "never")
                        .end();
            case TWO_RESPONSES -> {
                write(
                        channel,
                        responseHead(201, attempt, "") + responseHead(503, attempt, "Trestleline-Ran: never\r\n"));
                vertx.setTimer(CLOSE_DELAY_MS, t -> channel.close());
            }
            case LATE_RESPONSE ->
                vertx.setTimer((long) deadlineMs + 300, t -> {
                    write(channel, responseHead(201, attempt, ""));
                    vertx.setTimer(CLOSE_DELAY_MS, c -> channel.close());
                });
            case SLOW_RESPONSE ->
                writeSlowly(
                        vertx, channel, responseHead(201, attempt, ""), 0, (long) Math.max(1, 1.5 * deadlineMs / 100));
        }
    }

    private static void writeSlowly(Vertx vertx, Channel channel, String text, int offset, long intervalMs) {
        if (offset >= text.length()) vertx.setTimer(CLOSE_DELAY_MS, t -> channel.close());
        if (offset >= text.length() || !channel.isActive()) return;
        write(channel, text.substring(offset, offset + 1));
        vertx.setTimer(intervalMs, t -> writeSlowly(vertx, channel, text, offset + 1, intervalMs));
    }

    private static void write(Channel channel, String text) {
        if (channel.isActive()) {
            channel.pipeline().firstContext().writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        }
    }

    private static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }
}
