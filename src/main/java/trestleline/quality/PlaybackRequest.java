package trestleline.quality;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/**
 * A viewer's request for a title, with everything known of it from the gateway and the player. Retries after a refusal
 * or an interruption belong to the first request. Facts may be added in any order and any number of times.
 *
 * <p>Memory: bounded by the segments and reports of one playback; {@link QualityWindows} drops the request once its
 * lateness has passed.
 */
public final class PlaybackRequest {
    /** Player states as reported by CMCD version 2 (key {@code sta}), reduced to those that matter here. */
    public enum PlayerState {
        STARTING,
        PLAYING,
        STALLED,
        PAUSED,
        ENDED
    }

    /** Maximum number of reports kept per request; no well-behaved player sends more. */
    static final int MAX_REPORTS = 4096;

    final String tenant;
    final String service;
    final String title;
    /** Time of the request, ms since the epoch by the gateway's clock, as all times here. */
    final long requestedAt;
    /** Length of the title in ms; {@code Long.MAX_VALUE} for a live one. */
    final long titleDurationMs;

    final int maxRung;
    final boolean overShare;
    /** Hosts that hold the title; time that no host serves is attributed to them. */
    final List<HostLocation> holders;

    /**
     * The session was served at {@code location} between two times; {@code to} is {@code Long.MAX_VALUE} while it is.
     */
    record ServingSpan(long from, long to, HostLocation location) {}

    /** The rung in force from a time on, and the share of its rate that the host reports to deliver. */
    record Delivery(int rung, double share) {}

    private static final Comparator<Delivery> LEAST_FIRST =
            Comparator.comparingInt(Delivery::rung).thenComparingDouble(Delivery::share);

    /** A segment that the viewer received: when, and its media time in ms. */
    record Segment(long at, long mediaMs) {}

    /**
     * The player was in {@code state} from {@code playerTime} on, by its own clock; {@code receivedAt} is by the
     * gateway's clock.
     */
    record PlayerReport(long playerTime, long receivedAt, PlayerState state) {}

    final TreeMap<Long, ServingSpan> spans = new TreeMap<>();
    final TreeMap<Long, Delivery> deliveries = new TreeMap<>();
    final TreeMap<Long, Segment> segments = new TreeMap<>();
    final TreeMap<Long, PlayerReport> reports = new TreeMap<>();
    private long leftAt = Long.MAX_VALUE;
    private long retriedAt;

    /**
     * Creates a request of which nothing is known but its start.
     *
     * @param requestedAt ms since the epoch by the gateway's clock
     * @param titleDurationMs length of the title in ms; {@code Long.MAX_VALUE} for a live one
     * @param maxRung highest rung that the viewer may get
     * @param overShare whether it is beyond its tenant's share
     * @param holders hosts that hold the title, at least one
     */
    public PlaybackRequest(
            String tenant,
            String service,
            String title,
            long requestedAt,
            long titleDurationMs,
            int maxRung,
            boolean overShare,
            List<HostLocation> holders) {
        this.tenant = tenant;
        this.service = service;
        this.title = title;
        this.requestedAt = requestedAt;
        this.titleDurationMs = titleDurationMs;
        this.maxRung = maxRung;
        this.overShare = overShare;
        this.holders = holders.stream().sorted().toList();
    }

    /**
     * Records that the session is served at a location from a time on; {@code to} is {@code Long.MAX_VALUE} until the
     * end is known.
     */
    public void served(long from, long to, HostLocation location) {
        spans.merge(from, new ServingSpan(from, to, location), (a, b) -> a.to() <= b.to() ? a : b);
    }

    /**
     * Records the rung in force from a time on and the share of its rate that is delivered. Of several for the same
     * millisecond the least counts, the lowest rung and of that the smallest share: no order of them is known, and what
     * may not have been delivered earns nothing.
     */
    public void delivery(long at, int rung, double share) {
        deliveries.merge(at, new Delivery(rung, share), (a, b) -> LEAST_FIRST.compare(a, b) <= 0 ? a : b);
    }

