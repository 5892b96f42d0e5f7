package trestleline.conformance;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the six rules against the observed traffic alone; nothing that gateways report about themselves is used.
 * Events are processed in order of time. Performs no I/O and reads no clock.
 */
public final class ConformanceChecker {
    private final RuleLimits limits;
    private final Verdict verdict = new Verdict();
    private final Map<String, Request> latestRequests = new HashMap<>();
    private final Map<String, Attempt> attempts = new LinkedHashMap<>();
    private final Map<String, Map<String, TrafficEvent.HostStatusSent>> hostStatusByGateway = new HashMap<>();
    private final Map<String, Double> gatewayUpSince = new HashMap<>();
    private final Set<String> gatewaysDown = new HashSet<>();
    private final Map<String, Integer> gatewayGeneration = new HashMap<>();
    private final Map<String, List<double[]>> gatewayStalls = new HashMap<>();
    private final Map<String, Host> hosts = new HashMap<>();
    private final List<TrafficEvent.ObserverStalled> observerStalls = new ArrayList<>();
    private final Map<String, Map<String, Attempt>> openByTitle = new HashMap<>();
    private final List<Oversubscription> pendingChecks = new ArrayList<>();
    private final Map<String, ArrayDeque<Double>> requestTimes = new HashMap<>();
    private final Map<String, ArrayDeque<Double>> retryTimes = new HashMap<>();

    /** The latest request of one viewer at one gateway, until the viewer's next request there. */
    private static final class Request {
        final TrafficEvent.RequestSent sent;
        final int generation;
        final List<Attempt> attempts = new ArrayList<>();
        int responses;
        boolean excused;

        Request(TrafficEvent.RequestSent sent, int generation) {
            this.sent = sent;
            this.generation = generation;
        }
    }

    private static final class Attempt {
        final TrafficEvent.SetUpReceived setUp;
        TrafficEvent.SetUpResult result;
        boolean released;
        double endedAt = Double.POSITIVE_INFINITY;

        Attempt(TrafficEvent.SetUpReceived setUp) {
            this.setUp = setUp;
        }
    }

    private static final class Host {
        double startedAt = Double.NEGATIVE_INFINITY;
        double downAt = Double.NEGATIVE_INFINITY;
        int slots;
        final ArrayDeque<TrafficEvent.SetUpReceived> recentSetUps = new ArrayDeque<>();
        /** Gateways that had an open attempt or session when the host went down. */
        final Set<String> witnesses = new HashSet<>();
    }

    /**
     * More sessions of a title than its class allows. It is a violation only if it lasts longer than the peers' views
     * may differ.
     */
    private record Oversubscription(double at, String titleKey, int limit, String service) {}

    private ConformanceChecker(RuleLimits limits) {
        this.limits = limits;
    }

    /**
     * Checks the events of a whole run, given in any order.
     *
     * @param end time at which the last peer stopped observing, ms
     */
    public static Verdict verdict(RuleLimits limits, List<TrafficEvent> events, double end) {
        var checker = new ConformanceChecker(limits);
        List<TrafficEvent> sorted = new ArrayList<>(events);
        sorted.sort(Comparator.comparingDouble(TrafficEvent::at)); // stable: keeps the order of each peer's events
        for (TrafficEvent event : sorted) {
            if (event instanceof TrafficEvent.GatewayStalled stalled) checker.gatewayStalled(stalled);
            else if (event instanceof TrafficEvent.ObserverStalled stalled) checker.observerStalls.add(stalled);
        }
        for (TrafficEvent event : sorted) {
            checker.pendingChecks(event.at());
            checker.process(event);
        }
        checker.pendingChecks(end);
        for (Request request : checker.latestRequests.values()) checker.close(request, end);
        return checker.verdict;
    }

    private void process(TrafficEvent event) {
        if (event instanceof TrafficEvent.RequestSent e) requestSent(e);
        else if (event instanceof TrafficEvent.ResponseReceived e) responseReceived(e);
        else if (event instanceof TrafficEvent.ViewerLeft e) viewerLeft(e);
        else if (event instanceof TrafficEvent.HostStatusSent e)
            hostStatusByGateway
                    .computeIfAbsent(e.gateway(), g -> new HashMap<>())
                    .put(e.host(), e);
        else if (event instanceof TrafficEvent.SetUpReceived e) setUpReceived(e);
        else if (event instanceof TrafficEvent.SetUpEnded e) setUpEnded(e);
        else if (event instanceof TrafficEvent.SessionReleased e) release(e.attempt());
        else if (event instanceof TrafficEvent.MediaRequested e) mediaRequested(e);
        else if (event instanceof TrafficEvent.GatewayDown e) gatewayDown(e);
        else if (event instanceof TrafficEvent.GatewayUp e) gatewayUp(e);
        else if (event instanceof TrafficEvent.HostUp e) hostUp(e);
        else if (event instanceof TrafficEvent.HostDown e) hostDown(e);
    }

