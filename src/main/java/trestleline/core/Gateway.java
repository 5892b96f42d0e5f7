package trestleline.core;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trestleline.placement.Placement;
import trestleline.placement.PlacementPolicy;

/**
 * The event-loop owner of one decision module ({@link PlacementPolicy}): it turns what fronts, hosts and the host list
 * report into events of the module and executes the actions that the module returns, in order. It takes no placement
 * decisions and is independent of any protocol.
 *
 * <p>Not thread-safe: every method must be called on the same event loop. Memory use is bounded by the number of live
 * requests and sessions.
 */
public final class Gateway {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
    /**
     * How long (ms) after its deadline a request that the module has not answered is failed. The module must answer
     * before the deadline, so reaching this limit is a defect of the module.
     */
    private static final double OVERDUE_GRACE_MS = 20;
    /**
     * Kinds of {@link Placement.HostNotice}: the session's rung, the use of the host's link, the use of its rack's
     * uplink.
     */
    private static final int NOTICE_RUNG = 2;

    private static final int NOTICE_LINK_USE = 3;
    private static final int NOTICE_RACK_UPLINK_USE = 4;

    private final Placement.Settings settings;
    private final DecisionModule decisionModule;
    private final PreWriteCheck preWriteCheck;
    private final DoubleSupplier clock;
    private final Timers timers;
    private final MediaHosts mediaHosts;
    private final HostListSource hostListSource;
    private final AttemptJournal attemptJournal;
    private final String attemptIdPrefix;
    private final double deadlineMarginMs;
    private final EventQueue eventQueue;
    private final HostList hostList = new HostList();
    private final Map<Long, RequestState> requests = new LinkedHashMap<>();
    private long nextRequestId = 1;
    private long requestCount;
    private long grantedCount;
    private long refusedCount;
    private long failedCount;
    private long cancelledCount;
    private long attemptCount;
    private long droppedBeforeWriteCount;
    private long overdueCount;
    private long moduleFaultCount;
    /** Number of sessions that play. */
    private int playing;

    private boolean stopped;

    /**
     * State of one request, kept from its arrival until it has been answered, its attempts are over and its session has
     * ended. {@code viewer} is null once the viewer has been answered without a session or has left; {@code attempt} is
     * null unless an attempt is pending, and {@code pendingSetUp} is the handle of the latest one.
     */
    private static final class RequestState {
        final Placement.SessionRequest sessionRequest;
        final Placement.RequestClass requestClass;
        final double deadlineMs;
        Viewer viewer;
        int attemptIndex = -1;
        int rung;
        Attempt attempt;
        MediaHosts.PendingSetUp pendingSetUp;
        double decidedAtMs;
        double writtenAtMs;
        RequestPayload payload = RequestPayload.NONE;
        Session session;
        /** Fails the request if nobody has answered it in time; null once it is answered or its viewer has left. */
        Timers.Timer overdueTimer;
        /** Ends the pending attempt at its time; null unless an attempt is pending. */
        Timers.Timer attemptTimer;

        RequestState(
                Placement.SessionRequest sessionRequest,
                Placement.RequestClass requestClass,
                double deadlineMs,
                Viewer viewer) {
            this.sessionRequest = sessionRequest;
            this.requestClass = requestClass;
            this.deadlineMs = deadlineMs;
            this.viewer = viewer;
            this.rung = requestClass.minRung();
        }

        /** Stops waiting for the answer: the timer would keep the request for as long as its viewer said it waits. */
        void stopOverdueTimer() {
            if (overdueTimer != null) overdueTimer.cancel();
            overdueTimer = null;
        }

        /** Makes no attempt pending any more. */
        void clearAttempt() {
            attempt = null;
            if (attemptTimer != null) attemptTimer.cancel();
            attemptTimer = null;
        }
    }

