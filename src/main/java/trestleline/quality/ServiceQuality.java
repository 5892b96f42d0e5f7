package trestleline.quality;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Computes the service quality of a request (docs/quality.md). For a request whose class is worth {@code W}, with the
 * factor {@code f} (1, or {@code overShareWorth} beyond the tenant's share) and the worth {@code v(r)} of rung
 * {@code r}:
 *
 * <pre>
 * requested = W f v(maxRung) x seconds wanted: from the start of playback, or from the start target if playback starts
 *             later, to the end of the title or until the viewer leaves, without pauses
 * earned    = W f x sum over seconds played of v(min(rung, maxRung)) x deliveredFraction(share), where rungs below
 *             minRung earn nothing, less W f v(rung) x switchS for each rung change during playback
 * </pre>
 *
 * A second is attributed to the host that serves it. A second that no host serves (refused, failed, interrupted, or
 * waiting beyond the start target) is divided evenly between the hosts that hold the title, as any of them should have
 * served it.
 */
public final class ServiceQuality {
    /** Millionths of a second in a millisecond. */
    private static final double MICROS_PER_MS = 1000;

    private ServiceQuality() {}

    /**
     * Returns the totals of a request from what is known of it at {@code now}, in a fixed order of keys. The same facts
     * give the same totals.
     */
    public static Map<TotalKey, WorthTotal> of(PlaybackRequest request, QualitySettings settings, long now) {
        Map<TotalKey, WorthTotal> totals = new TreeMap<>(
                java.util.Comparator.comparingLong(TotalKey::windowIndex).thenComparing(TotalKey::location));
        QualitySettings.RequestClass requestClass = settings.classes().get(request.service);
        double worth = requestClass.worth() * (request.overShare ? settings.overShareWorth() : 1);
        var states = request.playerStates();
        long playStart = playStart(request, states);
        long from = Math.min(playStart, request.requestedAt + requestClass.aimMs());
        long end = Math.min(now, request.wantedUntil(from, now, settings.latenessMs()));
        var boundaries = new TreeSet<>(request.changeTimes());
        boundaries.add(from);
        boundaries.add(end);
        for (long windowIndex = Math.floorDiv(from, settings.windowMs()) + 1;
                windowIndex * settings.windowMs() < end;
                windowIndex++) boundaries.add(windowIndex * settings.windowMs());
        long unplayedMs = request.deliveredMs();
        int lastRung = -1;
        Long previous = null;
        for (long boundary : boundaries) {
            if (boundary > end) break;
            if (previous != null && previous >= from && boundary > previous) {
                long durationMs = boundary - previous;
                PlaybackRequest.PlayerState state = stateAt(states, previous, playStart);
                var span = request.spans.floorEntry(previous);
                HostLocation location =
                        span != null && previous < span.getValue().to()
                                ? span.getValue().location()
                                : null;
                if (state != PlaybackRequest.PlayerState.PAUSED) {
                    var delivery = request.deliveries.floorEntry(previous);
                    int rung =
                            delivery == null ? 0 : Math.min(delivery.getValue().rung(), request.maxRung);
                    double earned = 0;
                    if (location != null
                            && state == PlaybackRequest.PlayerState.PLAYING
                            && unplayedMs > 0
                            && delivery != null) {
                        long playedMs = Math.min(durationMs, unplayedMs);
                        unplayedMs -= playedMs;
                        if (delivery.getValue().rung() >= requestClass.minRung()) {
                            earned = playedMs
                                    * settings.rungWorths()[rung]
                                    * settings.deliveredFraction(
                                            delivery.getValue().share());
                        }
                        if (lastRung >= 0 && lastRung != rung)
                            earned -= settings.switchS() * 1000 * settings.rungWorths()[rung];
                        lastRung = rung;
                    }
                    add(
                            totals,
                            request,
                            Math.floorDiv(previous, settings.windowMs()),
                            location,
                            Math.round(worth * settings.rungWorths()[request.maxRung] * durationMs * MICROS_PER_MS),
                            Math.round(worth * earned * MICROS_PER_MS));
                }
            }
            previous = boundary;
        }
        return totals;
    }

    /** Returns the time at which a request ends, as far as is known at {@code now}; ms since the epoch. */
    static long wantedUntil(PlaybackRequest request, QualitySettings settings, long now) {
        return request.wantedUntil(
                Math.min(
                        playStart(request, request.playerStates()),
                        request.requestedAt
                                + settings.classes().get(request.service).aimMs()),
                now,
                settings.latenessMs());
    }

    /** Returns the time at which playback first started: as reported by the player, or else with the first segment. */
    private static long playStart(PlaybackRequest request, TreeMap<Long, PlaybackRequest.PlayerState> states) {
        long firstSegmentAt = Long.MAX_VALUE;
        for (PlaybackRequest.Segment segment : request.segments.values())
            firstSegmentAt = Math.min(firstSegmentAt, segment.at());
        for (var entry : states.entrySet())
            if (entry.getValue() == PlaybackRequest.PlayerState.PLAYING) return entry.getKey();
        return states.isEmpty() ? firstSegmentAt : Long.MAX_VALUE;
    }

    /** Returns the player state at a time. A player without reports plays from its first segment on. */
    private static PlaybackRequest.PlayerState stateAt(
            TreeMap<Long, PlaybackRequest.PlayerState> states, long at, long playStart) {
        var reported = states.floorEntry(at);
        if (reported != null) return reported.getValue();
        return states.isEmpty() && at >= playStart
                ? PlaybackRequest.PlayerState.PLAYING
                : PlaybackRequest.PlayerState.STARTING;
    }

    private static void add(
            Map<TotalKey, WorthTotal> totals,
            PlaybackRequest request,
            long windowIndex,
            HostLocation location,
            long requested,
            long earned) {
        if (location != null) {
            totals.merge(
                    new TotalKey(windowIndex, request.tenant, request.service, request.title, location),
                    new WorthTotal(requested, earned),
                    WorthTotal::plus);
            return;
        }
        int holderCount = request.holders.size();
        for (int i = 0;
                i < holderCount;
                i++) { // integer parts; the first holders get the remainder, so that rounding loses nothing
            long requestedPart = requested / holderCount + (i < requested % holderCount ? 1 : 0);
            totals.merge(
                    new TotalKey(windowIndex, request.tenant, request.service, request.title, request.holders.get(i)),
                    new WorthTotal(requestedPart, 0),
                    WorthTotal::plus);
        }
    }
}
