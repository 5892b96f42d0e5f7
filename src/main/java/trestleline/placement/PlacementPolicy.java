package trestleline.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import trestleline.placement.State.BandwidthPool;
import trestleline.placement.State.FreedShare;
import trestleline.placement.State.MediaHost;
import trestleline.placement.State.Session;

/**
 * The decisions of one gateway: which sessions are admitted, on which host and at which rung. The mechanism is FluSS by
 * Reumann and Shin, adaptive quality of service by sessions; docs/design.md describes it. {@link Placement} is the
 * interface, {@link State} the data that is kept between events.
 *
 * <p>There is one instance per gateway. It does no I/O, reads no clock, has no mutable statics and starts no threads:
 * its actions follow from its events and its seed alone. Times are milliseconds and rates kB a second unless a name
 * says otherwise.
 *
 * <p>The sections stand in this order: event dispatch; host list and slow start; bandwidth accounting; host selection;
 * admission; degradation; re-packing; attempts and deadlines; host health.
 */
public final class PlacementPolicy {
    /**
     * Fraction of a pool's capacity that is allocated. Real rates deviate from those of the ladder, and delivering too
     * little costs the most.
     */
    private static final double TARGET_UTILISATION = 0.91;
    /**
     * Factor by which one gateway may exceed an even share of a host's link. Its share of the rack's uplink still
     * bounds the sum.
     */
    private static final double LINK_SHARE_FACTOR = 1.3;
    /** After a shortage the budget is cut to this fraction of what was delivered. */
    private static final double SHORTAGE_CUT_FACTOR = 0.97;
    /**
     * Fraction of the difference by which a reported utilisation moves the budget. Readings are noisy, and each swing
     * costs two switches of rung.
     */
    private static final double REPORT_SMOOTHING_FACTOR = 0.2;
    /**
     * Number of switches that one change of rung is charged for when this gateway sees none of the other use of a pool:
     * most such changes are undone later.
     */
    private static final double SWITCHES_CHARGED_PER_CHANGE = 10;
    /** Budget regained per second after a shortage, as a fraction of the budget: the slow increase of AIMD. */
    private static final double RECOVERY_FRACTION_PER_S = 0.02;
    /** Mean time between re-packs: that of the design document, a few adaptation operations. */
    private static final double REPACK_PERIOD_MS = 4000;
    /** Knapsack units that the lowest rate of the ladder is divided into. */
    private static final int UNITS_PER_LOWEST_RATE = 16;
    /**
     * Largest number of knapsack units that the rates of all sessions are divided into: the time of a re-pack grows
     * with its square.
     */
    private static final double MAX_KNAPSACK_UNITS = 12000;
    /** Weight, in sessions, of the fair share against the number of sessions that this gateway sees. */
    private static final double FAIR_SHARE_PRIOR_SESSIONS = 4;
    /**
     * Factor by which the fleet's budget is regained faster once no own session has been short of bandwidth for a
     * re-pack period.
     */
    private static final double FLEET_RECOVERY_FACTOR = 4;
    /** How long a freed share is kept for the next session of its class. */
    private static final double FREED_SHARE_HOLD_MS = 500;
    /**
     * Fraction of the target latency after which an unanswered set-up makes its host suspect, and a safe set-up is
     * tried elsewhere.
     */
    private static final double SUSPICION_FRACTION_OF_TARGET_LATENCY = 0.45;
    /** A tenant may use up its quota of so long a time at once before more requests count as beyond its share. */
    private static final double QUOTA_BURST_MS = 10000;
    /**
     * Factor by which the requests of a tenant at one gateway may exceed an even share of its quota. Viewers are not
     * spread evenly over the gateways, and undervaluing them costs more than overvaluing.
     */
    private static final double QUOTA_SKEW_FACTOR = 1.5;
    /**
     * Number of viewers whose standing in their tenant's share is remembered, so that a viewer who returns does not
     * count twice.
     */
    private static final int MAX_REMEMBERED_VIEWERS = 4096;
    /** Points of the result spent on probes per request received: what readings of the load are worth. */
    private static final double PROBE_POINTS_PER_REQUEST = 0.006;
    /** Factor by which a failed set-up lowers a host's reliability. */
    private static final double RELIABILITY_FAILURE_FACTOR = 0.5;
    /** Fraction of the missing reliability that a successful set-up restores. */
    private static final double RELIABILITY_RECOVERY_FRACTION = 0.3;

    private final Placement.Settings settings;
    private final SplittableRandom random;
    /** When this instance started. */
    private final double createdAt;

    private final Map<String, MediaHost> hosts = new TreeMap<>();
    /** Sessions that are being set up or play, by request. */
    private final Map<Long, Session> sessions = new LinkedHashMap<>();

    private final BandwidthPool[] rackUplinks;
    private final BandwidthPool fleet = new BandwidthPool();
    /** Capacity of the link (kB/s) at each position of the fleet. */
    private final double[] linkKbByPosition;
    /** Token bucket of each tenant: the tokens left and when they were last refilled. */
    private final Map<String, double[]> quotaBuckets = new HashMap<>();
    /** Worth that the request of a viewer was given, by the viewer's key. */
    private final Map<Long, Double> worthByViewer = new LinkedHashMap<>();

    private final List<FreedShare> freedShares = new ArrayList<>();
    private final RetryBudget retryBudget;

    private List<Placement.Action> actions = new ArrayList<>();
    private double now;
    /** Playing time (ms) of all sessions that ended. */
    private double endedPlayingTimeMs;

    private int endedSessions;
    /** Switches of rung that {@link #meanRungTimeS} counts: two per upgrade of a playing session. */
    private int switches;

    private int requestCount;
    private int probeCount;
    private boolean started;
    /** Whether a current host list was received, not only a saved copy, and the subscription has not broken since. */
    private boolean subscribed;

    private double subscribeRequestedAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates an instance.
     *
     * @param seed seed of all random choices
     * @param now time of the creation (ms)
     * @throws IllegalArgumentException if a setting is impossible; the message holds its name
     */
    public PlacementPolicy(Placement.Settings settings, long seed, double now) {
        this.settings = settings;
        require(this.settings.gatewayCount() >= 1, "replicasOfMe");
        require(this.settings.fleet().racks() >= 1, "specifics.groups");
        require(this.settings.fleet().positions() >= 1, "specifics.places");
        require(
                this.settings.ladder().ratesKb().length >= 1
                        && this.settings.ladder().ratesKb().length
                                == this.settings.ladder().worth().length,
                "specifics.ladderKb");
        require(!this.settings.classes().isEmpty(), "classes");
        for (Placement.RequestClass requestClass : this.settings.classes()) {
            require(
                    requestClass.minRung() >= 0
                            && requestClass.minRung() < this.settings.ladder().ratesKb().length,
                    "specifics.classFloor");
        }
        retryBudget = new RetryBudget(this.settings.rules());
        random = new SplittableRandom(seed);
        createdAt = now;
        this.now = now;
        rackUplinks = new BandwidthPool[this.settings.fleet().racks()];
        for (int i = 0; i < rackUplinks.length; i++) rackUplinks[i] = new BandwidthPool();
        linkKbByPosition = new double[this.settings.fleet().positions()];
    }