    private void gatewayStalled(TrafficEvent.GatewayStalled event) {
        gatewayStalls
                .computeIfAbsent(event.gateway(), g -> new ArrayList<>())
                .add(new double[] {event.at(), event.until()});
    }

    // Rule 1: one answer in time.

    private static String requestKey(long viewer, String gateway) {
        return viewer + "@" + gateway;
    }

    private void requestSent(TrafficEvent.RequestSent event) {
        var request = new Request(event, gatewayGeneration.getOrDefault(event.gateway(), 0));
        // A dying process may still accept a connection, but it takes no request.
        request.excused = gatewaysDown.contains(event.gateway());
        Request previous = latestRequests.put(requestKey(event.viewer(), event.gateway()), request);
        if (previous != null) close(previous, event.at());
        requestTimes.computeIfAbsent(event.gateway(), g -> new ArrayDeque<>()).addLast(event.at());
    }

    /**
     * Returns the time by which a request must be answered: its deadline and the grace. A suspended gateway does not
     * run, so what fell due meanwhile may be answered until a grace after it runs again. Peers that were stalled
     * themselves read responses late that arrived in time.
     */
    private double answerLimit(TrafficEvent.RequestSent sent) {
        double limit = sent.at() + sent.ttl() + limits.graceToAnswer();
        for (double[] stall : gatewayStalls.getOrDefault(sent.gateway(), List.of())) {
            if (stall[0] <= limit && stall[1] >= sent.at()) {
                limit = Math.max(limit, stall[1] + limits.graceToAnswer() + limits.observationSkew());
            }
        }
        for (TrafficEvent.ObserverStalled stall : observerStalls) {
            if (stall.at() <= limit && stall.until() >= limit) limit = stall.until() + limits.graceToAnswer();
        }
        return limit;
    }

    private void responseReceived(TrafficEvent.ResponseReceived event) {
        Request request = latestRequests.get(requestKey(event.viewer(), event.gateway()));
        if (request == null) return;
        request.responses++;
        verdict.recordCheck(1);
        if (request.responses > 1) verdict.recordViolation(1, event.at(), "second response to " + describe(request));
        double limit = answerLimit(request.sent);
        if (event.at() > limit) {
            verdict.recordViolation(
                    1,
                    event.at(),
                    String.format(
                            java.util.Locale.ROOT,
                            "response %d to %s arrived %.1f ms late, %.0f ms after the request; gateway stalls: %s",
                            event.status(),
                            describe(request),
                            event.at() - limit,
                            event.at() - request.sent.at(),
                            gatewayStalls.getOrDefault(request.sent.gateway(), List.of()).stream()
                                    .filter(stall -> stall[1] > request.sent.at())
                                    .map(stall -> String.format(
                                            java.util.Locale.ROOT,
                                            "%.0f to %.0f",
                                            stall[0] - request.sent.at(),
                                            stall[1] - request.sent.at()))
                                    .toList()));
        }
        if (event.status() == 503) requestRefused(request, event.at());
    }

    private static String describe(Request request) {
        return request.sent.service() + " request of viewer " + request.sent.viewer() + " at gateway "
                + request.sent.gateway() + ", sent at "
                + String.format(java.util.Locale.ROOT, "%.1f", request.sent.at());
    }

    private void viewerLeft(TrafficEvent.ViewerLeft event) {
        Request request = latestRequests.get(requestKey(event.viewer(), event.gateway()));
        if (request != null) request.excused = true;
    }

    private void close(Request request, double now) {
        boolean gatewayDied = gatewayGeneration.getOrDefault(request.sent.gateway(), 0) != request.generation;
        if (request.responses > 0 || request.excused || gatewayDied || now <= answerLimit(request.sent)) return;
        verdict.recordViolation(1, now, "no response to " + describe(request));
    }

