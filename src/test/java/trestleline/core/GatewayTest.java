package trestleline.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import trestleline.placement.Placement;

/** Tests the core in simulated time against hosts with random outcomes, viewers that leave and a stalled event loop. */
class GatewayTest {
    private static final int HOST_COUNT = 4;
    /** The longest time to wait that a viewer can state on the platform: seven digits. */
    private static final double STATED_PATIENCE_MS = 9_999_999;

    /** Discrete-event simulation of the hosts, the host list and the timers around one gateway. Times are in ms. */
    private static class Simulation implements MediaHosts, HostListSource {
        private record Task(double dueMs, long sequence, Runnable action) {}

        final PriorityQueue<Task> tasks = new PriorityQueue<>(
                (a, b) -> a.dueMs != b.dueMs ? Double.compare(a.dueMs, b.dueMs) : Long.compare(a.sequence, b.sequence));
        final List<String> violations = new ArrayList<>();
        final Map<Long, String> outstandingAttempts = new HashMap<>();
        final Map<String, String> listedStatus = new HashMap<>();
        final List<String> runningAttempts = new ArrayList<>();
        final SplittableRandom random;
        final Placement.Settings settings;
        final Gateway gateway;
        double nowMs = 1_000_000;
        double listedAtMs;
        long nextSequence;
        int writes;
        int drops;

        Simulation(long seed) {
            random = new SplittableRandom(seed);
            var paidClass = new Placement.RequestClass(
                    "paid", 1500, 0, 3000, Placement.Effect.SIDE_EFFECT, "all", 0, 2, 1, 2, 1, 3, false);
            var repeatableClass = new Placement.RequestClass(
                    "safe", 1000, 0, 5000, Placement.Effect.PURE, "all", 0, 1, 0, 2, 1, 0, false);
            settings = new Placement.Settings(
                    0,
                    1,
                    "z",
                    10,
                    false,
                    900,
                    0,
                    List.of(),
                    "silent",
                    List.of(paidClass, repeatableClass),
                    List.of(),
                    0.1,
                    new Placement.Ladder(new double[] {10, 20, 40}, new double[] {0.3, 0.6, 1}, 0.5, 8, 1),
                    new Placement.Fleet(HOST_COUNT, 2, 4000, 2000, 1000, List.of("k"), new int[] {20}, 0, "silent"),
                    new Placement.Rules(
                            40, 0, 3, 0.3, 10_000, 0.4, 5000, 500, 2, 1000, 5, true, false, true, 2000, 250),
                    new Placement.Penalties(0, 0, 0, 0, 0));
            gateway = new Gateway(settings, seed, "g", 0, () -> nowMs, this::schedule, this, this, AttemptJournal.NONE);
            gateway.updateHostList(new Placement.HostListUpdate("stale_copy", List.of(), 0));
            publishRandomHostList();
        }

        Timers.Timer schedule(double delayMs, Runnable action) {
            var task = new Task(nowMs + Math.max(0.01, delayMs), nextSequence++, action);
            tasks.add(task);
            return () -> tasks.remove(task);
        }

        /** Advances time and runs the tasks due by then; tasks that a stall has made overdue run at its end. */
        void advanceTo(double endMs) {
            while (!tasks.isEmpty() && tasks.peek().dueMs <= endMs) {
                Task task = tasks.poll();
                nowMs = Math.max(nowMs, task.dueMs);
                task.action.run();
            }
            nowMs = Math.max(nowMs, endMs);
        }

        void publishRandomHostList() {
            List<Placement.HostEntry> entries = new ArrayList<>();
            for (int host = 0; host < HOST_COUNT; host++) {
                String status = random.nextInt(5) == 0 ? "Stopping" : "Running";
                listedStatus.put("h" + host, status);
                entries.add(new Placement.HostEntry("h" + host, status, "k", 0, "z", 1, host));
            }
            listedAtMs = nowMs;
            gateway.updateHostList(new Placement.HostListUpdate("whole", entries, 1));
        }