    private static void require(boolean holds, String setting) {
        if (!holds) throw new IllegalArgumentException("impossible setting: " + setting);
    }

    // Event dispatch

    /** Handles an event that occurs at {@code time} (ms) and returns the actions it calls for, in order. */
    public List<Placement.Action> handle(double time, Placement.Event event) {
        now = time;
        actions = new ArrayList<>();
        if (!started) start();
        if (event instanceof Placement.HostListUpdate e) onHostList(e);
        else if (event instanceof Placement.NewRequest e) onRequest(e.ask());
        else if (event instanceof Placement.SessionResumed e) onSessionResumed(e.ask(), e.host());
        else if (event instanceof Placement.SessionStarted e) onSessionStarted(e);
        else if (event instanceof Placement.AttemptEnded e) onAttemptEnded(e);
        else if (event instanceof Placement.ViewerLeft e) onViewerLeft(e.req());
        else if (event instanceof Placement.ProbeResult e) onProbeResult(e);
        else if (event instanceof Placement.HostNotice e) onHostNotice(e);
        else if (event instanceof Placement.TimerFired e) onTimer(e.tag());
        return actions;
    }

    private void start() {
        started = true;
        if (settings.subscribesToHostList()) subscribe();
        // The first re-pack comes at once, because resumed sessions may use too much. The later ones come at random
        // intervals, so that gateways do not act in step.
        actions.add(new Placement.StartTimer(0.1 * REPACK_PERIOD_MS * random.nextDouble(), "pack"));
        boolean pull = settings.rules().probes() && settings.reportVia().equals("pull");
        if (pull) actions.add(new Placement.StartTimer(settings.observationDelay() / 3, "probe"));
    }

    private void onTimer(String tag) {
        if (tag.equals("pack")) {
            runPeriodicUpdate();
            actions.add(new Placement.StartTimer(REPACK_PERIOD_MS * (0.5 + random.nextDouble()), "pack"));
        } else if (tag.equals("probe")) {
            probeNextHost();
            actions.add(new Placement.StartTimer(settings.observationDelay() / 3, "probe"));
        } else if (tag.startsWith("wait:")) {
            String[] parts = tag.split(":");
            Session session = sessions.get(Long.parseLong(parts[1]));
            if (session != null && session.awaitingAnswer && session.attemptIndex == Integer.parseInt(parts[2])) {
                openCircuit(session.host);
            }
        }
    }

    // Host list and slow start

    private void subscribe() {
        subscribeRequestedAt = now;
        actions.add(new Placement.Subscribe(true));
    }

    private void onHostList(Placement.HostListUpdate update) {
        if (update.mode().equals("broken")) {
            subscribed = false;
            return;
        }
        if (!update.mode().equals("stale_copy")) subscribed = true;
        if (!update.mode().equals("patch")) {
            for (MediaHost host : hosts.values()) {
                host.running = false;
                host.unlisted = true;
            }
        }
        for (Placement.HostEntry entry : update.entries()) {
            MediaHost host = hosts.computeIfAbsent(entry.host(), MediaHost::new);
            host.entry = entry;
            host.unlisted = false;
            host.running = entry.status().equals("Running");
            if (entry.startedAt() > host.startedAt) {
                host.startedAt = entry.startedAt();
                if (now - host.startedAt < settings.rules().warmUp()) {
                    host.connectionLost = false;
                    host.consecutiveFailures = 0;
                    host.circuitOpenUntil = Double.NEGATIVE_INFINITY;
                    host.reliability = 1;
                }
            }
        }
        hosts.values().removeIf(host -> host.link.ownUseKb < 1 && host.sessions.isEmpty() && isRemoved(host));
        resizePools();
    }

    private static boolean isRemoved(MediaHost host) {
        return host.unlisted || host.entry.status().equals("Deleted");
    }

    /**
     * Sets the capacities of links and uplinks from the host list. A host's link is sized by its weight or, where the
     * list gives no weights, by its number of session slots.
     */
    private void resizePools() {
        Placement.Fleet layout = settings.fleet();
        boolean weighted =
                layout.weightKind().equals("nominal") || layout.weightKind().equals("rough");
        double slotSum = 0;
        for (MediaHost host : hosts.values()) slotSum += sessionSlots(host);
        double meanSlots = slotSum / Math.max(1, hosts.size());
        double linkSumKb = 0;
        for (MediaHost host : hosts.values()) {
            double capacityKb = layout.linkUnitKb() * (weighted ? host.entry.weight() : sessionSlots(host) / meanSlots);
            resizePool(host.link, capacityKb * warmth(host), LINK_SHARE_FACTOR);
            linkKbByPosition[Math.floorMod(host.entry.position(), linkKbByPosition.length)] = capacityKb;
        }
        for (double linkKb : linkKbByPosition) linkSumKb += linkKb;
        for (int rack = 0; rack < rackUplinks.length; rack++) {
            double rackSumKb = 0;
            for (int position = rack; position < linkKbByPosition.length; position += rackUplinks.length) {
                rackSumKb += linkKbByPosition[position];
            }
            double fraction = linkSumKb > 0 ? rackSumKb / linkSumKb : 1.0 / rackUplinks.length;
            resizePool(rackUplinks[rack], layout.rackLinkKb() * rackUplinks.length * fraction, 1);
        }
        resizePool(fleet, layout.rackLinkKb() * rackUplinks.length, 1);
    }

    /** Sets a pool's capacity and its fair share, {@code shareFactor} times an even one, and scales its budget. */
    private void resizePool(BandwidthPool pool, double capacityKb, double shareFactor) {
        // A link or uplink counts for one session at least: otherwise many gateways would refuse on an empty fleet.
        double oneSessionKb = pool == fleet
                ? 0
                : settings.ladder().ratesKb()[settings.ladder().ratesKb().length - 1];
        double fairShareKb = TARGET_UTILISATION
                * Math.min(capacityKb, Math.max(oneSessionKb, capacityKb * shareFactor / settings.gatewayCount()));
        pool.budgetKb =
                pool.capacityKb > 0 ? pool.budgetKb * fairShareKb / Math.max(1e-9, pool.fairShareKb) : fairShareKb;
        pool.capacityKb = capacityKb;
        pool.fairShareKb = fairShareKb;
    }

    /** Number of sessions that a host of this kind can hold, 1 at least. */
    private double sessionSlots(MediaHost host) {
        int kind = Math.max(0, settings.fleet().kinds().indexOf(host.entry.kind()));
        return Math.max(
                1,
                kind < settings.fleet().sessionSlots().length ? settings.fleet().sessionSlots()[kind] : 1);
    }