    /**
     * Creates a gateway with the standard decision module and pre-write check.
     *
     * @param settings the settings that the module and this gateway work by
     * @param seed seed of the module's random generator
     * @param generation identifies this start of the gateway and must differ from that of every earlier start; it is
     *     part of every attempt's id
     * @param deadlineMarginMs time (ms) subtracted from each deadline, so that the answer reaches the viewer before it
     * @param clock current time, in milliseconds since the epoch
     * @param timers timers on the event loop that calls this gateway
     * @param mediaHosts client of the media hosts
     * @param hostListSource source of the host list
     * @param attemptJournal record of paid set-ups
     */
    public Gateway(
            Placement.Settings settings,
            long seed,
            String generation,
            double deadlineMarginMs,
            DoubleSupplier clock,
            Timers timers,
            MediaHosts mediaHosts,
            HostListSource hostListSource,
            AttemptJournal attemptJournal) {
        this(
                settings,
                new PlacementPolicy(settings, seed, clock.getAsDouble())::handle,
                PreWriteCheck.DEFAULT,
                generation,
                deadlineMarginMs,
                clock,
                timers,
                mediaHosts,
                hostListSource,
                attemptJournal);
    }

    /** Creates a gateway with the given decision module and pre-write check; the other parameters are as above. */
    public Gateway(
            Placement.Settings settings,
            DecisionModule decisionModule,
            PreWriteCheck preWriteCheck,
            String generation,
            double deadlineMarginMs,
            DoubleSupplier clock,
            Timers timers,
            MediaHosts mediaHosts,
            HostListSource hostListSource,
            AttemptJournal attemptJournal) {
        this.settings = settings;
        this.decisionModule = decisionModule;
        this.preWriteCheck = preWriteCheck;
        this.clock = clock;
        this.timers = timers;
        this.mediaHosts = mediaHosts;
        this.hostListSource = hostListSource;
        this.attemptJournal = attemptJournal;
        this.deadlineMarginMs = deadlineMarginMs;
        attemptIdPrefix = settings.gatewayIndex() + "-" + generation + "-";
        eventQueue = new EventQueue(clock);
        timers.after(EventQueue.HEARTBEAT_INTERVAL_MS, this::heartbeat);
    }

    private void heartbeat() {
        if (stopped) return;
        timers.after(eventQueue.heartbeat(), this::heartbeat);
    }

    // Calls from fronts

    /**
     * Requests a session for a viewer. The time to answer is the deadline of the request's class, less the margin and
     * the time that the request may have waited unread while the event loop was stalled.
     *
     * @param sessionRequest the request; its {@code req} and {@code ttl} are ignored and set here
     * @param viewer receives the answer
     * @return the id of the request, for {@link #cancelRequest}
     */
    public long request(Placement.SessionRequest sessionRequest, Viewer viewer) {
        return request(
                sessionRequest, requestClassOf(sessionRequest.service()).deadline(), RequestPayload.NONE, viewer);
    }

    /**
     * Requests a session for a viewer that states how long it waits for the answer.
     *
     * @param sessionRequest the request; its {@code req} and {@code ttl} are ignored and set here
     * @param patienceMs how long (ms) the viewer waits for the answer, before the margin is subtracted
     * @param payload what the viewer sent along for the host
     * @param viewer receives the answer
     * @return the id of the request, for {@link #cancelRequest}
     */
    public long request(
            Placement.SessionRequest sessionRequest, double patienceMs, RequestPayload payload, Viewer viewer) {
        long requestId = nextRequestId++;
        Placement.RequestClass requestClass = requestClassOf(sessionRequest.service());
        double receivedAtMs = clock.getAsDouble();
        double ttlMs = Math.max(1, patienceMs - deadlineMarginMs - eventQueue.lagMs());
        var completeRequest = new Placement.SessionRequest(
                requestId,
                sessionRequest.service(),
                sessionRequest.tenant(),
                sessionRequest.key(),
                sessionRequest.title(),
                ttlMs,
                sessionRequest.hint(),
                sessionRequest.home(),
                sessionRequest.holders(),
                sessionRequest.top(),
                sessionRequest.marks());
        var request = new RequestState(completeRequest, requestClass, receivedAtMs + ttlMs, viewer);
        request.payload = payload;
        requests.put(requestId, request);
        requestCount++;
        request.overdueTimer = timers.after(
                ttlMs + OVERDUE_GRACE_MS,
                () -> eventQueue.submit(EventQueue.Priority.DEFERRABLE, () -> failOverdue(request)));
        eventQueue.submit(EventQueue.Priority.DEFERRABLE, () -> {
            if (request.viewer == null) return;
            double queuedMs = clock.getAsDouble() - receivedAtMs;
            dispatch(new Placement.NewRequest(
                    queuedMs < 1 ? completeRequest : withTtl(completeRequest, Math.max(0, ttlMs - queuedMs))));
        });
        return requestId;
    }

