package trestleline.emulation;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import trestleline.conformance.TrafficEvent;
import trestleline.media.Playlist;

/**
 * A scripted HLS player with CMCD: requests a playlist, fetches segments ahead of playback, reports its buffer, and
 * requests the playlist again after a failure or a refusal as its script says. All calls are made on one event loop.
 */
public final class Player {
    /**
     * What a player does.
     *
     * @param tenant tenant in the path of its requests
     * @param service request class in the path of its requests
     * @param title title in the path of its requests
     * @param topKbps top bitrate reported by CMCD, kbit/s; 0 for none
     * @param mtpKbps measured throughput reported by CMCD, kbit/s; 0 for none
     * @param paid whether the session is paid, so that it is not requested again after an error
     * @param ttl time within which a response is expected, ms
     * @param ahead seconds of media to keep buffered
     * @param segmentS duration of a segment, seconds
     * @param tries most playlist requests in all
     * @param pauseMs mean pause before another playlist request, ms; it varies by half of it either way
     * @param leaveMs time after which an unanswered playlist request is closed, ms; 0 means never
     * @param query whether CMCD is sent in the query instead of a header
     */
    public record Script(
            String tenant,
            String service,
            String title,
            long topKbps,
            long mtpKbps,
            boolean paid,
            double ttl,
            double ahead,
            double segmentS,
            int tries,
            double pauseMs,
            double leaveMs,
            boolean query) {}

    /** The outcome of a player, by counts of its playlist requests and segments. */
    public static final class Result {
        /** Playlist requests. */
        public int asked;
        /** Playlist requests answered with 200. */
        public int granted;
        /** Playlist requests answered with 503. */
        public int refused;
        /** Playlist requests answered with any other status. */
        public int failed;
        /** Playlist requests whose connection broke before a response. */
        public int cut;
        /** Playlist requests that the player closed before a response. */
        public int left;
        /** Playlist requests for which no connection could be made. */
        public int connectFailures;
        /** Segments fetched. */
        public int segments;
        /** Playlists and segments of a granted session that could not be fetched. */
        public int breaks;
        /** Those of {@link #breaks} after the first segment. */
        public int brokenDuringPlayback;
        /** Time from the first answered request to its response, ms; NaN before. */
        public double firstAnswerMs = Double.NaN;
        /** Time from the first request to the first grant, ms; NaN before. */
        public double firstGrantMs = Double.NaN;
        /** Time that playback stalled, ms. */
        public double stalledMs;

        /** Whether the title was played to its end, or for long enough if it is live. */
        public boolean finished;
        /** Why, where and when the last cut request was cut, or null if none was. */
        public String cutReason;

        /** Returns the playlist requests without an outcome: at most one, and none once the player has ended. */
        public int waiting() {
            return asked - granted - refused - failed - cut - left - connectFailures;
        }
    }

    /** Retries of a segment whose connection was closed before any response. */
    private static final int MAX_SEGMENT_RETRIES = 2;
    /** Segments of a live title after which playback ends. */
    private static final int MAX_LIVE_SEGMENTS = 12;

    private final Vertx vertx;
    private final HttpClientAgent client;
    private final Trace trace;
    private final DoubleSupplier clock;
    private final Script script;
    private final String sid;
    private final long viewer;
    private final IntSupplier pickGateway;
    private final java.util.function.IntUnaryOperator portOf;
    private final SplittableRandom random;
    private final BiConsumer<Player, Result> done;
    private final Result result = new Result();
    private int gateway;
    private int nextSegment;
    private int segmentRetries;
    private List<String> segments;
    /** Path of the title's directory. */
    private String basePath;
    /** Path of the media playlist of a live title. */
    private String livePlaylist;
    /** File name of the segment fetched last. */
    private String lastSegment;

    private double playedUntil;
    private double bufferedS;
    private double firstAsked = Double.NaN;
    private boolean starved;
    private boolean ended;