        @Override
        public PendingSetUp setUp(Attempt attempt, SetUpListener callback) {
            boolean[] done = new boolean[1];
            long requestId = attempt.request().req();
            schedule(random.nextDouble() * 60, () -> write(attempt, callback, done));
            return () -> {
                if (!done[0]) outstandingAttempts.remove(requestId);
                done[0] = true;
            };
        }

        private void write(Attempt attempt, SetUpListener callback, boolean[] done) {
            if (done[0]) return;
            long requestId = attempt.request().req();
            switch (callback.beforeWrite()) {
                case WAIT -> schedule(5, () -> write(attempt, callback, done));
                case DROP -> {
                    drops++;
                    done[0] = true;
                    callback.setUpEnded(Outcome.IGNORED, Map.of());
                }
                case WRITE -> {
                    writes++;
                    if (outstandingAttempts.put(requestId, attempt.id()) != null)
                        violations.add("two outstanding attempts of request " + requestId);
                    if (!listedStatus.get(attempt.host()).equals("Running"))
                        violations.add(
                                attempt.host() + " was written to while listed as " + listedStatus.get(attempt.host()));
                    if (attempt.rung() < attempt.requestClass().minRung())
                        violations.add("rung below the floor of its class");
                    int outcomeDraw = random.nextInt(6);
                    schedule(random.nextDouble() * (outcomeDraw == 0 ? 9000 : 200), () -> {
                        if (done[0]) return;
                        done[0] = true;
                        outstandingAttempts.remove(requestId);
                        if (outcomeDraw <= 2) {
                            runningAttempts.add(attempt.id());
                            callback.sessionStarted(Map.of());
                        } else {
                            callback.setUpEnded(
                                    outcomeDraw == 3
                                            ? Outcome.FAILED
                                            : outcomeDraw == 4 ? Outcome.QUEUE_FULL : Outcome.RESET_BY_PEER,
                                    Map.of());
                        }
                    });
                }
            }
        }

        @Override
        public void probe(String host, ProbeListener callback) {
            callback.probeEnded(false, Map.of());
        }

        @Override
        public void release(Attempt attempt) {
            runningAttempts.remove(attempt.id());
        }

        @Override
        public void closeIdleConnections(String host) {}

        @Override
        public void subscribe(boolean subscribe) {}

        @Override
        public void refresh() {}
    }

    /** A viewer that records its answers and reports those that break a rule. */
    private static class RecordingViewer implements Viewer {
        final Simulation simulation;
        final double deadlineMs;
        int answerCount;
        boolean left;
        long requestId;
        String lastAnswer = "";

        RecordingViewer(Simulation simulation, double deadlineMs) {
            this.simulation = simulation;
            this.deadlineMs = deadlineMs;
        }

        private void recordAnswer(String answer) {
            lastAnswer = answer;
            if (++answerCount > 1) simulation.violations.add("second answer to request " + requestId);
            if (left) simulation.violations.add("answer to a viewer that has left");
            if (simulation.nowMs > deadlineMs) simulation.violations.add("late by " + (simulation.nowMs - deadlineMs));
        }

        @Override
        public void granted(Session session) {
            recordAnswer("granted");
            simulation.schedule(
                    simulation.random.nextDouble() * 4000,
                    () -> simulation.gateway.endSession(
                            session, simulation.random.nextBoolean() ? EndReason.PLAYED_OUT : EndReason.VIEWER_GONE));
        }

        @Override
        public void refused(double retryAfterMs) {
            recordAnswer("refused");
        }

        @Override
        public void failed() {
            recordAnswer("failed");
        }

        @Override
        public void ended(Session session, EndReason reason) {}
    }

    private static RecordingViewer sendRequest(Simulation simulation, String serviceClass, long key) {
        return sendRequest(simulation, serviceClass, key, serviceClass.equals("paid") ? 3000 : 5000);
    }

    private static RecordingViewer sendRequest(
            Simulation simulation, String serviceClass, long key, double patienceMs) {
        return sendRequest(
                simulation,
                serviceClass,
                key,
                patienceMs,
                new RecordingViewer(simulation, simulation.nowMs + patienceMs + 40));
    }