    private static Placement.SessionRequest withTtl(Placement.SessionRequest sessionRequest, double ttlMs) {
        return new Placement.SessionRequest(
                sessionRequest.req(),
                sessionRequest.service(),
                sessionRequest.tenant(),
                sessionRequest.key(),
                sessionRequest.title(),
                ttlMs,
                sessionRequest.hint(),
                sessionRequest.home(),
                sessionRequest.holders(),
                sessionRequest.top(),
                sessionRequest.marks());
    }

    private Placement.RequestClass requestClassOf(String name) {
        for (Placement.RequestClass requestClass : settings.classes())
            if (requestClass.name().equals(name)) return requestClass;
        throw new IllegalArgumentException("no class named '" + name + "'");
    }

    /**
     * Cancels a request because its viewer has left. Does nothing if the request is unknown, answered or already left.
     *
     * @return whether a set-up of the request may have run at a host; none is written from now on
     */
    public boolean cancelRequest(long requestId) {
        RequestState request = requests.get(requestId);
        if (request == null || request.viewer == null || request.session != null) return false;
        takeViewer(request);
        cancelledCount++;
        eventQueue.submit(EventQueue.Priority.DEFERRABLE, () -> {
            if (requests.get(requestId) != request) return;
            dispatch(new Placement.ViewerLeft(requestId));
            Attempt attempt = request.attempt;
            if (attempt == null) {
                requests.remove(requestId);
                return;
            }
            // Abandon the pending attempt: if the host went on with it, it would hold a place and its connection until
            // the attempt expired.
            request.pendingSetUp.abandon();
            onAttemptOver(request, attempt, Outcome.CANCELED, Map.of());
        });
        return request.writtenAtMs > 0;
    }

    /**
     * Ends a playing session and releases its share at the host. Does nothing if the session has already ended.
     *
     * @param session the session
     * @param reason why it ended
     */
    public void endSession(Session session, EndReason reason) {
        endSession(session, reason, Map.of());
    }

    /**
     * Ends a playing session as {@link #endSession(Session, EndReason)} does.
     *
     * @param session the session
     * @param reason why it ended
     * @param report load figures that the host reported with the end, by name
     */
    public void endSession(Session session, EndReason reason, Map<String, Double> report) {
        if (!session.open) return;
        session.open = false;
        playing--;
        RequestState request = requests.remove(session.request().req());
        if (request == null) return;
        if (reason == EndReason.HOST_LOST) hostList.recordConnectionLost(session.host(), clock.getAsDouble());
        mediaHosts.release(session.attempt());
        Viewer viewer = request.viewer;
        eventQueue.submit(EventQueue.Priority.HOST_RESPONSE, () -> {
            long requestId = session.request().req();
            Outcome outcome =
                    switch (reason) {
                        case PLAYED_OUT -> Outcome.OK;
                        case HOST_LOST -> Outcome.RESET_BY_PEER;
                        case HOST_SILENT -> Outcome.TIMED_OUT;
                        case VIEWER_GONE, MOVED, SHUTDOWN -> Outcome.CANCELED;
                    };
            if (reason == EndReason.VIEWER_GONE) dispatch(new Placement.ViewerLeft(requestId));
            dispatch(new Placement.AttemptEnded(
                    requestId,
                    session.attempt().index(),
                    session.host(),
                    clock.getAsDouble() - session.startedAt(),
                    true,
                    outcome.code(),
                    report));
        });
        if (reason != EndReason.VIEWER_GONE) viewer.ended(session, reason);
    }