    private void gatewayDown(TrafficEvent.GatewayDown event) {
        gatewayGeneration.merge(event.gateway(), 1, Integer::sum);
        gatewaysDown.add(event.gateway());
        hostStatusByGateway.remove(event.gateway());
        requestTimes.remove(event.gateway());
        retryTimes.remove(event.gateway());
        openByTitle.keySet().removeIf(key -> key.startsWith(event.gateway() + "/"));
        for (Attempt attempt : attempts.values()) {
            if (attempt.setUp.gateway().equals(event.gateway()))
                attempt.endedAt = Math.min(attempt.endedAt, event.at());
        }
    }

    private void gatewayUp(TrafficEvent.GatewayUp event) {
        gatewayUpSince.put(event.gateway(), event.at());
        gatewaysDown.remove(event.gateway());
    }

    // Rule 2: no set-up twice, and never two attempts of a request at once.

    private void setUpReceived(TrafficEvent.SetUpReceived event) {
        var attempt = new Attempt(event);
        if (attempts.containsKey(event.attempt())) {
            verdict.recordViolation(2, event.at(), "attempt " + event.attempt() + " sent twice");
            return;
        }
        attempts.put(event.attempt(), attempt);
        verdict.recordCheck(2);
        Request request = latestRequests.get(requestKey(event.viewer(), event.gateway()));
        RuleLimits.ClassLimits classLimits = limits.classes().get(event.service());
        if (request != null) {
            for (Attempt previous : request.attempts) {
                if (previous.endedAt > event.at()) addOverlap(previous, attempt);
                if (previous.result != TrafficEvent.SetUpResult.REFUSED) addRetry(previous, attempt, classLimits);
            }
            if (!request.attempts.isEmpty()) checkRetryBudget(event);
            request.attempts.add(attempt);
        }
        checkDrain(event);
        checkColdHost(event);
        if (event.rung() < classLimits.minRung()) {
            verdict.recordViolation(
                    5,
                    event.at(),
                    event.service() + " set up at rung " + event.rung() + ", below its minimum, on " + event.host());
        }
        verdict.recordCheck(5);
        addToTitle(attempt, classLimits);
    }

    private final Map<Attempt, Attempt> pendingOverlaps = new LinkedHashMap<>();

    /**
     * Notes that an attempt was still open when the next one arrived. It is a violation unless its end is observed
     * within the time by which the peers' views may differ.
     */
    private void addOverlap(Attempt previous, Attempt next) {
        pendingOverlaps.put(next, previous);
    }

    private void addRetry(Attempt previous, Attempt next, RuleLimits.ClassLimits classLimits) {
        // The end of the previous attempt may be observed a little after the start of the next one, so the retry is
        // judged later.
        pendingRetries.add(new Retry(previous, next, classLimits));
    }

    private record Retry(Attempt previous, Attempt next, RuleLimits.ClassLimits classLimits) {}

    private final List<Retry> pendingRetries = new ArrayList<>();

    private void requestRefused(Request request, double at) {
        RuleLimits.ClassLimits classLimits = limits.classes().get(request.sent.service());
        if (classLimits == null || classLimits.retryPolicy() == RuleLimits.RetryPolicy.FREELY) return;
        for (Attempt attempt : request.attempts) {
            verdict.recordCheck(2);
            if (attempt.result == TrafficEvent.SetUpResult.REFUSED) continue;
            verdict.recordViolation(
                    2,
                    at,
                    "refused although attempt " + attempt.setUp.attempt() + " may have run: " + describe(request));
        }
    }

    private void setUpEnded(TrafficEvent.SetUpEnded event) {
        Attempt attempt = attempts.get(event.attempt());
        if (attempt == null || attempt.result != null) return;
        attempt.result = event.result();
        attempt.endedAt = Math.min(attempt.endedAt, event.at());
        if (event.result() != TrafficEvent.SetUpResult.RAN) release(event.attempt());
    }

