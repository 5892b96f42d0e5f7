package trestleline.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import trestleline.core.AttemptJournal;
import trestleline.core.Gateway;
import trestleline.core.HostListSource;
import trestleline.core.MediaHosts;
import trestleline.core.PreWriteCheck;
import trestleline.core.WallClock;
import trestleline.eventloop.VertxTimers;
import trestleline.placement.Placement;
import trestleline.platform.GatewayFixture.Host;
import trestleline.platform.GatewayFixture.Viewer;
import trestleline.platform.GatewayFixture.ViewerMessage;
import trestleline.rtsp.RtspHostClient;
import trestleline.settings.JsonObjectReader;
import trestleline.settings.SettingsReader;
import trestleline.signaling.SignalingServer;

/**
 * Compares the events that the decision module receives with the messages on the sockets, including their units, and
 * checks that the actions it returns are carried out.
 */
@Timeout(60)
class ModuleEventsTest {
    /** Taken off each viewer's deadline. */
    private static final double MARGIN_MS = 25;

    private static final int RELEASE = 12;
    private static final int MOVE = 51;

    /** A gateway with one host, h0, whose decision module records its events and is scripted by the test. */
    private static final class ModuleFixture implements AutoCloseable {
        final Vertx vertx =
                Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        final List<Placement.Event> events = new CopyOnWriteArrayList<>();
        final List<Double> eventTimes = new CopyOnWriteArrayList<>();
        /** Clock readings (ms) when set-ups were allowed to be written. */
        final List<Double> writeTimes = new CopyOnWriteArrayList<>();

        final WallClock clock = new WallClock();
        final GatewayFixture stage;
        Gateway gateway;
        RtspHostClient hosts;
        SignalingServer server;
        int port;

        ModuleFixture(
                GatewayFixture stage,
                Host host,
                double writeDelayMs,
                Function<Placement.Event, List<Placement.Action>> module)
                throws Exception {
            this.stage = stage;
            Placement.Settings settings = SettingsReader.read(new JsonObjectReader(
                    new ObjectMapper().readTree(ModuleEventsTest.class.getResourceAsStream("/platform-settings.json")),
                    "settings"));
            var ready = new java.util.concurrent.CompletableFuture<Integer>();
            vertx.getOrCreateContext().runOnContext(ignored -> {
                hosts = new RtspHostClient(vertx, settings, 30000, 20, clock);
                PreWriteCheck check = facts -> {
                    if (facts.elapsedMs() < writeDelayMs) return MediaHosts.WriteDecision.WAIT;
                    MediaHosts.WriteDecision verdict = PreWriteCheck.DEFAULT.check(facts);
                    if (verdict == MediaHosts.WriteDecision.WRITE) writeTimes.add(clock.getAsDouble());
                    return verdict;
                };
                gateway = new Gateway(
                        settings,
                        (now, event) -> {
                            eventTimes.add(now);
                            events.add(event);
                            return module.apply(event);
                        },
                        check,
                        "g",
                        MARGIN_MS,
                        clock,
                        new VertxTimers(vertx),
                        hosts,
                        new HostListSource() {
                            @Override
                            public void subscribe(boolean enabled) {}

                            @Override
                            public void refresh() {}
                        },
                        AttemptJournal.NONE);
                hosts.attach(gateway);
                hosts.addHost("h0", "127.0.0.1", host.port(), true, 0);
                server = new SignalingServer(vertx, settings, gateway, 50, 100, clock);
                gateway.updateHostList(new Placement.HostListUpdate(
                        "whole", List.of(new Placement.HostEntry("h0", "Running", "k", 0, "z", 1, 0)), 1));
                server.start("127.0.0.1", 0).onComplete(started -> ready.complete(started.result()));
            });
            port = ready.get(20, TimeUnit.SECONDS);
        }

        <T extends Placement.Event> List<T> eventsOf(Class<T> type) {
            return events.stream().filter(type::isInstance).map(type::cast).toList();
        }

        /** Waits for the given number of events of a type and returns the last of them. */
        <T extends Placement.Event> T awaitEvent(Class<T> type, int count) throws InterruptedException {
            GatewayFixture.waitUntil(
                    count + " events of " + type, () -> eventsOf(type).size() >= count);
            return eventsOf(type).get(count - 1);
        }

        double timeOf(Placement.Event event) {
            return eventTimes.get(events.indexOf(event));
        }

        @Override
        public void close() throws Exception {
            vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        }
    }