    /** How far a host is known to have warmed up: from the share allowed to a cold host up to 1. */
    private double warmth(MediaHost host) {
        double warmUpMs = settings.rules().warmUp();
        double coldShare = settings.rules().coldShare();
        if (host.connectionLost) return coldShare;
        double ageMs = Math.max(0, now - Math.max(host.startedAt, host.recoveredAt));
        return warmUpMs <= 0 ? 1 : Math.min(1, coldShare + (1 - coldShare) * ageMs / warmUpMs);
    }

    /**
     * Whether slow start lets this gateway send a set-up to the host now. While a host is known to be warming up, as it
     * is listed as started recently or was seen to be lost and to come back, the gateways take turns by the clock.
     * Together they then send at most the host's slots over its warm-up time, times its warmth.
     *
     * <p>A gateway that has just started cannot know which hosts restarted since its saved copy of the list was made.
     * Until it receives a new list, it spaces its set-ups to a host by its own share of what the rule allows. A host
     * with a resumed session is known to have been running. Both limits may keep a set-up from a host that is warm
     * after all.
     */
    private boolean slowStartAllows(MediaHost host) {
        Placement.Rules rules = settings.rules();
        double warmUpFrom = Math.max(host.startedAt, host.recoveredAt);
        if (rules.warmUp() <= 0) return true;
        if (host.connectionLost || now - warmUpFrom < rules.warmUp()) {
            // Here a round of turns would last longer than the warm-up.
            if (settings.gatewayCount() > sessionSlots(host) * rules.coldShare()) return overlappingTurnAllows(host);
            // Turns have one length for all gateways. When they were as long as the gap, which shrinks with warmth, a
            // clock that counts from long ago gave each gateway turns of its own, and three gateways sent in the same
            // second.
            double gapMs = rules.warmUp() / (sessionSlots(host) * warmth(host));
            double turnMs = rules.warmUp() / (sessionSlots(host) * Math.max(0.01, rules.coldShare()));
            return (long) Math.floor(now / turnMs) % settings.gatewayCount() == settings.gatewayIndex()
                    && now - host.lastSetUpAt >= gapMs;
        }
        if (subscribed || host.hadResumedSession || now - createdAt >= rules.warmUp()) return true;
        double gapMs = rules.warmUp()
                * settings.gatewayCount()
                / (sessionSlots(host) * rules.coldShare() * Math.max(1, rules.overloadFactor()));
        return now - host.lastSetUpAt >= gapMs;
    }

    /**
     * Slow start with more gateways than a cold host may receive set-ups while it warms up. With turns one after the
     * other most gateways would have none before the host is warm: with a hundred gateways a cold host got a hundredth
     * of the work of a warm one. So turns overlap, each one step after the one before, with one set-up in each.
     *
     * <p>However many gateways have a request at once, no more set-ups are sent in a span than turns touch it. That is
     * what the settings allow and half of the rule's margin for chance, as set-ups differ in work. At first a turn is
     * as long as the span: longer turns gained nothing where requests are rare, and halved the host's work where they
     * are frequent. Each host has its turns at other times.
     */
    private boolean overlappingTurnAllows(MediaHost host) {
        double spanMs = 1.2 * settings.rules().overloadWindow(); // a set-up may be written a little after the decision
        double stepMs = 2 * spanMs / concurrentTurns(host, settings.rules().coldShare());
        double turnMs = concurrentTurns(host, warmth(host)) * stepMs - spanMs;
        double gateways = settings.gatewayCount();
        double steps =
                now / stepMs - settings.gatewayIndex() - Math.floorMod(host.id.hashCode(), settings.gatewayCount());
        double turnAgeMs = (steps - gateways * Math.floor(steps / gateways)) * stepMs;
        return turnAgeMs < turnMs && host.lastSetUpAt < now - turnAgeMs;
    }

    /** Number of turns that may touch a span, besides one that begins in it. */
    private double concurrentTurns(MediaHost host, double warmth) {
        Placement.Rules rules = settings.rules();
        double allowed = Math.max(
                0.01, rules.overloadFactor() * sessionSlots(host) * warmth * rules.overloadWindow() / rules.warmUp());
        return allowed + Math.sqrt(allowed);
    }

    // Bandwidth accounting

    private BandwidthPool rackUplink(MediaHost host) {
        return rackUplinks[
                Math.floorMod(
                        Math.floorMod(host.entry.position(), settings.fleet().positions()), rackUplinks.length)];
    }

    private double rateKb(Session session, int rung) {
        return settings.ladder().ratesKb()[rung] * classOf(session).rateFactor();
    }

    /** Rate (kB/s) that a session adds to its host at a rung. Viewers of one live title there may share a stream. */
    private double addedRateKb(Session session, MediaHost host, int rung) {
        double rateKb = rateKb(session, rung);
        if (!classOf(session).live() || settings.ladder().sharedStreamFactor() >= 1) return rateKb;
        for (Session other : host.sessions.values()) {
            if (other == session) break;
            boolean sharesStream = other.classIndex == session.classIndex
                    && other.rung == rung
                    && other.request.title() == session.request.title();
            if (sharesStream) return rateKb * settings.ladder().sharedStreamFactor();
        }
        return rateKb;
    }

    /** Recomputes what this gateway uses of a host's link, its rack's uplink and the fleet, with freed shares. */
    private void updateOwnUse(MediaHost host) {
        double ownUseKb = 0;
        for (Session session : host.sessions.values()) ownUseKb += addedRateKb(session, host, session.rung);
        for (FreedShare share : freedShares) if (share.host() == host) ownUseKb += share.rate();
        double increaseKb = ownUseKb - host.link.ownUseKb;
        for (BandwidthPool pool : List.of(host.link, rackUplink(host), fleet)) {
            pool.useHistory.addLast(new double[] {now, pool.ownUseKb});
            pool.ownUseKb += increaseKb;
            while (pool.useHistory.peekFirst()[0] < now - 2 * settings.observationDelay() - 2000)
                pool.useHistory.removeFirst();
        }
    }

    /** The most (kB/s) that this gateway used of a pool between two past times. */
    private double peakOwnUseKb(BandwidthPool pool, double from, double to) {
        double peakKb = -1;
        for (double[] change : pool.useHistory) {
            if (change[0] < from) continue;
            peakKb = Math.max(peakKb, change[1]);
            if (change[0] >= to) return peakKb;
        }
        return Math.max(peakKb, pool.ownUseKb);
    }