    /** Judges the overlaps and retries that are older than the time by which the peers' views may differ. */
    private void settleOverlapsAndRetries(double now) {
        pendingOverlaps.entrySet().removeIf(entry -> {
            Attempt next = entry.getKey();
            Attempt previous = entry.getValue();
            if (now <= next.setUp.at() + limits.observationSkew()) return false;
            if (previous.endedAt > next.setUp.at() + limits.observationSkew()) {
                verdict.recordViolation(
                        2,
                        next.setUp.at(),
                        "attempts " + previous.setUp.attempt() + " and " + next.setUp.attempt() + " open at once");
            }
            return true;
        });
        pendingRetries.removeIf(retry -> {
            if (now <= retry.next.setUp.at() + limits.observationSkew()) return false;
            boolean allowed = retry.previous.result == TrafficEvent.SetUpResult.REFUSED
                    || retry.classLimits.retryPolicy() == RuleLimits.RetryPolicy.FREELY
                    || retry.classLimits.retryPolicy() == RuleLimits.RetryPolicy.WITHIN_WINDOW
                            && retry.next.setUp.at() - retry.previous.setUp.at()
                                    <= retry.classLimits.dedupWindow() + limits.observationSkew();
            if (!allowed) {
                verdict.recordViolation(
                        2,
                        retry.next.setUp.at(),
                        retry.next.setUp.service() + " set up again as " + retry.next.setUp.attempt() + " although "
                                + retry.previous.setUp.attempt() + " may have run");
            }
            return true;
        });
    }

    // Rule 3: drains kept.

    private void checkDrain(TrafficEvent.SetUpReceived event) {
        TrafficEvent.HostStatusSent last =
                hostStatusByGateway.getOrDefault(event.gateway(), Map.of()).get(event.host());
        if (last == null) return;
        verdict.recordCheck(3);
        double elapsed = event.at() - last.at();
        if (last.status().equals("Running") || elapsed <= limits.drainGrace() + limits.observationSkew()) return;
        verdict.recordViolation(
                3,
                event.at(),
                String.format(
                        java.util.Locale.ROOT,
                        "gateway %s sent attempt %s to host %s, %.1f ms after the list gave it as %s",
                        event.gateway(),
                        event.attempt(),
                        event.host(),
                        elapsed,
                        last.status()));
    }

    // Rule 4: no cold host pushed over.

    private void hostUp(TrafficEvent.HostUp event) {
        Host host = hosts.computeIfAbsent(event.host(), n -> new Host());
        host.startedAt = event.warm() ? Double.NEGATIVE_INFINITY : event.at();
        host.slots = event.slots();
        host.recentSetUps.clear();
    }

    private void hostDown(TrafficEvent.HostDown event) {
        Host host = hosts.computeIfAbsent(event.host(), n -> new Host());
        host.downAt = event.at();
        host.witnesses.clear();
        for (Attempt attempt : attempts.values()) {
            if (!attempt.setUp.host().equals(event.host())) continue;
            boolean open = attempt.result == null
                    ? attempt.endedAt > event.at()
                    : attempt.result == TrafficEvent.SetUpResult.RAN && !attempt.released;
            if (open) host.witnesses.add(attempt.setUp.gateway());
            attempt.endedAt = Math.min(attempt.endedAt, event.at());
            release(attempt.setUp.attempt());
        }
    }

    private void checkColdHost(TrafficEvent.SetUpReceived event) {
        Host host = hosts.get(event.host());
        if (host == null || limits.warmUp() <= 0 || event.at() - host.startedAt >= limits.warmUp()) return;
        verdict.recordCheck(4);
        host.recentSetUps.addLast(event);
        while (host.recentSetUps.peekFirst().at() <= event.at() - limits.overloadWindow())
            host.recentSetUps.removeFirst();
        double warmth = limits.coldShare() + (1 - limits.coldShare()) * (event.at() - host.startedAt) / limits.warmUp();
        double limit = limits.overloadFactor() * host.slots / limits.warmUp() * warmth * limits.overloadWindow() + 1;
        if (host.recentSetUps.size() <= limit) return;
        long informed = host.recentSetUps.stream()
                .filter(setUp -> knewOfStart(setUp, host))
                .count();
        if (2 * informed < host.recentSetUps.size()) return;
        verdict.recordViolation(
                4,
                event.at(),
                host.recentSetUps.size() + " set-ups within " + limits.overloadWindow() + " ms at cold host "
                        + event.host()
                        + ", " + informed + " from gateways that knew of its start; its limit was "
                        + String.format(
                                java.util.Locale.ROOT,
                                "%.1f, %.0f ms after its start: ",
                                limit,
                                event.at() - host.startedAt)
                        + host.recentSetUps.stream()
                                .map(setUp -> String.format(
                                        java.util.Locale.ROOT,
                                        "%s %.0f ms before",
                                        setUp.attempt(),
                                        event.at() - setUp.at()))
                                .toList());
    }