    /** Sends each new request to h0 at rung 1. */
    private static List<Placement.Action> placeOnHost(Placement.Event event) {
        if (!(event instanceof Placement.NewRequest request)) return List.of();
        return List.of(
                new Placement.SetRung(request.ask().req(), 1),
                new Placement.StartAttempt(request.ask().req(), "h0", 0));
    }

    @Test
    void requestEventsMatchTheViewersMessage() throws Exception {
        try (var stage = new GatewayFixture();
                var fixture = new ModuleFixture(
                        stage, stage.host(GatewayFixture.ACCEPT_SET_UPS), 0, ModuleEventsTest::placeOnHost)) {
            Viewer viewer = new Viewer(fixture.port);
            viewer.send(Viewer.setUp(
                    5,
                    "free",
                    "a",
                    "home:2;copies:3;top:1;again:1;viewer:000000000000002a",
                    GatewayFixture.OFFER_DESCRIPTION));
            viewer.nextMessage();
            Placement.SessionRequest ask =
                    fixture.awaitEvent(Placement.NewRequest.class, 1).ask();
            assertEquals(
                    List.of("free", "a", 42L, 0x7f3aL, 2, 3, 1, 16),
                    List.of(
                            ask.service(),
                            ask.tenant(),
                            ask.key(),
                            ask.title(),
                            ask.home(),
                            ask.holders(),
                            ask.top(),
                            ask.marks()));
            assertTrue(
                    ask.ttl() > 0 && ask.ttl() <= 3000 - MARGIN_MS,
                    "expected the viewer's deadline less the margin, ms: " + ask.ttl());
            assertTrue(Double.isNaN(ask.hint()));
            viewer.send(Viewer.setUp(6, "free", "a", "home:2;copies:3;top:1;viewer:000000000000002b;at:h0", null));
            Placement.SessionResumed alreadyOpen = fixture.awaitEvent(Placement.SessionResumed.class, 1);
            assertEquals(
                    List.of("h0", 43L, 0),
                    List.of(
                            alreadyOpen.host(),
                            alreadyOpen.ask().key(),
                            alreadyOpen.ask().marks()));
            viewer.close();
        }
    }

    /** Connecting and waiting for the last check must not count as the host's response time. */
    @Test
    void waitedTimeIsMeasuredFromTheWrite() throws Exception {
        try (var stage = new GatewayFixture();
                var fixture = new ModuleFixture(
                        stage,
                        stage.host((request, link) -> {
                            if (request.method().equals("SETUP"))
                                link.respond(
                                        request,
                                        request.session().equals(GatewayFixture.toHex(1)) ? 200 : 453,
                                        GatewayFixture.ANSWER_DESCRIPTION);
                        }),
                        250,
                        ModuleEventsTest::placeOnHost)) {
            Viewer viewer = new Viewer(fixture.port);
            for (long id = 1; id <= 2; id++) viewer.setUp(id, "free");
            Placement.SessionStarted started = fixture.awaitEvent(Placement.SessionStarted.class, 1);
            Placement.AttemptEnded rejected = fixture.awaitEvent(Placement.AttemptEnded.class, 1);
            double firstWrite = Math.min(fixture.writeTimes.get(0), fixture.writeTimes.get(1));
            assertTrue(
                    started.elapsed() >= 0 && started.elapsed() <= fixture.timeOf(started) - firstWrite + 1,
                    "waited " + started.elapsed());
            assertTrue(
                    rejected.elapsed() >= 0 && rejected.elapsed() <= fixture.timeOf(rejected) - firstWrite + 1,
                    "waited " + rejected.elapsed());
            viewer.close();
        }
    }