    /**
     * Moves a pool's budget towards what a reported utilisation (bandwidth asked for over bandwidth available) leaves
     * to this gateway: its own use at the time of the reading, and its part of the bandwidth that was left or missing.
     * That part is this gateway's part of what was asked for, or an even one if that is more.
     *
     * @param lagMs age of the reading
     * @param weight fraction of the difference by which the budget moves
     */
    private void applyUtilisation(BandwidthPool pool, double utilisation, double lagMs, double weight) {
        double pastUseKb = peakOwnUseKb(pool, now - lagMs, now - lagMs);
        double evenShareKb = TARGET_UTILISATION * pool.capacityKb / settings.gatewayCount();
        double ownFraction = Math.max(
                1.0 / settings.gatewayCount(), Math.min(1, pastUseKb / Math.max(1, utilisation * pool.capacityKb)));
        double targetKb = utilisation < TARGET_UTILISATION
                ? pastUseKb + (TARGET_UTILISATION - utilisation) * pool.capacityKb * ownFraction
                : pastUseKb * TARGET_UTILISATION / utilisation;
        if (utilisation < 1) targetKb = Math.max(targetKb, 0.5 * evenShareKb);
        pool.budgetKb += weight * (targetKb - pool.budgetKb);
        pool.hasReports = true;
    }

    /** Applies a host's load report: the utilisation of its link and of its rack's uplink, where given. */
    private void applyLoadReport(MediaHost host, Map<String, Double> report) {
        Double linkUtilisation = report.getOrDefault("x0", report.get("load_share"));
        Double rackUtilisation = report.get("x1");
        if (linkUtilisation != null) {
            applyUtilisation(host.link, linkUtilisation, settings.observationDelay() / 2, REPORT_SMOOTHING_FACTOR);
        }
        if (rackUtilisation != null) applyRackUtilisation(host, rackUtilisation, settings.observationDelay() / 2);
    }

    /** Applies the utilisation of a rack's uplink. Each rack is a sample of the fleet as well. */
    private void applyRackUtilisation(MediaHost host, double utilisation, double lagMs) {
        applyUtilisation(rackUplink(host), utilisation, lagMs, REPORT_SMOOTHING_FACTOR);
        applyUtilisation(fleet, utilisation, lagMs, REPORT_SMOOTHING_FACTOR / 2);
    }

    /**
     * Handles a host's notice about a session: 1 is the part of its rate that was delivered, 2 the rung it plays at, 3
     * the utilisation of its host's link, 4 that of the rack's uplink.
     */
    private void onHostNotice(Placement.HostNotice notice) {
        Session session = sessions.get(notice.req());
        MediaHost host = hosts.get(notice.host());
        if (host == null) return;
        double lagMs = session != null && now - session.playingSince < settings.observationDelay()
                ? 0
                : settings.observationDelay();
        switch (notice.kind()) {
            case 1 -> onDeliveredShare(host, notice.value());
            case 2 -> {
                if (session != null && session.host != null) {
                    session.rung = (int) notice.value();
                    updateOwnUse(session.host);
                }
            }
            case 3 -> applyUtilisation(host.link, notice.value(), lagMs, REPORT_SMOOTHING_FACTOR);
            case 4 -> applyRackUtilisation(host, notice.value(), lagMs);
            default -> {}
        }
    }

    /**
     * Cuts budgets when a session received only {@code share} of its rate. The notice describes the state about
     * {@code see} ago. The budget is cut to what was delivered of the most that was used then, so that hearing of the
     * same shortage again cuts no deeper. If most hosts of the rack that have sessions of this gateway are short
     * together, the shortage is on the rack's uplink, otherwise on the host's link.
     *
     * <p>The fleet's budget loses what was not delivered, so that new sessions start lower when the whole fleet is
     * short; a single overloaded host holds the others back a little.
     */
    private void onDeliveredShare(MediaHost host, double share) {
        if (share >= 0.98) return;
        host.lastShortageAt = now;
        int hostsInUse = 0;
        int hostsShort = 0;
        BandwidthPool uplink = rackUplink(host);
        for (MediaHost other : hosts.values()) {
            if (rackUplink(other) != uplink || other.sessions.isEmpty()) continue;
            hostsInUse++;
            if (now - other.lastShortageAt <= 1000 + settings.tick()) hostsShort++;
        }
        cutBudget(hostsShort >= 2 && 2 * hostsShort > hostsInUse ? uplink : host.link, share);
        fleet.budgetKb *= 1 - (1 - share) * Math.min(1, host.link.ownUseKb / Math.max(1, fleet.ownUseKb));
        fleet.lastShortageAt = now;
        degradeToBudget(host);
    }

    private void cutBudget(BandwidthPool pool, double share) {
        double pastUseKb =
                peakOwnUseKb(pool, now - settings.observationDelay() - 1000, now - settings.observationDelay());
        pool.budgetKb = Math.min(pool.budgetKb, pastUseKb * share * SHORTAGE_CUT_FACTOR);
        if (now - pool.roundingDrawnAt > settings.observationDelay() + 1000) {
            pool.roundingFraction = random.nextDouble();
            pool.roundingDrawnAt = now;
        }
        pool.lastShortageAt = now;
    }

    /**
     * Raises a pool's budget after a shortage; the fleet's even during one. Once at its fair share, a pool with
     * reported utilisation is left to its reports.
     */
    private void recoverBudget(BandwidthPool pool) {
        if (pool.hasReports && pool.budgetKb >= pool.fairShareKb) return;
        if (pool != fleet && now - pool.lastShortageAt < settings.observationDelay() + 1000) return;
        if (headroomKb(pool) > 0.1 * pool.budgetKb && pool.budgetKb >= pool.fairShareKb) return;
        double stepKb = RECOVERY_FRACTION_PER_S * Math.min(pool.fairShareKb, pool.budgetKb) * REPACK_PERIOD_MS / 1000;
        if (pool == fleet && now - pool.lastShortageAt > settings.observationDelay() + REPACK_PERIOD_MS) {
            stepKb *= FLEET_RECOVERY_FACTOR;
        }
        pool.budgetKb = Math.min(
                2 * pool.fairShareKb, pool.budgetKb + (pool.budgetKb < pool.fairShareKb ? stepKb : stepKb / 2));
    }

    /**
     * Headroom of a pool (kB/s): its budget less the own use. A budget seldom equals a sum of rungs, so it is rounded
     * at random, drawn anew at each cut: of several gateways that receive the same notice neither all step down nor all
     * stay.
     */
    private double headroomKb(BandwidthPool pool) {
        double[] ladderKb = settings.ladder().ratesKb();
        double budgetKb = pool.budgetKb * (pool == fleet ? demandSkew() : 1);
        double meanSessionKb = Math.min(budgetKb, fleet.ownUseKb / Math.max(1, sessions.size()));
        int rung = 0;
        while (rung + 2 < ladderKb.length && ladderKb[rung + 1] <= meanSessionKb) rung++;
        double stepKb = ladderKb.length > 1 ? ladderKb[rung + 1] - ladderKb[rung] : 0;
        return budgetKb
                + pool.roundingFraction * stepKb / Math.max(1, pool.ownUseKb / Math.max(1, meanSessionKb))
                - pool.ownUseKb;
    }