    private static RecordingViewer sendRequest(
            Simulation simulation, String serviceClass, long key, double patienceMs, RecordingViewer viewer) {
        viewer.requestId = simulation.gateway.request(
                new Placement.SessionRequest(0, serviceClass, "", key, 5, 0, Double.NaN, 0, HOST_COUNT, 2, 0),
                patienceMs,
                RequestPayload.NONE,
                viewer);
        return viewer;
    }

    @Property(tries = 60)
    void everyRequestIsAnsweredOnceAndNoStateRemains(@ForAll long seed) {
        var simulation = new Simulation(seed);
        List<RecordingViewer> viewers = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            simulation.advanceTo(simulation.nowMs + simulation.random.nextDouble() * 120);
            if (simulation.random.nextInt(12) == 0) simulation.publishRandomHostList();
            if (simulation.random.nextInt(40) == 0)
                simulation.gateway.updateHostList(new Placement.HostListUpdate("broken", List.of(), 0));
            var viewer = sendRequest(simulation, simulation.random.nextBoolean() ? "paid" : "safe", i);
            viewers.add(viewer);
            if (simulation.random.nextInt(8) == 0) {
                simulation.schedule(simulation.random.nextDouble() * 100, () -> {
                    if (viewer.answerCount > 0) return;
                    viewer.left = true;
                    simulation.gateway.cancelRequest(viewer.requestId);
                });
            }
        }
        simulation.advanceTo(simulation.nowMs + 30_000);
        for (RecordingViewer viewer : viewers)
            if (!viewer.left && viewer.answerCount != 1)
                simulation.violations.add("answers to request " + viewer.requestId + ": " + viewer.answerCount);
        assertEquals(List.of(), simulation.violations, "seed " + seed);
        assertEquals(List.of(), simulation.runningAttempts, "ended sessions still held by hosts, seed " + seed);
        Counts counts = simulation.gateway.counts();
        assertEquals(0, counts.waiting() + counts.playing(), "requests or sessions left over, seed " + seed);
        assertEquals(0, counts.overdue() + counts.bugs(), "seed " + seed);
        assertTrue(simulation.writes > 20, "too few writes for the run to be meaningful");
    }

    /** Guards against timers that keep a finished request for as long as its viewer said it would wait. */
    @Test
    void requestsThatAreOverLeaveNoTimers() {
        Map<String, Integer> endings = new HashMap<>();
        for (long seed = 1; seed <= 30; seed++) {
            var simulation = new Simulation(seed);
            simulation.advanceTo(simulation.nowMs + 10_000);
            int timersBefore = simulation.tasks.size();
            List<RecordingViewer> viewers = new ArrayList<>();
            for (int i = 0; i < 150; i++) {
                simulation.advanceTo(simulation.nowMs + simulation.random.nextDouble() * 120);
                if (simulation.random.nextInt(12) == 0) simulation.publishRandomHostList();
                String serviceClass = simulation.random.nextBoolean() ? "paid" : "safe";
                var viewer = sendRequest(simulation, serviceClass, i, STATED_PATIENCE_MS);
                viewers.add(viewer);
                if (simulation.random.nextInt(4) != 0) continue;
                simulation.schedule(simulation.random.nextDouble() * 100, () -> {
                    if (viewer.answerCount == 0) viewer.lastAnswer = "cancelled";
                    simulation.gateway.cancelRequest(viewer.requestId);
                });
            }
            simulation.advanceTo(simulation.nowMs + 60_000);
            for (RecordingViewer viewer : viewers) endings.merge(viewer.lastAnswer, 1, Integer::sum);
            Counts counts = simulation.gateway.counts();
            assertEquals(0, counts.waiting() + counts.playing(), "open requests, seed " + seed);
            assertEquals(timersBefore, simulation.tasks.size(), "timers left, endings " + endings + ", seed " + seed);
        }
        assertEquals(Set.of("granted", "refused", "failed", "cancelled"), endings.keySet());
    }

    @Test
    void hostListUpdateDuringConnectPreventsWrite() {
        var simulation = new Simulation(1);
        for (int host = 0; host < HOST_COUNT; host++) simulation.listedStatus.put("h" + host, "Running");
        List<Placement.HostEntry> running = new ArrayList<>();
        for (int host = 0; host < HOST_COUNT; host++)
            running.add(new Placement.HostEntry("h" + host, "Running", "k", 0, "z", 1, host));
        simulation.gateway.updateHostList(new Placement.HostListUpdate("whole", running, 2));
        simulation.advanceTo(simulation.nowMs + 10_000);
        var viewer = sendRequest(simulation, "paid", 1);
        // all hosts start to drain before any connection is established
        List<Placement.HostEntry> draining = running.stream()
                .map(entry -> new Placement.HostEntry(entry.host(), "Stopping", "k", 0, "z", 1, entry.position()))
                .toList();
        simulation.listedStatus.replaceAll((host, status) -> "Stopping");
        simulation.gateway.updateHostList(new Placement.HostListUpdate("patch", draining, 3));
        simulation.advanceTo(simulation.nowMs + 5000);
        assertEquals(0, simulation.writes, "set-up written to a draining host");
        assertEquals(1, simulation.drops);
        assertEquals("refused", viewer.lastAnswer, "an attempt that never ran must be refused, not failed");
        assertEquals(List.of(), simulation.violations);
    }

    @Test
    void hostEventsRunBeforeDeferredTasksAfterLoopStall() {
        double[] nowMs = {0};
        var queue = new EventQueue(() -> nowMs[0]);
        List<String> executed = new ArrayList<>();
        nowMs[0] = 2000; // stall of the loop
        queue.submit(EventQueue.Priority.DEFERRABLE, () -> executed.add("request"));
        queue.submit(EventQueue.Priority.DEFERRABLE, () -> executed.add("timer"));
        assertEquals(List.of(), executed);
        assertEquals(1, queue.heartbeat(), "the first heartbeat after a stall may have been due before it");
        queue.submit(EventQueue.Priority.HOST_LIST, () -> executed.add("list"));
        queue.submit(EventQueue.Priority.HOST_RESPONSE, () -> executed.add("answer"));
        assertEquals(List.of("list", "answer"), executed);
        assertEquals(2000, queue.lagMs());
        queue.heartbeat();
        assertEquals(List.of("list", "answer", "request", "timer"), executed);
        assertEquals(0, queue.lagMs());
        assertEquals(1, queue.stallCount());
    }

    /**
     * Guards against an exception in a deferred task that ends the heartbeat, after which all requests wait for good.
     */
    @Test
    void exceptionInDeferredTaskDoesNotEndTheHeartbeat() {
        var simulation = new Simulation(5);
        simulation.advanceTo(simulation.nowMs + 100);
        simulation.nowMs += 2000; // stall: the request is deferred, and answered by a heartbeat
        var broken = new RecordingViewer(simulation, Double.POSITIVE_INFINITY) {
            @Override
            public void refused(double retryAfterMs) {
                throw new IllegalStateException("viewer's fault");
            }
        };
        simulation.gateway.updateHostList(new Placement.HostListUpdate("whole", List.of(), 2));
        sendRequest(simulation, "safe", 1, 5000, broken);
        try {
            simulation.advanceTo(simulation.nowMs + 1000);
        } catch (IllegalStateException e) {
            // as an event loop does, the simulation goes on with the next task
        }
        var viewer = sendRequest(simulation, "safe", 2);
        simulation.advanceTo(simulation.nowMs + 1000);
        assertEquals("refused", viewer.lastAnswer);
        assertEquals(0, simulation.gateway.loopLag());
    }

    @Test
    void loopStallIsDeductedFromTimeToAnswer() {
        var simulation = new Simulation(3);
        simulation.advanceTo(simulation.nowMs + 100);
        simulation.nowMs += 2000; // stall: no task runs meanwhile
        var viewer = sendRequest(simulation, "paid", 1);
        simulation.advanceTo(simulation.nowMs + 3000);
        assertTrue(viewer.answerCount == 1 || simulation.gateway.counts().waiting() == 0);
        assertFalse(simulation.violations.stream().anyMatch(violation -> violation.startsWith("late")));
    }

    @Test
    void handedOverSessionPlaysOnAndIsReleasedOnce() {
        var simulation = new Simulation(4);
        var viewer = new RecordingViewer(simulation, Double.POSITIVE_INFINITY);
        var sessionRequest = new Placement.SessionRequest(77, "paid", "", 9, 5, 3000, Double.NaN, 0, HOST_COUNT, 2, 0);
        Session session =
                simulation.gateway.resumeSession(new OpenSession(sessionRequest, "h1", "0-old-77-0", 2), viewer);
        simulation.runningAttempts.add("0-old-77-0");
        assertEquals(2, session.rung());
        assertEquals(1, simulation.gateway.counts().playing());
        simulation.gateway.endSession(session, EndReason.PLAYED_OUT);
        simulation.gateway.endSession(session, EndReason.PLAYED_OUT);
        assertEquals(List.of(), simulation.runningAttempts);
        assertEquals(0, simulation.gateway.counts().playing());
    }

    /** A gateway among the hosts of a simulation, with a decision module and a check of its own. */
    private static Gateway gatewayWith(Simulation hosts, DecisionModule module, PreWriteCheck check) {
        return new Gateway(
                hosts.settings,
                module,
                check,
                "g",
                0,
                () -> hosts.nowMs,
                hosts::schedule,
                hosts,
                hosts,
                AttemptJournal.NONE);
    }

    /** Guards against a session that has ended while it was taken over, and that the module then counts for good. */
    @Test
    void sessionThatEndsWhileItIsTakenOverIsNotPassedToTheModule() {
        Gateway[] tested = new Gateway[1];
        var hosts = new Simulation(6) {
            @Override
            public void adopt(Attempt attempt) { // the client does not know the host any more
                tested[0].reportAttemptEnd(attempt, EndReason.HOST_LOST, Map.of());
            }
        };
        List<Placement.Event> events = new ArrayList<>();
        DecisionModule module = (now, event) -> {
            events.add(event);
            return List.of();
        };
        tested[0] = gatewayWith(hosts, module, PreWriteCheck.DEFAULT);
        var viewer = new RecordingViewer(hosts, Double.POSITIVE_INFINITY);
        var sessionRequest = new Placement.SessionRequest(77, "paid", "", 9, 5, 3000, Double.NaN, 0, HOST_COUNT, 2, 0);
        tested[0].resumeSession(new OpenSession(sessionRequest, "gone", "0-old-77-0", 2), viewer);
        assertEquals(0, tested[0].counts().playing());
        assertFalse(events.stream().anyMatch(Placement.SessionResumed.class::isInstance), events.toString());
    }

    /** Guards against a check before the write whose own duration counts as waiting for the host. */
    @Test
    void waitedTimeBeginsWhenTheCheckBeforeTheWriteIsOver() {
        double checkMs = 40;
        double answerMs = 30;
        var hosts = new Simulation(8) {
            @Override
            public PendingSetUp setUp(Attempt attempt, SetUpListener callback) {
                callback.beforeWrite();
                schedule(answerMs, () -> callback.sessionStarted(Map.of()));
                return () -> {};
            }
        };
        List<Placement.SessionStarted> started = new ArrayList<>();
        DecisionModule module = (now, event) -> {
            if (event instanceof Placement.SessionStarted start) started.add(start);
            return event instanceof Placement.NewRequest request
                    ? List.of(new Placement.StartAttempt(request.ask().req(), "h0", 0))
                    : List.of();
        };
        PreWriteCheck slowCheck = facts -> {
            hosts.nowMs += checkMs;
            return MediaHosts.WriteDecision.WRITE;
        };
        gatewayWith(hosts, module, slowCheck)
                .request(
                        new Placement.SessionRequest(0, "safe", "", 1, 5, 0, Double.NaN, 0, HOST_COUNT, 2, 0),
                        new RecordingViewer(hosts, Double.POSITIVE_INFINITY));
        hosts.advanceTo(hosts.nowMs + 1000);
        assertEquals(1, started.size());
        assertEquals(answerMs, started.get(0).elapsed(), 1);
    }
}