    /**
     * Creates a player that is not started yet.
     *
     * @param clock source of the time, ms
     * @param sid session id sent by CMCD
     * @param viewer the viewer's number in the trace: the number that belongs to {@code sid}
     * @param pickGateway returns the index of the gateway to use for each playlist request
     * @param portOf returns the port that a gateway listens on
     * @param done called once with the result when the player has ended
     */
    public Player(
            Vertx vertx,
            HttpClientAgent client,
            Trace trace,
            DoubleSupplier clock,
            Script script,
            String sid,
            long viewer,
            IntSupplier pickGateway,
            java.util.function.IntUnaryOperator portOf,
            long seed,
            BiConsumer<Player, Result> done) {
        this.vertx = vertx;
        this.client = client;
        this.trace = trace;
        this.clock = clock;
        this.script = script;
        this.sid = sid;
        this.viewer = viewer;
        this.pickGateway = pickGateway;
        this.portOf = portOf;
        random = new SplittableRandom(seed);
        this.done = done;
    }

    /** Returns the result so far. */
    public Result result() {
        return result;
    }

    /** Returns the script. */
    public Script script() {
        return script;
    }

    /** Sends the first playlist request. */
    public void start() {
        requestPlaylist();
    }

    private String cmcd(boolean startUp) {
        long bufferMs = Math.max(0, Math.round(bufferedS * 10) * 100);
        return "bl=" + bufferMs + (starved ? ",bs" : "") + (script.mtpKbps() > 0 ? ",mtp=" + script.mtpKbps() : "")
                + ",sf=h,sid=\"" + sid + "\",st=v" + (startUp ? ",su" : "")
                + (script.topKbps() > 0 ? ",tb=" + script.topKbps() : "");
    }

    private RequestOptions requestOptions(String path, boolean startUp) {
        var options = new RequestOptions()
                .setHost("127.0.0.1")
                .setPort(portOf.applyAsInt(gateway))
                .setMethod(HttpMethod.GET);
        if (script.query()) {
            return options.setURI(path + "?CMCD=" + URLEncoder.encode(cmcd(startUp), StandardCharsets.UTF_8));
        }
        return options.setURI(path).putHeader("CMCD-Request", cmcd(startUp));
    }

    // Playlist requests.

    private void requestPlaylist() {
        gateway = pickGateway.getAsInt();
        String name = Integer.toString(gateway);
        result.asked++;
        basePath = "/" + script.tenant() + "/" + script.service() + "/" + script.title() + "/";
        double asked = clock.getAsDouble();
        if (Double.isNaN(firstAsked)) firstAsked = asked;
        boolean[] answered = new boolean[1];
        client.request(requestOptions(basePath + "index.m3u8", true)).onComplete(connected -> {
            if (connected.failed()) { // no gateway received the request
                result.connectFailures++;
                retryLater();
                return;
            }
            HttpClientRequest request = connected.result();
            double sent = clock.getAsDouble();
            trace.add(new TrafficEvent.RequestSent(sent, viewer, name, script.service(), script.title(), script.ttl()));
            if (script.leaveMs() > 0) {
                vertx.setTimer((long) script.leaveMs(), t -> {
                    if (answered[0]) return;
                    answered[0] = true;
                    result.left++;
                    trace.add(new TrafficEvent.ViewerLeft(clock.getAsDouble(), viewer, name));
                    request.reset();
                    finish();
                });
            }
            request.send().onComplete(response -> {
                if (answered[0]) return;
                answered[0] = true;
                if (response.failed()) {
                    result.cut++;
                    result.cutReason = response.cause().getMessage() + ", gateway " + name + ", requested at " + sent
                            + ", cut at " + clock.getAsDouble();
                    retryLater();
                    return;
                }
                double now = clock.getAsDouble();
                trace.add(new TrafficEvent.ResponseReceived(
                        now, viewer, name, response.result().statusCode()));
                if (Double.isNaN(result.firstAnswerMs)) result.firstAnswerMs = now - asked;
                handleResponse(response.result());
            });
        });
    }

    private void handleResponse(HttpClientResponse response) {
        int status = response.statusCode();
        if (status == 200) {
            if (result.granted++ == 0) result.firstGrantMs = clock.getAsDouble() - firstAsked;
            response.body().onComplete(body -> {
                if (body.failed()) {
                    result.breaks++;
                    retryLater();
                    return;
                }
                String text = body.result().toString(StandardCharsets.UTF_8);
                playedUntil = clock.getAsDouble();
                bufferedS = 0;
                if (text.contains("#EXT-X-STREAM-INF")) {
                    livePlaylist = basePath + Playlist.parseUris(text).get(0);
                    nextSegment = -1;
                    reloadLivePlaylist();
                    return;
                }
                segments = Playlist.parseUris(text);
                nextSegment = Math.min(nextSegment, segments.size() - 1); // resumes where playback broke off
                fetchSegment();
            });
            return;
        }
        response.resume();
        if (status == 503) result.refused++;
        else result.failed++;
        // A paid session that failed is not requested again, as it may have run.
        if (status != 503 && script.paid()) finish();
        else retryLater();
    }