    /** Records a segment that was delivered whole; {@code number} is its position in the title. */
    public void segment(long number, long at, long mediaMs) {
        segments.merge(number, new Segment(at, mediaMs), (a, b) -> a.at() <= b.at() ? a : b);
    }

    /** Records that the viewer left by its own choice; the request ends then. */
    public void left(long at) {
        leftAt = Math.min(leftAt, at);
    }

    /**
     * Records a report of the player by its number; duplicates count once. Returns false if there are already
     * {@link #MAX_REPORTS}.
     */
    public boolean report(long number, long playerTime, long receivedAt, PlayerState state) {
        if (reports.size() >= MAX_REPORTS && !reports.containsKey(number)) return false;
        reports.merge(
                number,
                new PlayerReport(playerTime, receivedAt, state),
                (a, b) -> a.receivedAt() <= b.receivedAt() ? a : b);
        return true;
    }

    /**
     * Returns how far the player's clock is behind the gateway's, in ms: the smallest difference between receipt and
     * timestamp, as no report arrives before it is sent.
     */
    long clockOffsetMs() {
        return reports.values().stream()
                .mapToLong(t -> t.receivedAt() - t.playerTime())
                .min()
                .orElse(0);
    }

    /**
     * Returns the player's states by the gateway's clock, in the order of their numbers, without those that began
     * before the request.
     */
    TreeMap<Long, PlayerState> playerStates() {
        TreeMap<Long, PlayerState> statesByTime = new TreeMap<>();
        long offsetMs = clockOffsetMs();
        long last = Long.MIN_VALUE;
        for (PlayerReport report : reports.values()) {
            long at = Math.min(report.receivedAt(), report.playerTime() + offsetMs);
            if (at < requestedAt || at < last)
                continue; // numbers and timestamps contradict each other: the lower number is trusted
            last = at;
            statesByTime.put(at, report.state());
        }
        return statesByTime;
    }

    /** Returns the media time that reached the viewer, in ms; nobody can have played more. */
    long deliveredMs() {
        return segments.values().stream().mapToLong(Segment::mediaMs).sum();
    }

    /** Records another attempt of the viewer. */
    public void retried(long at) {
        retriedAt = Math.max(retriedAt, at);
    }

    /** Returns the last time at which the viewer is known to be active; {@code now} while it is served. */
    private long lastActivity(long now) {
        long last = Math.max(requestedAt, retriedAt);
        for (ServingSpan span : spans.values()) last = Math.max(last, span.to() == Long.MAX_VALUE ? now : span.to());
        for (Segment segment : segments.values()) last = Math.max(last, segment.at());
        for (PlayerReport report : reports.values()) last = Math.max(last, report.receivedAt());
        return last;
    }

    /**
     * Returns the time at which the request ends; {@code now} for a live one that is served. Pauses extend it. A viewer
     * that is silent and not served is assumed to have gone {@code graceMs} after its last activity.
     *
     * @param from when playback started or was due
     */
    long wantedUntil(long from, long now, long graceMs) {
        long known = Math.min(now, lastActivity(now) + graceMs);
        long end = titleDurationMs == Long.MAX_VALUE ? known : from + titleDurationMs;
        TreeMap<Long, PlayerState> states = playerStates();
        for (var entry : states.entrySet()) {
            if (entry.getKey() >= end) break;
            if (entry.getValue() == PlayerState.ENDED) return Math.max(from, Math.min(entry.getKey(), leftAt));
            if (entry.getValue() != PlayerState.PAUSED || titleDurationMs == Long.MAX_VALUE) continue;
            Long next = states.higherKey(entry.getKey());
            end += Math.max(0, (next == null ? known : next) - entry.getKey());
        }
        return Math.max(from, Math.min(end, leftAt));
    }

    /** Returns the times at which the state, the location, the delivery or the delivered media changes. */
    List<Long> changeTimes() {
        List<Long> times = new ArrayList<>(playerStates().keySet());
        for (ServingSpan span : spans.values()) {
            times.add(span.from());
            if (span.to() != Long.MAX_VALUE) times.add(span.to());
        }
        times.addAll(deliveries.keySet());
        for (Segment segment : segments.values()) times.add(segment.at());
        return times;
    }
}