    @Test
    void statusesAndCausesMapToOutcomeCodes() throws Exception {
        Map<Integer, String> codesByStatus =
                Map.of(453, "QueueFull", 454, "Ignored", 500, "Failed", 504, "ResetByPeer", 503, "Failed");
        for (Map.Entry<Integer, String> expected : codesByStatus.entrySet()) {
            try (var stage = new GatewayFixture();
                    var fixture = new ModuleFixture(
                            stage,
                            stage.host((request, link) -> {
                                if (!request.method().equals("SETUP")) return;
                                link.send("RTSP/1.0 " + expected.getKey() + " No\r\nCSeq: 1\r\nSession: "
                                        + request.session()
                                        + "\r\nX-Gauges: load_share:0.25;x1:1.5\r\nContent-Length: 0\r\n\r\n");
                            }),
                            0,
                            ModuleEventsTest::placeOnHost)) {
                Viewer viewer = new Viewer(fixture.port);
                viewer.setUp(1, "free");
                Placement.AttemptEnded result = fixture.awaitEvent(Placement.AttemptEnded.class, 1);
                assertEquals(expected.getValue(), result.code(), "status " + expected.getKey());
                assertEquals(Map.of("load_share", 0.25, "x1", 1.5), result.report(), "fractions as sent");
                assertEquals(
                        List.of("h0", 0, false), List.of(result.host(), result.attemptIndex(), result.requestClosed()));
                viewer.close();
            }
        }
        Map<Integer, String> codesByCause = Map.of(16, "Ok", 31, "Canceled", 41, "ResetByPeer", 38, "ResetByPeer");
        for (Map.Entry<Integer, String> expected : codesByCause.entrySet()) {
            try (var stage = new GatewayFixture();
                    var fixture = new ModuleFixture(
                            stage,
                            stage.host((request, link) -> {
                                if (!request.method().equals("SETUP")) return;
                                link.respond(request, 200, GatewayFixture.ANSWER_DESCRIPTION);
                                link.sendTeardown(request.session(), expected.getKey());
                            }),
                            0,
                            ModuleEventsTest::placeOnHost)) {
                Viewer viewer = new Viewer(fixture.port);
                viewer.setUp(1, "free");
                Placement.AttemptEnded result = fixture.awaitEvent(Placement.AttemptEnded.class, 1);
                assertEquals(
                        List.of(expected.getValue(), true),
                        List.of(result.code(), result.requestClosed()),
                        "cause " + expected.getKey());
                viewer.close();
            }
        }
    }

    @Test
    void failedConnectionIsReportedAsConnectError() throws Exception {
        try (var stage = new GatewayFixture()) {
            Host host = stage.host(GatewayFixture.ACCEPT_SET_UPS);
            try (var fixture = new ModuleFixture(stage, host, 0, ModuleEventsTest::placeOnHost)) {
                host.close();
                Viewer viewer = new Viewer(fixture.port);
                viewer.setUp(1, "free");
                assertEquals(
                        "ConnectError",
                        fixture.awaitEvent(Placement.AttemptEnded.class, 1).code());
                viewer.close();
            }
        }
        try (var stage = new GatewayFixture()) { // the host never accepts the connection
            Host host = stage.host(GatewayFixture.ACCEPT_SET_UPS);
            host.becomeUnreachable();
            try (var fixture = new ModuleFixture(stage, host, 0, ModuleEventsTest::placeOnHost)) {
                Viewer viewer = new Viewer(fixture.port);
                viewer.setUp(1, "free");
                assertEquals(
                        "ConnectError",
                        fixture.awaitEvent(Placement.AttemptEnded.class, 1).code());
                viewer.close();
            }
        }
    }

    @Test
    void notesAndProbeReportsKeepTheirUnits() throws Exception {
        try (var stage = new GatewayFixture()) {
            Host host = stage.host(GatewayFixture.ACCEPT_SET_UPS);
            try (var fixture = new ModuleFixture(stage, host, 0, event -> {
                if (event instanceof Placement.SessionStarted) return List.of(new Placement.ProbeHost("h0"));
                return placeOnHost(event);
            })) {
                Viewer viewer = new Viewer(fixture.port);
                viewer.setUp(1, "free");
                viewer.nextMessage();
                Placement.ProbeResult probe = fixture.awaitEvent(Placement.ProbeResult.class, 1);
                assertEquals(
                        List.of("h0", "Ok", Map.of("load_share", 0.1, "x1", 0.2)),
                        List.of(probe.host(), probe.code(), probe.report()));
                var link = host.connections.get(host.requests("SETUP").get(0).connectionIndex());
                link.sendAnnounce(GatewayFixture.toHex(1), "kept_up", "0.977");
                link.sendAnnounce(GatewayFixture.toHex(1), "tier", "0");
                link.sendAnnounce(GatewayFixture.toHex(1), "wire", "1.25");
                link.sendAnnounce(GatewayFixture.toHex(1), "trunk", "0.5");
                link.sendAnnounce(GatewayFixture.toHex(1), "unheard", "1");
                link.sendAnnounce(GatewayFixture.toHex(1), "wire", "much");
                link.sendAnnounce(GatewayFixture.toHex(99), "wire", "1");
                link.sendAnnounce(GatewayFixture.toHex(1), "kept_up", "1");
                fixture.awaitEvent(Placement.HostNotice.class, 5);
                assertEquals(
                        List.of("1:0.977", "2:0.0", "3:1.25", "4:0.5", "1:1.0"),
                        fixture.eventsOf(Placement.HostNotice.class).stream()
                                .map(note -> note.kind() + ":" + note.value())
                                .toList());
                for (Placement.HostNotice note : fixture.eventsOf(Placement.HostNotice.class))
                    assertEquals(List.of("h0", 0), List.of(note.host(), note.attemptIndex()));
                viewer.close();
            }
        }
    }