    /**
     * Ends the session of an attempt because its host reported the end. Does nothing if the attempt is not playing. The
     * viewer is notified for {@code VIEWER_GONE} too, because the host reported its leaving first; it is owed nothing
     * more then.
     *
     * @param attempt the attempt that the session was set up by
     * @param reason why it ended
     * @param report load figures that the host reported with the end, by name
     */
    public void reportAttemptEnd(Attempt attempt, EndReason reason, Map<String, Double> report) {
        eventQueue.submit(EventQueue.Priority.HOST_RESPONSE, () -> {
            RequestState request = playing(attempt);
            if (request == null) return;
            Viewer viewer = request.viewer;
            Session session = request.session;
            endSession(session, reason, report);
            if (reason == EndReason.VIEWER_GONE) viewer.ended(session, reason);
        });
    }

    /**
     * Passes on a host's notification about an attempt. Does nothing if the attempt is not playing.
     *
     * @param attempt the attempt that the session was set up by
     * @param kind the kind of value, as in {@link Placement.HostNotice}
     * @param value the value
     */
    public void reportAttemptNotice(Attempt attempt, int kind, double value) {
        eventQueue.submit(EventQueue.Priority.HOST_RESPONSE, () -> {
            RequestState request = playing(attempt);
            if (request != null) reportSessionNotice(request.session, kind, value);
        });
    }

    /** Returns the request whose playing session was set up by the attempt, or null. */
    private RequestState playing(Attempt attempt) {
        RequestState request = requests.get(attempt.request().req());
        return request == null || request.session == null || request.session.attempt() != attempt ? null : request;
    }

    /**
     * Takes over a session that an earlier process of this gateway handed over. It goes on playing at the rung it had,
     * or is taken to play at its class's floor if the rung is not known.
     *
     * @param handedOver the session as the earlier process recorded it
     * @param viewer is notified when the session ends
     */
    public Session resumeSession(OpenSession handedOver, Viewer viewer) {
        long requestId = nextRequestId++;
        Placement.SessionRequest previousRequest = handedOver.ask();
        var sessionRequest = new Placement.SessionRequest(
                requestId,
                previousRequest.service(),
                previousRequest.tenant(),
                previousRequest.key(),
                previousRequest.title(),
                previousRequest.ttl(),
                previousRequest.hint(),
                previousRequest.home(),
                previousRequest.holders(),
                previousRequest.top(),
                previousRequest.marks());
        Placement.RequestClass requestClass = requestClassOf(previousRequest.service());
        var request = new RequestState(sessionRequest, requestClass, Double.POSITIVE_INFINITY, viewer);
        request.attemptIndex = 0;
        boolean rungKnown = handedOver.rung() != OpenSession.UNKNOWN_RUNG;
        request.rung = rungKnown ? handedOver.rung() : requestClass.minRung();
        request.session = new Session(
                new Attempt(
                        handedOver.attempt(),
                        sessionRequest,
                        requestClass,
                        0,
                        handedOver.host(),
                        request.rung,
                        0,
                        handedOver.cargo()),
                request.rung,
                clock.getAsDouble());
        requests.put(requestId, request);
        playing++;
        mediaHosts.adopt(request.session.attempt());
        eventQueue.submit(EventQueue.Priority.HOST_RESPONSE, () -> {
            if (!request.session.open) return; // ended while it was taken over
            dispatch(new Placement.SessionResumed(sessionRequest, handedOver.host()));
            if (rungKnown)
                dispatch(new Placement.HostNotice(requestId, 0, handedOver.host(), NOTICE_RUNG, handedOver.rung()));
        });
        return request.session;
    }

    /** Returns the record of a playing session that {@link #resumeSession} of the next process needs. */
    public OpenSession handOver(Session session) {
        return new OpenSession(
                session.request(), session.host(), session.attempt().id(), session.rung());
    }

    // Calls from the host list and the host clients

    /**
     * Applies a whole host list, changes to it, or the loss of its source. It takes effect on pending set-ups at once,
     * ahead of all queued events.
     */
    public void updateHostList(Placement.HostListUpdate update) {
        hostList.apply(update);
        eventQueue.submit(EventQueue.Priority.HOST_LIST, () -> dispatch(update));
    }