    /**
     * Number of this gateway's sessions over an even share of the sessions of a fleet that is full at the middle rung.
     * The number is shrunk towards that share, as if FAIR_SHARE_PRIOR_SESSIONS sessions of an even share had been seen
     * before: a few sessions tell little.
     */
    private double demandSkew() {
        double[] ladderKb = settings.ladder().ratesKb();
        double evenSessions =
                TARGET_UTILISATION * fleet.capacityKb / settings.gatewayCount() / ladderKb[ladderKb.length / 2];
        double ownSessions = sessions.size();
        return ownSessions
                * (FAIR_SHARE_PRIOR_SESSIONS + evenSessions)
                / Math.max(1e-9, evenSessions * (FAIR_SHARE_PRIOR_SESSIONS + ownSessions));
    }

    /** Headroom (kB/s) of a host's link and its rack's uplink. */
    private double localHeadroomKb(MediaHost host) {
        return Math.min(headroomKb(host.link), headroomKb(rackUplink(host)));
    }

    /** Headroom (kB/s) for a session at a host: of its link, its rack's uplink and the fleet. */
    private double headroomKb(MediaHost host) {
        return Math.min(localHeadroomKb(host), headroomKb(fleet));
    }

    // Host selection

    /** Whether a host holds the requested title: the holders are consecutive positions from the title's home on. */
    private boolean holdsTitle(MediaHost host, Placement.SessionRequest request) {
        int positions = settings.fleet().positions();
        return Math.floorMod(host.entry.position() - request.home(), positions) < request.holders();
    }

    /**
     * Whether a session may be set up at a host. A host whose circuit breaker opened, or that fails set-ups fast, would
     * look the emptiest. Until it is reliable again it gets only set-ups that may be repeated, one at a time. A paid
     * set-up has a single try and does not go there.
     */
    private boolean isEligible(Session session, MediaHost host) {
        if (!host.running
                || !holdsTitle(host, session.request)
                || !slowStartAllows(host)
                || session.triedHosts.contains(host)) return false;
        if (now < host.circuitOpenUntil || host.sessions.size() >= sessionSlots(host)) return false;
        if (host.consecutiveFailures > 0 || host.reliability < RELIABILITY_FAILURE_FACTOR) {
            if (classOf(session).effect() == Placement.Effect.SIDE_EFFECT) return false;
            for (Session other : host.sessions.values()) if (other.awaitingAnswer) return false;
        }
        return true;
    }

    /** The hosts that a session may go to, by headroom times squared reliability, ties at random. */
    private List<MediaHost> candidates(Session session) {
        List<MediaHost> candidates = new ArrayList<>();
        for (MediaHost host : hosts.values()) {
            if (!isEligible(session, host)) continue;
            double headroomKb = localHeadroomKb(host);
            host.score = (headroomKb > 0 ? headroomKb * host.reliability * host.reliability : headroomKb)
                    + 1e-3 * random.nextDouble()
                    + (host.entry.zone().equals(settings.zone()) ? 0.01 : 0);
            candidates.add(host);
        }
        candidates.sort(Comparator.comparingDouble((MediaHost host) -> -host.score));
        return candidates;
    }

    // Admission

    private Placement.RequestClass classOf(Session session) {
        return settings.classes().get(session.classIndex);
    }

    /** Index of a request class by name, or -1 if there is none. */
    private int classIndex(String name) {
        for (int i = 0; i < settings.classes().size(); i++)
            if (settings.classes().get(i).name().equals(name)) return i;
        return -1;
    }

    private void onRequest(Placement.SessionRequest request) {
        int classIndex = classIndex(request.service());
        retryBudget.recordRequest(now);
        requestCount++;
        if (classIndex < 0) {
            actions.add(new Placement.Fail(request.req()));
            return;
        }
        Session session = new Session(
                request, classIndex, now, settings.classes().get(classIndex).worth() * tenantWorthFactor(request));
        sessions.put(request.req(), session);
        place(session);
    }

    /**
     * The fraction of its class's worth that a request counts: 1 within its tenant's share, {@code overShareWorth}
     * beyond. Each gateway applies its part of the tenant's quota by a token bucket that holds a few seconds' worth. A
     * viewer who returns keeps the fraction of the first request.
     *
     * <p>This keeps a flood of one tenant's requests from taking the bandwidth of others. It may undervalue a tenant
     * whose viewers come mostly to this gateway.
     */
    private double tenantWorthFactor(Placement.SessionRequest request) {
        for (Placement.Tenant tenant : settings.tenants()) {
            if (!tenant.name().equals(request.tenant()) || tenant.quotaPerS() <= 0) continue;
            Double earlier = worthByViewer.get(request.key());
            if (earlier != null) return earlier;
            double tokensPerMs = QUOTA_SKEW_FACTOR * tenant.quotaPerS() / settings.gatewayCount() / 1000;
            double maxTokens = Math.max(1, tokensPerMs * QUOTA_BURST_MS);
            double[] bucket = quotaBuckets.computeIfAbsent(tenant.name(), name -> new double[] {maxTokens, now});
            bucket[0] = Math.min(maxTokens, bucket[0] + tokensPerMs * (now - bucket[1]));
            bucket[1] = now;
            double worth = bucket[0] >= 1 ? 1 : settings.overShareWorth();
            if (worth == 1) bucket[0]--;
            worthByViewer.put(request.key(), worth);
            if (worthByViewer.size() > MAX_REMEMBERED_VIEWERS) {
                worthByViewer.remove(worthByViewer.keySet().iterator().next());
            }
            return worth;
        }
        return 1;
    }

    /** The highest rung that viewer, class and ladder allow, never below the lowest of its class. */
    private int topRung(Session session) {
        Placement.RequestClass requestClass = classOf(session);
        return Math.max(
                requestClass.minRung(),
                Math.min(
                        Math.min(session.request.top(), requestClass.maxRung()),
                        settings.ladder().ratesKb().length - 1));
    }

    /** Points per second that a session earns at a rung. */
    private double payoff(Session session, int rung) {
        return session.weight * settings.ladder().worth()[rung];
    }

    /**
     * Time (s) over which a change of rung must pay: the mean time that a rung lasted so far, until a switch or the end
     * of the session. This prevents flapping: the more often rungs were changed, the more a change must gain. It works
     * for links that go on and off as for waves of viewers. After an unsteady start it may hold back upgrades for a
     * while.
     */
    private double meanRungTimeS() {
        double playingTimeMs = endedPlayingTimeMs;
        for (Session session : sessions.values()) if (session.playing) playingTimeMs += now - session.playingSince;
        return (playingTimeMs + REPACK_PERIOD_MS) / (endedSessions + switches + 1) / 1000;
    }

