package trestleline.quality;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Keeps totals of service quality by time window. A request counts by what is known of it. When more becomes known, its
 * earlier totals are subtracted, the new ones are added, and the windows concerned get a new revision, so that no
 * change goes unnoticed. A request is dropped once its lateness has passed; later facts on it are counted as late and
 * change nothing.
 *
 * <p>Memory: the requests that are live or ended within the lateness, and one total per window, tenant, class, title
 * and location.
 */
public final class QualityWindows {
    /** A request and the totals that it has added so far. */
    private static final class TrackedRequest {
        final PlaybackRequest request;
        Map<TotalKey, WorthTotal> totals = Map.of();
        boolean changed = true;
        long evaluatedAt = Long.MIN_VALUE;

        TrackedRequest(PlaybackRequest request) {
            this.request = request;
        }
    }

    private final QualitySettings settings;
    private final int maxRequests;
    private final Map<String, TrackedRequest> requests = new LinkedHashMap<>();
    private final TreeMap<Long, Map<TotalKey, WorthTotal>> totalsByWindow = new TreeMap<>();
    private final Map<Long, Integer> revisions = new HashMap<>();
    private long lateFacts;
    private long rejectedRequests;

    /**
     * Creates an empty instance.
     *
     * @param settings how worth is computed
     * @param maxRequests requests tracked at once; further ones are rejected and counted, so that it is known how many
     *     the totals lack
     */
    public QualityWindows(QualitySettings settings, int maxRequests) {
        this.settings = settings;
        this.maxRequests = maxRequests;
    }

    /** Adds the first attempt of a viewer. A known key is left as it is: retries belong to the first attempt. */
    public void addRequest(String key, PlaybackRequest request) {
        if (requests.containsKey(key)) return;
        if (requests.size() >= maxRequests) rejectedRequests++;
        else requests.put(key, new TrackedRequest(request));
    }

    /** Adds a fact to a request. Returns false if the request is unknown or was dropped. */
    public boolean addFact(String key, Consumer<PlaybackRequest> change) {
        TrackedRequest tracked = requests.get(key);
        if (tracked == null) {
            lateFacts++;
            return false;
        }
        change.accept(tracked.request);
        tracked.changed = true;
        return true;
    }

    /**
     * Recomputes the totals of changed and live requests and drops those whose lateness has passed.
     *
     * @param now ms by the gateway's clock; must not decrease
     */
    public void update(long now) {
        for (var iterator = requests.values().iterator(); iterator.hasNext(); ) {
            TrackedRequest tracked = iterator.next();
            long wantedUntil = ServiceQuality.wantedUntil(tracked.request, settings, now);
            if (tracked.changed || wantedUntil >= tracked.evaluatedAt) {
                evaluate(tracked, now);
                tracked.changed = false;
                tracked.evaluatedAt = now;
            }
            if (wantedUntil + settings.latenessMs() < now) iterator.remove();
        }
    }

    private void evaluate(TrackedRequest tracked, long now) {
        Map<TotalKey, WorthTotal> updated = ServiceQuality.of(tracked.request, settings, now);
        var changedWindows = new java.util.TreeSet<Long>();
        tracked.totals.forEach((c, s) -> applyChange(c, s, updated.getOrDefault(c, WorthTotal.ZERO), changedWindows));
        updated.forEach((c, s) -> {
            if (!tracked.totals.containsKey(c)) applyChange(c, WorthTotal.ZERO, s, changedWindows);
        });
        tracked.totals = updated;
        changedWindows.forEach(w -> revisions.merge(w, 1, Integer::sum));
    }

    private void applyChange(TotalKey key, WorthTotal before, WorthTotal after, java.util.Set<Long> changedWindows) {
        if (before.equals(after)) return;
        changedWindows.add(key.windowIndex());
        Map<TotalKey, WorthTotal> windowTotals =
                totalsByWindow.computeIfAbsent(key.windowIndex(), w -> new HashMap<>());
        WorthTotal total =
                windowTotals.getOrDefault(key, WorthTotal.ZERO).plus(after).minus(before);
        if (total.equals(WorthTotal.ZERO)) windowTotals.remove(key);
        else windowTotals.put(key, total);
    }

    /** Returns the totals whose keys match the filter, added up by a property of the key. */
    public <K extends Comparable<K>> TreeMap<K, WorthTotal> totalsBy(
            java.util.function.Function<TotalKey, K> grouping, Predicate<TotalKey> filter) {
        TreeMap<K, WorthTotal> totals = new TreeMap<>();
        for (Map<TotalKey, WorthTotal> windowTotals : totalsByWindow.values()) {
            windowTotals.forEach((c, s) -> {
                if (filter.test(c)) totals.merge(grouping.apply(c), s, WorthTotal::plus);
            });
        }
        return totals;
    }

    /** Returns how often the totals of a window were written; 0 for never. */
    public int revision(long windowIndex) {
        return revisions.getOrDefault(windowIndex, 0);
    }

    /** Returns the number of facts on requests that were unknown or already dropped. */
    public long lateFacts() {
        return lateFacts;
    }

    /** Returns the number of requests rejected because too many were tracked. */
    public long rejectedRequests() {
        return rejectedRequests;
    }

    /** Returns the number of requests tracked now. */
    public int trackedRequests() {
        return requests.size();
    }
}