    /**
     * Passes on a host's notification about a session. Does nothing if the session has ended.
     *
     * @param session the session
     * @param kind the kind of value, as in {@link Placement.HostNotice}
     * @param value the value
     */
    public void reportSessionNotice(Session session, int kind, double value) {
        if (!session.open) return;
        eventQueue.submit(EventQueue.Priority.HOST_RESPONSE, () -> {
            if (session.open) {
                if (kind == NOTICE_RUNG) session.rung = (int) value;
                dispatch(new Placement.HostNotice(
                        session.request().req(), session.attempt().index(), session.host(), kind, value));
            }
        });
    }

    /** Returns the counters and sizes of this gateway, for the status page. */
    public Counts counts() {
        return new Counts(
                requestCount,
                grantedCount,
                refusedCount,
                failedCount,
                cancelledCount,
                attemptCount,
                droppedBeforeWriteCount,
                overdueCount,
                moduleFaultCount,
                eventQueue.stallCount(),
                requests.size() - playing,
                playing,
                hostList.size(),
                hostList.version());
    }

    /** Returns how long (ms) the event loop may have been stalled, or 0 while its heartbeat is on time. */
    public double loopLag() {
        return eventQueue.lagMs();
    }

    /**
     * Stops this gateway and its timers: ends its sessions and fails its unanswered requests, so that no request is
     * left without an answer.
     */
    public void stop() {
        stopped = true;
        for (RequestState request : new ArrayList<>(requests.values())) {
            if (request.session != null) endSession(request.session, EndReason.SHUTDOWN);
            else if (request.viewer != null) {
                failedCount++;
                takeViewer(request).failed();
            }
            if (request.pendingSetUp != null) request.pendingSetUp.abandon();
        }
        requests.clear();
    }

    /** Halts this gateway as a crash would: nothing is answered, sent or released from now on. */
    public void halt() {
        stopped = true;
        requests.clear();
    }

    /** Stops as {@link #stop} does, but leaves sessions playing, for the next process to resume. */
    public void stopKeepingSessions() {
        requests.values().removeIf(request -> request.session != null);
        stop();
    }

    // Decision module

    private void dispatch(Placement.Event event) {
        if (stopped) return;
        List<Placement.Action> actions;
        try {
            actions = decisionModule.handle(clock.getAsDouble(), event);
        } catch (RuntimeException | StackOverflowError exception) {
            moduleFaultCount++;
            LOG.atError().setCause(exception).addKeyValue("event", event).log("decision module threw an exception");
            return;
        }
        for (Placement.Action action : actions) execute(action);
    }

    private void execute(Placement.Action action) {
        if (action instanceof Placement.StartAttempt start) startAttempt(start);
        else if (action instanceof Placement.SetRung change) changeRung(change);
        else if (action instanceof Placement.StartTimer timer) {
            timers.after(
                    timer.delay(),
                    () -> eventQueue.submit(
                            EventQueue.Priority.DEFERRABLE, () -> dispatch(new Placement.TimerFired(timer.tag()))));
        } else if (action instanceof Placement.Refuse refusal) refuse(refusal);
        else if (action instanceof Placement.Fail failure) fail(failure.req());
        else if (action instanceof Placement.ProbeHost probe) probe(probe.host());
        else if (action instanceof Placement.CancelAttempt cancel) cancelAttempt(cancel);
        else if (action instanceof Placement.Evict eviction) evictSession(eviction.req());
        else if (action instanceof Placement.CloseIdleConnections close) mediaHosts.closeIdleConnections(close.host());
        else if (action instanceof Placement.Subscribe subscription) hostListSource.subscribe(subscription.enabled());
        else if (action instanceof Placement.RefreshHostList) hostListSource.refresh();
        else if (action instanceof Placement.Trace trace)
            LOG.atInfo().addKeyValue("text", trace.text()).log("module");
    }