    /**
     * Places a request: on a freed share of its class, otherwise at the highest rung that fits, otherwise at the lowest
     * rung from the reserve and by degrading other sessions. If nothing fits, it is answered at once.
     */
    private void place(Session session) {
        if (!isWithinTitleLimit(session)) {
            refuseOrFail(session);
            return;
        }
        List<MediaHost> candidates = candidates(session);
        for (FreedShare share : List.copyOf(freedShares)) {
            if (share.classIndex() != session.classIndex
                    || !candidates.contains(share.host())
                    || headroomKb(share.host()) < 0) continue;
            freedShares.remove(share);
            updateOwnUse(share.host());
            int rung = highestFittingRung(session, share.host(), 0);
            if (rung >= 0
                    && sendAttempt(session, share.host(), Math.max(rung, Math.min(share.rung(), topRung(session)))))
                return;
        }
        for (MediaHost host : candidates) {
            int rung = highestFittingRung(session, host, settings.ladder().ratesKb()[0]);
            if (rung >= 0 && sendAttempt(session, host, rung)) return;
        }
        for (MediaHost host : candidates) if (placeByDegrading(session, host)) return;
        refuseOrFail(session);
    }

    /**
     * The highest rung that fits into a host's headroom less a reserve (kB/s), or -1. The more gateways there are, the
     * less this gateway sees of a pool's use, and the less of the headroom it uses, down to half: a rung too high for
     * an overloaded host costs all sessions there more than stepping up later.
     */
    private int highestFittingRung(Session session, MediaHost host, double reserveKb) {
        double headroomKb = (headroomKb(host) - reserveKb) * (0.5 + 0.5 * visibleFraction());
        for (int rung = topRung(session); rung >= classOf(session).minRung(); rung--) {
            if (rateKb(session, rung) <= headroomKb) return rung;
        }
        return -1;
    }

    /**
     * Starts a session at its lowest rung from the reserve, and raises it rung by rung as long as other sessions can
     * give up the bandwidth for less payoff than it gains.
     */
    private boolean placeByDegrading(Session session, MediaHost host) {
        int minRung = classOf(session).minRung();
        int rung = minRung - 1;
        double rungTimeS = meanRungTimeS();
        while (rung < topRung(session)) {
            double gain = (payoff(session, rung + 1) - (rung < minRung ? 0 : payoff(session, rung))) * rungTimeS;
            List<Session> degraded = sessionsToDegrade(host, rateKb(session, rung + 1), gain, rungTimeS);
            if (degraded == null) break;
            degraded.forEach(other -> setRung(other, other.rung - 1));
            rung++;
        }
        return rung >= minRung && sendAttempt(session, host, rung);
    }

    /**
     * Answers a request that cannot be placed. It is refused, so that the viewer may try again later, only where a
     * repetition does no harm: no attempt may have run, or the class may be repeated anywhere. Otherwise it fails.
     */
    private void refuseOrFail(Session session) {
        sessions.remove(session.request.req());
        Placement.RequestClass requestClass = classOf(session);
        boolean mayRefuse = !session.mayHaveRun
                || requestClass.effect() == Placement.Effect.PURE
                || (requestClass.effect() == Placement.Effect.TOKEN
                        && requestClass.group().equals("all"));
        if (!mayRefuse) actions.add(new Placement.Fail(session.request.req()));
        else
            actions.add(new Placement.Refuse(
                    session.request.req(),
                    settings.rules().retryAfter() ? Math.min(settings.rules().maxRetryAfter(), REPACK_PERIOD_MS) : 0));
    }

    // Degradation

    /**
     * Chooses sessions that step down one rung each, cheapest first per kB/s, until {@code neededKb} fits at a host.
     *
     * @param gain payoff that the degradation must stay under; if infinite, what can be freed is returned even if it is
     *     not enough
     * @param rungTimeS time (s) over which payoffs are compared
     * @return the sessions, or null if they would lose as much as is gained or cannot free enough
     */
    private List<Session> sessionsToDegrade(MediaHost host, double neededKb, double gain, double rungTimeS) {
        double missingLinkKb = neededKb - headroomKb(host.link);
        double missingRackKb = neededKb - headroomKb(rackUplink(host));
        double missingFleetKb = neededKb > 0 ? neededKb - headroomKb(fleet) : 0;
        List<Session> degraded = new ArrayList<>();
        double lostPayoff = 0;
        while (missingLinkKb > 0 || missingRackKb > 0 || missingFleetKb > 0) {
            Session cheapest = null;
            double lowestPrice = Double.POSITIVE_INFINITY;
            for (MediaHost other : hosts.values()) {
                if (other != host && (missingLinkKb > 0 || missingRackKb > 0 && rackUplink(other) != rackUplink(host)))
                    continue;
                for (Session session : other.sessions.values()) {
                    if (!mayDegrade(session) || degraded.contains(session)) continue;
                    double price = degradationLoss(session, rungTimeS)
                            / (rateKb(session, session.rung) - rateKb(session, session.rung - 1));
                    if (price < lowestPrice) {
                        lowestPrice = price;
                        cheapest = session;
                    }
                }
            }
            if (cheapest == null) return gain == Double.POSITIVE_INFINITY ? degraded : null;
            degraded.add(cheapest);
            lostPayoff += degradationLoss(cheapest, rungTimeS);
            if (lostPayoff >= gain) return null;
            double freedKb = rateKb(cheapest, cheapest.rung) - rateKb(cheapest, cheapest.rung - 1);
            if (cheapest.host == host) missingLinkKb -= freedKb;
            if (rackUplink(cheapest.host) == rackUplink(host)) missingRackKb -= freedKb;
            missingFleetKb -= freedKb;
        }
        return degraded;
    }

    private boolean mayDegrade(Session session) {
        return session.playing && session.rung > classOf(session).minRung();
    }

    /** How much of a pool's use this gateway can rely on knowing, from 0 to 1: little where many gateways share it. */
    private double visibleFraction() {
        return 1 / Math.sqrt(settings.gatewayCount());
    }

    /**
     * Payoff charged for a change of rung. A switch costs the class's worth for {@code switchS} seconds; the less this
     * gateway sees, the more changes are undone later.
     */
    private double switchCost(Session session) {
        return SWITCHES_CHARGED_PER_CHANGE
                * (1 - visibleFraction())
                * settings.ladder().switchS()
                * classOf(session).worth();
    }

    /** Payoff that a session loses by one rung less. */
    private double degradationLoss(Session session, double rungTimeS) {
        return (payoff(session, session.rung) - payoff(session, session.rung - 1)) * rungTimeS + switchCost(session);
    }

    /** Degrades the cheapest sessions until a host and its rack are within their budgets again. */
    private void degradeToBudget(MediaHost host) {
        while (localHeadroomKb(host) < 0) {
            List<Session> degraded = sessionsToDegrade(host, 0, Double.POSITIVE_INFINITY, meanRungTimeS());
            if (degraded.isEmpty()) return;
            degraded.forEach(session -> setRung(session, session.rung - 1));
        }
    }

    // Re-packing