    private void retryLater() {
        if (result.asked >= script.tries()) {
            finish();
            return;
        }
        vertx.setTimer((long) Math.max(1, script.pauseMs() * (0.5 + random.nextDouble())), t -> requestPlaylist());
    }

    // Playback.

    /**
     * Fetches the live playlist. Playback starts three segments before its end, continues after the last segment, and
     * skips segments that are no longer listed (RFC 8216, section 6.3).
     */
    private void reloadLivePlaylist() {
        client.request(requestOptions(livePlaylist, result.segments == 0))
                .compose(HttpClientRequest::send)
                .compose(response -> response.statusCode() == 200
                        ? response.body()
                        : io.vertx.core.Future.failedFuture("status " + response.statusCode()))
                .onComplete(body -> {
                    if (body.failed()) {
                        result.breaks++;
                        if (result.segments > 0) result.brokenDuringPlayback++;
                        retryLater();
                        return;
                    }
                    String folder = livePlaylist.substring(basePath.length(), livePlaylist.lastIndexOf('/') + 1);
                    List<String> listed = Playlist.parseUris(body.result().toString(StandardCharsets.UTF_8));
                    if (nextSegment < 0) nextSegment = Math.max(0, listed.size() - 3);
                    else nextSegment = listed.indexOf(lastSegment) + 1; // the oldest one if the last is not listed
                    segments = listed.stream().map(name -> folder + name).toList();
                    if (nextSegment < segments.size()) fetchSegment();
                    else vertx.setTimer((long) Math.max(1, script.segmentS() * 500), t -> reloadLivePlaylist());
                });
    }

    private void segmentFetched() {
        String path = segments.get(nextSegment++);
        lastSegment = path.substring(path.lastIndexOf('/') + 1);
        if (nextSegment < segments.size()) fetchSegment();
        else if (livePlaylist != null && result.segments < MAX_LIVE_SEGMENTS) reloadLivePlaylist();
        else {
            result.finished = true;
            finish();
        }
    }

    /** Takes the time played since the last call from the buffer, and counts the time that it was empty as a stall. */
    private void advancePlayback() {
        double now = clock.getAsDouble();
        double elapsedS = (now - playedUntil) / 1000;
        playedUntil = now;
        if (elapsedS > bufferedS) {
            starved = result.segments > 0 && elapsedS - bufferedS > 0.05;
            if (starved) result.stalledMs += (elapsedS - bufferedS) * 1000;
            bufferedS = 0;
        } else {
            bufferedS -= elapsedS;
        }
    }

    private void fetchSegment() {
        advancePlayback();
        if (bufferedS > script.ahead()) {
            vertx.setTimer((long) Math.max(1, (bufferedS - script.ahead()) * 1000), t -> fetchSegment());
            return;
        }
        boolean[] headReceived = new boolean[1];
        client.request(requestOptions(basePath + segments.get(nextSegment), result.segments == 0))
                .compose(HttpClientRequest::send)
                .compose(response -> {
                    headReceived[0] = true;
                    return response.statusCode() == 200
                            ? response.body()
                            : io.vertx.core.Future.failedFuture("status " + response.statusCode());
                })
                .onComplete(body -> {
                    if (body.failed() && !headReceived[0] && ++segmentRetries <= MAX_SEGMENT_RETRIES) {
                        // A reused connection was closed before the response: HTTP clients retry then (RFC 9110,
                        // section 9.2.2).
                        fetchSegment();
                        return;
                    }
                    segmentRetries = 0;
                    if (body.failed()) {
                        result.breaks++;
                        if (result.segments > 0) result.brokenDuringPlayback++;
                        retryLater();
                        return;
                    }
                    advancePlayback();
                    starved = false;
                    result.segments++;
                    bufferedS += script.segmentS();
                    segmentFetched();
                });
    }

    private void finish() {
        if (ended) return;
        ended = true;
        done.accept(this, result);
    }
}