    @Test
    void moveNotifiesHostAndViewerAndMarksTheNextRequest() throws Exception {
        try (var stage = new GatewayFixture()) {
            Host host = stage.host(GatewayFixture.ACCEPT_SET_UPS);
            try (var fixture = new ModuleFixture(stage, host, 0, event -> {
                if (event instanceof Placement.HostNotice note) return List.of(new Placement.Evict(note.req()));
                return placeOnHost(event);
            })) {
                Viewer viewer = new Viewer(fixture.port);
                String figures = "home:0;copies:4;top:1;viewer:0000000000000077";
                viewer.send(Viewer.setUp(1, "free", "a", figures, GatewayFixture.OFFER_DESCRIPTION));
                viewer.nextMessage();
                host.connections.get(0).sendAnnounce(GatewayFixture.toHex(1), "wire", "2");
                ViewerMessage moved = viewer.nextMessage();
                assertEquals(List.of(MOVE, 1L), List.of(moved.type(), moved.session()));
                GatewayFixture.waitUntil(
                        "the host receives the teardown",
                        () -> host.requests("TEARDOWN").size() == 1);
                viewer.send(Viewer.setUp(2, "free", "a", figures, GatewayFixture.OFFER_DESCRIPTION));
                viewer.nextMessage();
                viewer.send(Viewer.setUp(3, "free", "a", figures, GatewayFixture.OFFER_DESCRIPTION));
                viewer.nextMessage();
                assertEquals(
                        List.of(0, 24, 0),
                        fixture.eventsOf(Placement.NewRequest.class).stream()
                                .map(request -> request.ask().marks())
                                .toList());
                assertEquals(
                        "Canceled",
                        fixture.eventsOf(Placement.AttemptEnded.class).get(0).code());
                viewer.close();
            }
        }
    }

    /** A request that the module refuses or fails is answered without waiting for anything else. */
    @Test
    void refusalsAndFailuresAreSentImmediately() throws Exception {
        try (var stage = new GatewayFixture();
                var fixture = new ModuleFixture(stage, stage.host(GatewayFixture.ACCEPT_SET_UPS), 0, event -> {
                    if (!(event instanceof Placement.NewRequest request)) return List.of();
                    return List.of(
                            request.ask().service().equals("free")
                                    ? new Placement.Refuse(request.ask().req(), 1234.5)
                                    : new Placement.Fail(request.ask().req()));
                })) {
            Viewer viewer = new Viewer(fixture.port);
            viewer.setUp(1, "free");
            ViewerMessage refused = viewer.nextMessage();
            assertEquals(
                    List.of(RELEASE, 1L, "1235"),
                    List.of(
                            refused.type(),
                            refused.session(),
                            refused.parameters().get(9)));
            assertTrue(Set.of(34, 42, 102).contains(refused.cause()));
            viewer.setUp(2, "paid");
            ViewerMessage failed = viewer.nextMessage();
            assertEquals(List.of(RELEASE, 2L), List.of(failed.type(), failed.session()));
            assertTrue(!Set.of(34, 42, 102).contains(failed.cause())
                    && !failed.parameters().containsKey(9));
            assertEquals(
                    2,
                    fixture.events.stream()
                            .filter(Placement.NewRequest.class::isInstance)
                            .count());
            viewer.close();
        }
    }

    @Test
    void disconnectCancelsTheRequestAndItsAttempt() throws Exception {
        try (var stage = new GatewayFixture()) {
            Host host = stage.host((request, link) -> {});
            try (var fixture = new ModuleFixture(stage, host, 0, ModuleEventsTest::placeOnHost)) {
                Viewer viewer = new Viewer(fixture.port);
                viewer.setUp(1, "paid");
                GatewayFixture.waitUntil(
                        "the set-up reached the host",
                        () -> host.requests("SETUP").size() == 1);
                viewer.close();
                Placement.AttemptEnded result = fixture.awaitEvent(Placement.AttemptEnded.class, 1);
                assertEquals(List.of("Canceled", true), List.of(result.code(), result.requestClosed()));
                assertEquals(1, fixture.eventsOf(Placement.ViewerLeft.class).size());
                GatewayFixture.waitUntil(
                        "the host receives the teardown",
                        () -> host.requests("TEARDOWN").size() == 1);
            }
        }
    }
}