    private void runPeriodicUpdate() {
        resizePools();
        for (MediaHost host : hosts.values()) {
            recoverBudget(host.link);
            updateOwnUse(host);
        }
        for (BandwidthPool uplink : rackUplinks) recoverBudget(uplink);
        recoverBudget(fleet);
        if (freedShares.removeIf(share -> share.expiresAt() <= now))
            hosts.values().forEach(this::updateOwnUse);
        repack();
        if (settings.subscribesToHostList()
                && !subscribed
                && now - subscribeRequestedAt > settings.rules().askEvery() / 4) subscribe();
    }

    /**
     * Chooses the rungs of all playing sessions anew (FluSS's OptCycle). It solves nested knapsacks: the sessions of
     * each host within its link, the hosts of each rack within its uplink, and all racks within the fleet's budget.
     */
    private void repack() {
        double wantedKb = 0;
        for (Session session : sessions.values()) if (session.playing) wantedKb += rateKb(session, topRung(session));
        double unitKb = Math.max(settings.ladder().ratesKb()[0] / UNITS_PER_LOWEST_RATE, wantedKb / MAX_KNAPSACK_UNITS);
        Map<BandwidthPool, List<RungPacking>> packingsByRack = new LinkedHashMap<>();
        // Use that stays as it is: freed shares and sessions that do not play yet.
        Map<BandwidthPool, Double> fixedKbByRack = new HashMap<>();
        double fixedFleetKb = settings.ladder().ratesKb()[0];
        for (MediaHost host : hosts.values()) {
            if (host.sessions.isEmpty()) continue;
            List<RungPacking> hostPackings = new ArrayList<>();
            double fixedKb = host.link.ownUseKb;
            for (Session session : host.sessions.values()) {
                if (!session.playing) continue;
                hostPackings.add(packSession(session, unitKb));
                fixedKb -= addedRateKb(session, host, session.rung);
            }
            fixedKbByRack.merge(rackUplink(host), fixedKb, Double::sum);
            fixedFleetKb += fixedKb;
            if (hostPackings.isEmpty()) continue;
            RungPacking packed =
                    RungPacking.packAll(hostPackings, (headroomKb(host.link) + host.link.ownUseKb - fixedKb) / unitKb);
            packingsByRack
                    .computeIfAbsent(rackUplink(host), uplink -> new ArrayList<>())
                    .add(packed);
        }
        List<RungPacking> packings = new ArrayList<>();
        double fleetLimit = (headroomKb(fleet) + fleet.ownUseKb - fixedFleetKb) / unitKb;
        for (Map.Entry<BandwidthPool, List<RungPacking>> e : packingsByRack.entrySet()) {
            BandwidthPool uplink = e.getKey();
            double rackLimit = (headroomKb(uplink)
                            + uplink.ownUseKb
                            - fixedKbByRack.get(uplink)
                            - settings.ladder().ratesKb()[0])
                    / unitKb;
            // A rack whose hosts fit together needs no knapsack of its own.
            if (RungPacking.totalUnits(e.getValue()) <= rackLimit) packings.addAll(e.getValue());
            else packings.add(RungPacking.packAll(e.getValue(), rackLimit));
        }
        if (packings.isEmpty()) return;
        if (RungPacking.totalUnits(packings) > fleetLimit)
            packings = List.of(RungPacking.packAll(packings, fleetLimit));
        Map<Session, Integer> plan = new LinkedHashMap<>();
        for (RungPacking packing : packings) packing.assign(packing.maximum(), plan);
        // Sessions step down before others step up.
        for (boolean up : new boolean[] {false, true}) {
            plan.forEach((session, rung) -> {
                if (rung > session.rung == up) setRung(session, rung);
            });
        }
    }

    /** The packing of one session: its best rung for each number of units. */
    private RungPacking packSession(Session session, double unitKb) {
        double[] value = new double[(int) Math.round(rateKb(session, topRung(session)) / unitKb) + 1];
        int[] rungs = new int[value.length];
        double rungTimeS = meanRungTimeS();
        Arrays.fill(value, Double.NEGATIVE_INFINITY);
        for (int rung = classOf(session).minRung(); rung <= topRung(session); rung++) {
            double rungValue = payoff(session, rung) * rungTimeS - (rung == session.rung ? 0 : switchCost(session));
            for (int units = (int) Math.round(rateKb(session, rung) / unitKb);
                    units < value.length && rungValue > value[units];
                    units++) {
                value[units] = rungValue;
                rungs[units] = rung;
            }
        }
        return RungPacking.ofSession(session, value, rungs);
    }

    // Attempts and deadlines

    /** Whether the class's limit of concurrent sessions of one title allows this session. */
    private boolean isWithinTitleLimit(Session session) {
        int limit = classOf(session).maxSessionsPerTitle();
        int others = 0;
        if (limit <= 0) return true;
        for (Session other : sessions.values()) {
            if (other != session
                    && other.classIndex == session.classIndex
                    && other.request.title() == session.request.title()
                    && other.host != null) others++;
        }
        return others < limit;
    }

    /**
     * Sends an attempt, if all rules allow it. Every attempt of a session goes through this method, so that all rules
     * are checked in one place.
     *
     * @return whether the attempt was sent
     */
    private boolean sendAttempt(Session session, MediaHost host, int rung) {
        Placement.RequestClass requestClass = classOf(session);
        Placement.Rules rules = settings.rules();
        if (session.awaitingAnswer
                || session.playing
                || now >= session.deadline
                || session.attemptIndex + 1 >= rules.maxAttempts()) return false;
        if (!host.running
                || !holdsTitle(host, session.request)
                || !slowStartAllows(host)
                || !isWithinTitleLimit(session)) {
            return false;
        }
        if (session.mayHaveRun && !mayRepeat(session, host, requestClass)) return false;
        if (session.attemptIndex >= 0 && !retryBudget.allowsRetry(now)) return false;
        if (session.attemptIndex >= 0) retryBudget.recordRetry(now);
        session.attemptIndex++;
        session.awaitingAnswer = true;
        session.host = host;
        session.sentAt = now;
        session.triedHosts.add(host);
        host.lastSetUpAt = now;
        host.sessions.put(session.request.req(), session);
        session.rung = -1;
        setRung(session, rung);
        boolean lastAttempt =
                requestClass.effect() != Placement.Effect.PURE || session.attemptIndex + 1 >= rules.maxAttempts();
        double suspicionMs =
                SUSPICION_FRACTION_OF_TARGET_LATENCY * Math.min(requestClass.targetLatency(), session.request.ttl());
        double expiresAt = lastAttempt ? session.deadline : Math.min(session.deadline, now + suspicionMs);
        actions.add(new Placement.StartAttempt(session.request.req(), host.id, expiresAt));
        actions.add(
                new Placement.StartTimer(suspicionMs, "wait:" + session.request.req() + ":" + session.attemptIndex));
        return true;
    }