    private void startAttempt(Placement.StartAttempt action) {
        RequestState request = requests.get(action.req());
        if (request == null || request.attempt != null || request.session != null) {
            moduleFaultCount++;
            LOG.atError()
                    .addKeyValue("req", action.req())
                    .log("decision module started an attempt of a request that is unknown or has one already");
            return;
        }
        double nowMs = clock.getAsDouble();
        double expiresAtMs =
                action.expiresAt() > 0 ? Math.min(action.expiresAt(), request.deadlineMs) : request.deadlineMs;
        request.attemptIndex++;
        var attempt = new Attempt(
                attemptIdPrefix + action.req() + "-" + request.attemptIndex,
                request.sessionRequest,
                request.requestClass,
                request.attemptIndex,
                action.host(),
                request.rung,
                expiresAtMs,
                request.payload);
        request.attempt = attempt;
        request.decidedAtMs = nowMs;
        attemptCount++;
        if (isPaid(attempt)) attemptJournal.recordIntent(attempt);
        request.attemptTimer = timers.after(
                expiresAtMs - nowMs,
                () -> eventQueue.submit(EventQueue.Priority.DEFERRABLE, () -> {
                    if (request.attempt != attempt) return;
                    request.pendingSetUp.abandon();
                    onAttemptOver(request, attempt, Outcome.TIMED_OUT, Map.of());
                }));
        request.pendingSetUp = mediaHosts.setUp(attempt, new MediaHosts.SetUpListener() {
            @Override
            public MediaHosts.WriteDecision beforeWrite() {
                return checkBeforeWrite(request, attempt);
            }

            @Override
            public void sessionStarted(Map<String, Double> report) {
                sessionStarted(report, new byte[0]);
            }

            @Override
            public void sessionStarted(Map<String, Double> report, byte[] hostDescription) {
                eventQueue.submit(
                        EventQueue.Priority.HOST_RESPONSE, () -> onPlaying(request, attempt, report, hostDescription));
            }

            @Override
            public void setUpEnded(Outcome outcome, Map<String, Double> report) {
                eventQueue.submit(
                        EventQueue.Priority.HOST_RESPONSE,
                        () -> Gateway.this.onAttemptOver(request, attempt, outcome, report));
            }
        });
    }

    private MediaHosts.WriteDecision checkBeforeWrite(RequestState request, Attempt attempt) {
        boolean wanted = !stopped && request.attempt == attempt && request.viewer != null;
        double nowMs = clock.getAsDouble();
        MediaHosts.WriteDecision decision = preWriteCheck.check(new PreWriteCheck.Facts(
                wanted,
                eventQueue.lagMs() > 0,
                nowMs >= attempt.expiresAt(),
                hostList.acceptsNewSessions(attempt.host()),
                hostList.isCold(attempt.host(), nowMs, settings.rules().warmUp()),
                nowMs - request.decidedAtMs,
                () -> isPaid(attempt) ? attemptJournal.checkIntent(attempt) : MediaHosts.WriteDecision.WRITE));
        if (decision == MediaHosts.WriteDecision.DROP) droppedBeforeWriteCount++;
        if (decision == MediaHosts.WriteDecision.WRITE)
            request.writtenAtMs = clock.getAsDouble(); // the check took its time
        if (decision == MediaHosts.WriteDecision.WRITE && isPaid(attempt)) attemptJournal.recordWritten(attempt);
        return decision;
    }

    private static boolean isPaid(Attempt attempt) {
        return attempt.requestClass().effect() == Placement.Effect.SIDE_EFFECT;
    }

    private void onPlaying(RequestState request, Attempt attempt, Map<String, Double> report, byte[] hostDescription) {
        if (request.attempt != attempt) {
            mediaHosts.release(attempt);
            return;
        }
        if (request.viewer == null) {
            mediaHosts.release(attempt);
            onAttemptOver(request, attempt, Outcome.OK, report);
            return;
        }
        request.clearAttempt();
        request.stopOverdueTimer();
        if (isPaid(attempt)) attemptJournal.recordOutcome(attempt, Outcome.OK);
        request.session = new Session(attempt, request.rung, clock.getAsDouble());
        playing++;
        dispatch(new Placement.SessionStarted(
                request.sessionRequest.req(), attempt.index(), attempt.host(), attemptDurationMs(request)));
        grantedCount++;
        if (request.session.rung != attempt.rung()) mediaHosts.rungChanged(attempt, request.session.rung);
        request.session.hostDescription = hostDescription;
        request.viewer.granted(request.session);
        request.session.hostDescription = new byte[0];
        Double linkUse = report.get("x0");
        Double rackUplinkUse = report.get("x1");
        if (linkUse != null) reportSessionNotice(request.session, NOTICE_LINK_USE, linkUse);
        if (rackUplinkUse != null) reportSessionNotice(request.session, NOTICE_RACK_UPLINK_USE, rackUplinkUse);
    }