    /**
     * Returns whether the gateway that sent a set-up knew that the host had just started: the list had told it, it lost
     * an attempt or session in the failure before, or it started after the host did.
     */
    private boolean knewOfStart(TrafficEvent.SetUpReceived setUp, Host host) {
        TrafficEvent.HostStatusSent status =
                hostStatusByGateway.getOrDefault(setUp.gateway(), Map.of()).get(setUp.host());
        boolean wasTold = status != null
                && status.since() > 0
                && status.since() >= host.startedAt - limits.observationSkew()
                && status.at() <= setUp.at();
        return wasTold
                || host.witnesses.contains(setUp.gateway())
                || gatewayUpSince.getOrDefault(setUp.gateway(), Double.NEGATIVE_INFINITY) > host.startedAt;
    }

    // Rule 5: floors and seats kept, that is the minimum rung and the sessions per title.

    private static String titleKey(TrafficEvent.SetUpReceived setUp) {
        return setUp.gateway() + "/" + setUp.service() + "/" + setUp.title();
    }

    private void addToTitle(Attempt attempt, RuleLimits.ClassLimits classLimits) {
        if (classLimits.maxSessionsPerTitle() <= 0) return;
        Map<String, Attempt> open = openByTitle.computeIfAbsent(titleKey(attempt.setUp), k -> new LinkedHashMap<>());
        open.put(attempt.setUp.attempt(), attempt);
        if (open.size() > classLimits.maxSessionsPerTitle()) {
            pendingChecks.add(new Oversubscription(
                    attempt.setUp.at(),
                    titleKey(attempt.setUp),
                    classLimits.maxSessionsPerTitle(),
                    attempt.setUp.service()));
        }
    }

    private void release(String attemptId) {
        Attempt attempt = attempts.get(attemptId);
        if (attempt == null) return;
        attempt.released = true;
        Map<String, Attempt> open = openByTitle.get(titleKey(attempt.setUp));
        if (open != null) open.remove(attemptId);
    }

    /** Runs the pending checks that are older, at {@code now}, than the time by which the peers' views may differ. */
    private void pendingChecks(double now) {
        settleOverlapsAndRetries(now);
        pendingChecks.removeIf(pending -> {
            if (now <= pending.at + limits.observationSkew()) return false;
            int open = openByTitle.getOrDefault(pending.titleKey, Map.of()).size();
            if (open > pending.limit)
                verdict.recordViolation(
                        5, pending.at, open + " sessions of " + pending.titleKey + ", limit " + pending.limit);
            return true;
        });
    }

    private void mediaRequested(TrafficEvent.MediaRequested event) {
        verdict.recordCheck(5);
        RuleLimits.ClassLimits classLimits = limits.classes().get(event.service());
        if (classLimits != null && event.rung() < classLimits.minRung()) {
            verdict.recordViolation(
                    5,
                    event.at(),
                    event.service() + " played at rung " + event.rung() + ", below its minimum, on " + event.host());
        }
    }

    // Rule 6: attempts within budget.

    private void checkRetryBudget(TrafficEvent.SetUpReceived event) {
        if (limits.retryWindow() <= 0) return;
        verdict.recordCheck(6);
        ArrayDeque<Double> retries = retryTimes.computeIfAbsent(event.gateway(), g -> new ArrayDeque<>());
        retries.addLast(event.at());
        double windowStart = event.at() - limits.retryWindow();
        // An event at the very edge of the window may be observed on either side of it.
        while (retries.peekFirst() < windowStart + limits.observationSkew()) retries.removeFirst();
        ArrayDeque<Double> requests = requestTimes.computeIfAbsent(event.gateway(), g -> new ArrayDeque<>());
        while (!requests.isEmpty() && requests.peekFirst() < windowStart - limits.observationSkew())
            requests.removeFirst();
        double limit = limits.freeRetries() + limits.retryShare() * requests.size();
        if (retries.size() <= limit + 1e-9) return;
        verdict.recordViolation(
                6,
                event.at(),
                retries.size() + " retries of gateway " + event.gateway() + " within " + limits.retryWindow()
                        + " ms; its limit was " + String.format(java.util.Locale.ROOT, "%.1f", limit));
    }
}