    /**
     * Whether an attempt may follow one that may have run. Safe classes: always; paid ones: never; those with a token:
     * within its de-duplication window and group.
     */
    private boolean mayRepeat(Session session, MediaHost host, Placement.RequestClass requestClass) {
        return switch (requestClass.effect()) {
            case PURE -> true;
            case SIDE_EFFECT -> false;
            case TOKEN ->
                now - session.mayHaveRunSince < requestClass.dedupWindow()
                        && switch (requestClass.group()) {
                            case "all" -> true;
                            case "zone" -> host.entry.zone().equals(session.mayHaveRunAt.entry.zone());
                            default -> host.entry.position() == session.mayHaveRunAt.entry.position();
                        };
        };
    }

    /**
     * Sets a session's rung, never below the lowest rung of its class nor above what viewer and class can use. All
     * changes of a rung that this gateway decides go through this method.
     */
    private void setRung(Session session, int rung) {
        int newRung = Math.max(classOf(session).minRung(), Math.min(topRung(session), rung));
        if (newRung == session.rung) return;
        boolean up = newRung > session.rung;
        session.rung = newRung;
        if (session.playing && up) switches += 2;
        actions.add(new Placement.SetRung(session.request.req(), newRung));
        if (session.host != null) updateOwnUse(session.host);
    }

    /** Takes over a session that another process of this gateway opened, if its host is listed. */
    private void onSessionResumed(Placement.SessionRequest request, String hostId) {
        int classIndex = classIndex(request.service());
        MediaHost host = hosts.get(hostId);
        if (classIndex < 0 || host == null) return;
        Session session = new Session(
                request, classIndex, now, settings.classes().get(classIndex).worth());
        session.attemptIndex = 0;
        host.hadResumedSession = true;
        session.playing = true;
        session.host = host;
        session.playingSince = now;
        session.rung = settings.classes().get(classIndex).minRung();
        sessions.put(request.req(), session);
        host.sessions.put(request.req(), session);
        updateOwnUse(host);
    }

    private void onSessionStarted(Placement.SessionStarted event) {
        Session session = sessions.get(event.req());
        if (session == null || session.host == null) return;
        session.awaitingAnswer = false;
        session.playing = true;
        session.playingSince = now;
        recordAnswer(session.host);
    }

    /** Removes a session from its host. */
    private void releaseHost(Session session) {
        if (session.host == null) return;
        MediaHost host = session.host;
        host.sessions.remove(session.request.req());
        session.host = null;
        updateOwnUse(host);
    }

    private void onViewerLeft(long req) {
        Session session = sessions.get(req);
        if (session == null) return;
        session.mayHaveRun = true;
        if (!session.awaitingAnswer) {
            sessions.remove(req);
            releaseHost(session);
        }
    }

    private void onAttemptEnded(Placement.AttemptEnded event) {
        MediaHost reportingHost = hosts.get(event.host());
        if (reportingHost != null) applyLoadReport(reportingHost, event.report());
        Session session = sessions.get(event.req());
        if (session == null || event.attemptIndex() != session.attemptIndex) return;
        boolean played = session.playing;
        boolean neverRan =
                switch (event.code()) {
                    case "QueueFull", "ConnectError", "Ignored" -> true;
                    default -> false;
                };
        MediaHost host = session.host;
        session.awaitingAnswer = false;
        session.playing = false;
        if (!neverRan) {
            session.mayHaveRun = true;
            session.mayHaveRunSince = session.sentAt;
            session.mayHaveRunAt = host;
        }
        if (host != null) {
            recordResult(host, event.code(), played);
            releaseHost(session);
        }
        if (played) {
            endedPlayingTimeMs += now - session.playingSince;
            endedSessions++;
            if (event.code().equals("Ok") && host != null && host.running) {
                freedShares.add(new FreedShare(
                        session.classIndex,
                        host,
                        session.rung,
                        rateKb(session, session.rung),
                        now + FREED_SHARE_HOLD_MS));
                updateOwnUse(host);
            }
        }
        if (event.requestClosed()) sessions.remove(event.req());
        else if (now >= session.deadline) refuseOrFail(session);
        else place(session);
    }

    // Host health

    /** Resets the count of failures and raises the reliability of a host that answered a set-up. */
    private void recordAnswer(MediaHost host) {
        if (host.connectionLost) {
            host.connectionLost = false;
            host.recoveredAt = now;
        }
        host.consecutiveFailures = 0;
        host.reliability += RELIABILITY_RECOVERY_FRACTION * (1 - host.reliability);
    }

    /** Updates a host's health by the result code of a session that ended there. */
    private void recordResult(MediaHost host, String code, boolean played) {
        switch (code) {
            case "Failed" -> host.reliability *= RELIABILITY_FAILURE_FACTOR;
            case "QueueFull" ->
                // A full host is not asked again at once.
                host.circuitOpenUntil = Math.max(host.circuitOpenUntil, now + settings.observationDelay());
            case "ResetByPeer", "ConnectError" -> {
                host.connectionLost = true;
                openCircuit(host);
            }
            case "TimedOut" -> openCircuit(host);
            default -> {}
        }
    }

    /**
     * Opens a host's circuit breaker: it gets no set-ups for a time that doubles with each failure in a row, then one
     * safe set-up at a time. The first time is no shorter than the mean time between the requests of this gateway, as
     * the next one would go there again otherwise. A second failure in a row makes the host count as lost.
     */
    private void openCircuit(MediaHost host) {
        if (host == null || now < host.circuitOpenUntil) return;
        double baseMs = Math.max(
                SUSPICION_FRACTION_OF_TARGET_LATENCY * settings.classes().get(0).targetLatency(),
                (now - createdAt) / Math.max(1, requestCount));
        host.circuitOpenUntil =
                now + Math.min(settings.rules().warmUp(), baseMs * Math.pow(2, host.consecutiveFailures));
        host.consecutiveFailures++;
        host.reliability *= RELIABILITY_FAILURE_FACTOR;
        host.connectionLost |= host.consecutiveFailures > 1;
    }

    /**
     * Probes the host that was not probed for the longest time, where probes are the only source of load reports. What
     * probes cost is bounded by the number of requests, with this gateway's part of the hosts added.
     */
    private void probeNextHost() {
        double budgetPoints =
                PROBE_POINTS_PER_REQUEST * (requestCount + (double) hosts.size() / settings.gatewayCount());
        if (probeCount * settings.penalties().probe() > budgetPoints) return;
        MediaHost next = null;
        for (MediaHost host : hosts.values()) {
            if (!host.running || now < host.circuitOpenUntil) continue;
            if (next == null || host.lastProbedAt < next.lastProbedAt) next = host;
        }
        if (next == null) return;
        next.lastProbedAt = now;
        probeCount++;
        actions.add(new Placement.ProbeHost(next.id));
    }

    private void onProbeResult(Placement.ProbeResult result) {
        MediaHost host = hosts.get(result.host());
        if (host != null && result.code().equals("Ok")) applyLoadReport(host, result.report());
    }
}