    private void onAttemptOver(RequestState request, Attempt attempt, Outcome outcome, Map<String, Double> report) {
        if (request.attempt != attempt) return;
        request.clearAttempt();
        request.pendingSetUp = null;
        if (outcome == Outcome.CONNECT_ERROR || outcome == Outcome.RESET_BY_PEER)
            hostList.recordConnectionLost(attempt.host(), clock.getAsDouble());
        if (isPaid(attempt)) attemptJournal.recordOutcome(attempt, outcome);
        boolean requestClosed = request.viewer == null;
        if (requestClosed) requests.remove(request.sessionRequest.req());
        dispatch(new Placement.AttemptEnded(
                request.sessionRequest.req(),
                attempt.index(),
                attempt.host(),
                attemptDurationMs(request),
                requestClosed,
                outcome.code(),
                report));
    }

    /** Returns how long (ms) an attempt has taken, since its write or, if nothing was written, since the decision. */
    private double attemptDurationMs(RequestState request) {
        return clock.getAsDouble() - Math.max(request.decidedAtMs, request.writtenAtMs);
    }

    private void changeRung(Placement.SetRung action) {
        RequestState request = requests.get(action.req());
        if (request == null) return;
        request.rung = action.rung();
        if (request.session == null || request.session.rung == action.rung()) return;
        request.session.rung = action.rung();
        mediaHosts.rungChanged(request.session.attempt(), action.rung());
    }

    /** Returns the viewer and clears it from the request, so that it cannot be answered twice or waited for. */
    private static Viewer takeViewer(RequestState request) {
        Viewer viewer = request.viewer;
        request.viewer = null;
        request.stopOverdueTimer();
        return viewer;
    }

    private void refuse(Placement.Refuse action) {
        RequestState request = requests.get(action.req());
        if (request == null || request.viewer == null || request.session != null) return;
        refusedCount++;
        if (request.attempt == null) requests.remove(action.req());
        takeViewer(request).refused(settings.rules().retryAfter() ? action.retryAfter() : 0);
    }

    private void fail(long requestId) {
        RequestState request = requests.get(requestId);
        if (request == null || request.viewer == null || request.session != null) return;
        failedCount++;
        if (request.attempt == null) requests.remove(requestId);
        takeViewer(request).failed();
    }

    private void failOverdue(RequestState request) {
        if (stopped || request.viewer == null || request.session != null) return;
        overdueCount++;
        LOG.atError()
                .addKeyValue("req", request.sessionRequest.req())
                .log("decision module left a request unanswered past its deadline; request failed");
        fail(request.sessionRequest.req());
        dispatch(new Placement.ViewerLeft(request.sessionRequest.req()));
    }

    private void probe(String host) {
        double startedAtMs = clock.getAsDouble();
        mediaHosts.probe(
                host,
                (succeeded, report) -> eventQueue.submit(
                        EventQueue.Priority.HOST_RESPONSE,
                        () -> dispatch(new Placement.ProbeResult(
                                host, succeeded ? "Ok" : "TimedOut", clock.getAsDouble() - startedAtMs, report))));
    }

    private void cancelAttempt(Placement.CancelAttempt action) {
        RequestState request = requests.get(action.req());
        if (request == null || request.attempt == null || request.attempt.index() != action.attemptIndex()) return;
        Attempt attempt = request.attempt;
        request.pendingSetUp.abandon();
        eventQueue.submit(
                EventQueue.Priority.HOST_RESPONSE, () -> onAttemptOver(request, attempt, Outcome.CANCELED, Map.of()));
    }

    private void evictSession(long requestId) {
        RequestState request = requests.get(requestId);
        if (request != null && request.session != null) endSession(request.session, EndReason.MOVED);
    }
}
