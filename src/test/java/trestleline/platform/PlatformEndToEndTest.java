package trestleline.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import trestleline.discovery.LoopbackAddress;
import trestleline.platform.GatewayFixture.Host;
import trestleline.platform.GatewayFixture.Request;
import trestleline.platform.GatewayFixture.Viewer;
import trestleline.platform.GatewayFixture.ViewerMessage;

/**
 * End-to-end tests of a platform gateway over sockets: binary viewers, the real core and placement module, RTSP hosts
 * and the control feed. They check only the messages that are exchanged.
 */
@Timeout(60)
class PlatformEndToEndTest {
    /** Message types. */
    private static final int ANSWER = 9;

    private static final int RELEASE = 12;
    private static final int TEST_REPLY = 53;
    /** Causes of a release that state that the set-up never ran. */
    private static final Set<Integer> REFUSAL_CAUSES = Set.of(34, 42, 102);

    /** Makes the initial event list hosts h0, h1, ... in slots 0, 1, ..., all up. */
    private static void listHosts(GatewayFixture fixture, Host... hosts) throws IOException {
        String[] entries = new String[hosts.length];
        for (int i = 0; i < hosts.length; i++) entries[i] = GatewayFixture.hostEntry("h" + i, i, hosts[i], "up");
        fixture.initialEvents.add(GatewayFixture.feedEvent(1, true, entries));
        fixture.feed.sentEvents().add(fixture.initialEvents.get(0));
    }

    /** A started gateway with one host for each script. */
    private static GatewayFixture startWithHosts(GatewayFixture.RequestHandler... handlers) throws Exception {
        var fixture = new GatewayFixture();
        Host[] hosts = new Host[handlers.length];
        for (int i = 0; i < handlers.length; i++) hosts[i] = fixture.host(handlers[i]);
        listHosts(fixture, hosts);
        fixture.start();
        return fixture;
    }

    private static void assertAnswered(ViewerMessage message, long id) {
        assertEquals(ANSWER, message.type());
        assertEquals(id, message.session());
        assertEquals(GatewayFixture.ANSWER_DESCRIPTION, message.parameters().get(18));
    }

    @Test
    void setUpAndAnswerAreForwardedUnchanged() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host host = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            listHosts(fixture, host);
            fixture.start();
            Viewer viewer = fixture.viewer();
            viewer.send(new GatewayFixture.MessageBuilder(52, 1).with(17, "\0").bytes());
            ViewerMessage testReply = viewer.nextMessage();
            assertEquals(List.of(TEST_REPLY, 1), List.of(testReply.type(), testReply.cause()));
            long id = 0xfedcba9876543210L; // ids are unsigned
            viewer.setUp(id, "paid");
            assertAnswered(viewer.nextMessage(), id);
            Request request = host.requests("SETUP").get(0);
            assertEquals("SETUP rtsp://media/0000000000007f3a RTSP/1.0", request.requestLine());
            assertEquals("fedcba9876543210", request.session());
            assertEquals("1", request.headers().get("CSeq"));
            assertEquals("paid", request.headers().get("X-Tier"));
            assertEquals("1", request.headers().get("P-Level"));
            int deadlineMs = Integer.parseInt(request.headers().get("X-Deadline"));
            assertTrue(deadlineMs > 0 && deadlineMs <= 3000, "X-Deadline " + deadlineMs);
            assertEquals(GatewayFixture.OFFER_DESCRIPTION, request.body());
            viewer.sendRelease(id, 31);
            GatewayFixture.waitUntil(
                    "the host receives the teardown",
                    () -> host.requests("TEARDOWN").size() > 0);
            assertEquals("cause=31", host.requests("TEARDOWN").get(0).headers().get("Reason"));
            assertTrue(viewer.messages.isEmpty(), "a viewer that left received a message");
        }
    }

    @Test
    void teardownByHostReleasesViewerOnce() throws Exception {
        try (var fixture = startWithHosts((request, connection) -> {
            if (!request.method().equals("SETUP")) return;
            connection.respond(request, 200, GatewayFixture.ANSWER_DESCRIPTION);
            connection.sendTeardown(request.session(), 16);
            connection.sendTeardown(request.session(), 16);
        })) {
            Viewer viewer = fixture.viewer();
            viewer.setUp(5, "paid");
            assertAnswered(viewer.nextMessage(), 5);
            ViewerMessage release = viewer.nextMessage();
            assertEquals(List.of(RELEASE, 5L, 16), List.of(release.type(), release.session(), release.cause()));
            viewer.send(new GatewayFixture.MessageBuilder(52, 1).with(17, "\0").bytes());
            assertEquals(TEST_REPLY, viewer.nextMessage().type(), "a second release");
        }
    }

    /**
     * A host may send the teardown, with the description as its body, ahead of the response. When that was taken for a
     * reset, the host was avoided as lost and cold, and set-ups were sent again.
     */
    @Test
    void teardownThatCarriesTheAnswerCountsAsAnswered() throws Exception {
        Host[] hosts = new Host[1];
        try (var fixture = new GatewayFixture()) {
            hosts[0] = fixture.host((request, connection) -> {
                if (!request.method().equals("SETUP")) return;
                connection.send("TEARDOWN rtsp://media/exchange RTSP/1.0\r\nCSeq: 2\r\nSession: " + request.session()
                        + "\r\nReason: cause=16\r\n" + "Content-Length: " + GatewayFixture.ANSWER_DESCRIPTION.length()
                        + "\r\n\r\n"
                        + GatewayFixture.ANSWER_DESCRIPTION
                        + GatewayFixture.Connection.response(request, 200, GatewayFixture.ANSWER_DESCRIPTION));
            });
            listHosts(fixture, hosts[0]);
            fixture.start();
            Viewer viewer = fixture.viewer();
            for (long id = 1; id <= 3; id++) {
                viewer.setUp(id, "paid");
                assertAnswered(viewer.nextMessage(), id);
                ViewerMessage release = viewer.nextMessage();
                assertEquals(List.of(RELEASE, id, 16), List.of(release.type(), release.session(), release.cause()));
            }
            assertEquals(3, hosts[0].requests("SETUP").size());
        }
    }

    @Test
    void paidSetUpFailsOverFromFullHost() throws Exception {
        Set<String> refusedBy = ConcurrentHashMap.newKeySet();
        GatewayFixture.RequestHandler refuseFirst = (request, connection) -> {
            if (!request.method().equals("SETUP")) return;
            if (refusedBy.add(request.session())) connection.respond(request, 453, "");
            else connection.respond(request, 200, GatewayFixture.ANSWER_DESCRIPTION);
        };
        try (var fixture = startWithHosts(refuseFirst, refuseFirst, refuseFirst, refuseFirst)) {
            Viewer viewer = fixture.viewer();
            viewer.setUp(9, "paid");
            assertAnswered(viewer.nextMessage(), 9);
        }
    }

    /**
     * After a reset it is unknown whether the set-up ran: a paid one is reported as failed and not sent to another
     * host.
     */
    @Test
    void paidSetUpIsNeitherRetriedNorRefusedAfterReset() throws Exception {
        GatewayFixture.RequestHandler resets = (request, connection) -> {
            if (request.method().equals("SETUP")) connection.reset();
        };
        try (var fixture = new GatewayFixture()) {
            Host[] hosts = {fixture.host(resets), fixture.host(resets), fixture.host(resets)};
            listHosts(fixture, hosts);
            fixture.start();
            Viewer viewer = fixture.viewer();
            viewer.setUp(3, "paid");
            ViewerMessage message = viewer.nextMessage();
            assertEquals(RELEASE, message.type());
            assertFalse(REFUSAL_CAUSES.contains(message.cause()), "reported as never run");
            int sent = 0;
            for (Host host : hosts) sent += host.requests("SETUP").size();
            assertEquals(1, sent, "set up more than once");
        }
    }

    /** A malformed response is never forwarded as an answer; a set-up that may be retried is served by the retry. */
    @Test
    void malformedResponsesAreNeverForwarded() throws Exception {
        String header = "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: ";
        List<String> malformedResponses = List.of(
                "\u00ff\u00fe\u0001noise",
                header + "3000000000\r\n\r\n" + GatewayFixture.ANSWER_DESCRIPTION,
                header + "20\r\n\r\n" + GatewayFixture.ANSWER_DESCRIPTION,
                "RTSP/1.0 200 OK\r\nSession: %s\r\n" + "x".repeat(5000),
                header + "no\r\n\r\n",
                "RTSP/1.0 2\r\n\r\n",
                "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nSession: %s\r\nContent-Length: 0\r\n\r\n");
        for (String response : malformedResponses) {
            Set<String> attempted = ConcurrentHashMap.newKeySet();
            GatewayFixture.RequestHandler handler = (request, connection) -> {
                if (!request.method().equals("SETUP")) return;
                if (attempted.add(request.session())) connection.send(response.replace("%s", request.session()));
                else connection.respond(request, 200, GatewayFixture.ANSWER_DESCRIPTION);
            };
            try (var fixture = startWithHosts(handler, handler, handler)) {
                Viewer viewer = fixture.viewer();
                viewer.setUp(1, "free");
                assertAnswered(viewer.nextMessage(), 1);
                viewer.setUp(2, "paid");
                ViewerMessage message = viewer.nextMessage();
                assertTrue(
                        message.type() == RELEASE && !REFUSAL_CAUSES.contains(message.cause()),
                        response + ": " + message);
            }
        }
    }

    /**
     * Guards against an answer that is passed on cut off: its length says less than it brings, and the first read of it
     * ends within its body, where the rest looks like the beginning of another message.
     */
    @Test
    void answerWithTooSmallALengthIsNeverForwardedCutOff() throws Exception {
        String description = GatewayFixture.ANSWER_DESCRIPTION + "a=fmtp:101 sprop-parameter-sets="
                + "Z0LAHtkDxWhAAAADAEAAAAwDxYuS".repeat(110) + "\r\n";
        int[] lengths = {0, 18, description.length() / 2, description.length() - 40, description.length() - 1};
        for (boolean inTeardown : new boolean[] {false, true}) {
            for (int length : lengths) {
                if (inTeardown && length == 0) continue; // a teardown without a body carries no answer
                Set<String> spoilt = ConcurrentHashMap.newKeySet();
                GatewayFixture.RequestHandler handler = (request, connection) -> {
                    if (!request.method().equals("SETUP")) return;
                    boolean first = spoilt.isEmpty() && spoilt.add(request.session());
                    if (!first) connection.respond(request, 200, description);
                    else connection.send(answerOfLength(request, description, length, inTeardown));
                };
                try (var fixture = startWithHosts(handler, handler, handler)) {
                    Viewer viewer = fixture.viewer();
                    viewer.setUp(1, "free"); // new connections: their first read is short
                    ViewerMessage message = viewer.nextMessage();
                    assertEquals(9, message.type(), "length " + length);
                    assertEquals(description, message.parameters().get(18), "length " + length);
                }
            }
        }
    }

    /** An answer that says it has a body of some length, as a response or as the teardown of a title played out. */
    private static String answerOfLength(Request request, String description, int length, boolean inTeardown) {
        String whole = inTeardown
                ? "TEARDOWN rtsp://media/exchange RTSP/1.0\r\nCSeq: 2\r\nSession: " + request.session()
                        + "\r\nReason: cause=16\r\nContent-Length: " + description.length() + "\r\n\r\n" + description
                : GatewayFixture.Connection.response(request, 200, description);
        return whole.replace("Content-Length: " + description.length(), "Content-Length: " + length);
    }

    /**
     * A gateway whose event loop was blocked read an answer after the deadline that it had sent to the host, accepted
     * it, and kept a session that the host had dropped. Such an answer must be discarded: the session is torn down, and
     * a viewer whose set-up may not be repeated receives a failure.
     */
    @Test
    void answerReadAfterDeadlineSentToHostIsDiscarded() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host host = fixture.host((request, connection) -> {
                if (!request.method().equals("SETUP")) return;
                fixture.node
                        .blockEventLoop(Integer.parseInt(request.headers().get("X-Deadline")) + 200L)
                        .toCompletionStage()
                        .toCompletableFuture()
                        .join();
                connection.respond(request, 200, GatewayFixture.ANSWER_DESCRIPTION);
            });
            listHosts(fixture, host);
            fixture.start();
            Viewer viewer = fixture.viewer();
            viewer.setUp(4, "paid");
            ViewerMessage message = viewer.nextMessage();
            assertTrue(message.type() == RELEASE && !REFUSAL_CAUSES.contains(message.cause()), message.toString());
            GatewayFixture.waitUntil(
                    "the host receives the teardown",
                    () -> host.requests("TEARDOWN").size() == 1);
            assertEquals(1, host.requests("SETUP").size());
        }
    }

    /** Answers with an unknown session id, provisional responses and duplicate answers are ignored. */
    @Test
    void unexpectedResponsesAreIgnored() throws Exception {
        try (var fixture = startWithHosts((request, connection) -> {
            if (!request.method().equals("SETUP")) return;
            connection.send(GatewayFixture.Connection.response(request, 200, "ahead")
                    .replace("Session: " + request.session(), "Session: 00000000deadbeef"));
            connection.send("RTSP/1.0 100 Trying\r\nCSeq: 1\r\nSession: " + request.session()
                    + "\r\nContent-Length: 0\r\n\r\n");
            connection.send(GatewayFixture.Connection.response(request, 200, GatewayFixture.ANSWER_DESCRIPTION)
                    + GatewayFixture.Connection.response(request, 200, GatewayFixture.ANSWER_DESCRIPTION));
        })) {
            Viewer viewer = fixture.viewer();
            for (long id = 1; id <= 4; id++) {
                viewer.setUp(id, "paid");
                assertAnswered(viewer.nextMessage(), id);
            }
            viewer.send(new GatewayFixture.MessageBuilder(52, 1).with(17, "\0").bytes());
            assertEquals(TEST_REPLY, viewer.nextMessage().type(), "a second answer");
        }
    }

    @Test
    void releaseDuringSetUpTearsDownAndSendsNoAnswer() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host host = fixture.host((request, connection) -> {
                if (request.method().equals("TEARDOWN"))
                    connection.send(GatewayFixture.Connection.response(request, 200, "")
                            .replace("CSeq: 2", "CSeq: 1")); // a late answer that crosses the teardown
            });
            listHosts(fixture, host);
            fixture.start();
            Viewer viewer = fixture.viewer();
            viewer.setUp(8, "paid");
            GatewayFixture.waitUntil(
                    "the set-up is sent", () -> host.requests("SETUP").size() == 1);
            viewer.sendRelease(8, 16);
            GatewayFixture.waitUntil(
                    "the host receives the teardown",
                    () -> host.requests("TEARDOWN").size() == 1);
            assertEquals("0000000000000008", host.requests("TEARDOWN").get(0).session());
            viewer.send(new GatewayFixture.MessageBuilder(52, 1).with(17, "\0").bytes());
            assertEquals(TEST_REPLY, viewer.nextMessage().type(), "an answer after the release");
        }
    }

    @Test
    void resumedSessionsEndFromBothSidesWithoutNewSetUp() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host host = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            listHosts(fixture, host);
            fixture.start();
            Viewer viewer = fixture.viewer();
            for (long id = 21; id <= 22; id++) {
                viewer.send(Viewer.setUp(
                        id, "free", "a", "home:0;copies:4;top:1;viewer:" + GatewayFixture.toHex(id) + ";at:h0", null));
                viewer.send(Viewer.setUp(
                        id, "free", "a", "home:0;copies:4;top:1;viewer:" + GatewayFixture.toHex(id) + ";at:h0", null));
            }
            GatewayFixture.waitUntil("the gateway connects to the host", () -> !host.connections.isEmpty());
            host.connections.get(0).sendAnnounce(GatewayFixture.toHex(21), "tier", "0");
            host.connections.get(0).sendTeardown(GatewayFixture.toHex(21), 16);
            ViewerMessage release = viewer.nextMessage();
            assertEquals(List.of(RELEASE, 21L, 16), List.of(release.type(), release.session(), release.cause()));
            viewer.sendRelease(22, 31);
            GatewayFixture.waitUntil(
                    "the host receives the teardown of the other session",
                    () -> host.requests("TEARDOWN").stream()
                            .anyMatch(request -> request.session().equals(GatewayFixture.toHex(22))));
            assertTrue(host.requests("SETUP").isEmpty(), "a session that plays was set up again");
        }
    }

    /**
     * A host sends the messages of a session on the connection of its set-up. When that connection was closed to make
     * room for others, a release in transit was lost, and the viewer was never notified.
     */
    @Test
    void connectionOfActiveSessionIsNotEvicted() throws Exception {
        try (var fixture = new GatewayFixture()) {
            List<Request> setUps = new CopyOnWriteArrayList<>();
            Host[] hosts = new Host[2];
            hosts[0] = fixture.host((request, connection) -> {
                if (!request.method().equals("SETUP")) return;
                setUps.add(request);
                if (setUps.size() < 2) return; // so that each set-up has its own connection
                for (Request setUp : setUps)
                    hosts[0].connections
                            .get(setUp.connectionIndex())
                            .respond(setUp, 200, GatewayFixture.ANSWER_DESCRIPTION);
            });
            hosts[1] = fixture.host((request, connection) -> {});
            listHosts(fixture, hosts);
            fixture.start(96);
            Viewer viewer = fixture.viewer();
            for (long id = 1; id <= 2; id++) {
                viewer.send(Viewer.setUp(
                        id,
                        "free",
                        "a",
                        "home:0;copies:1;top:1;viewer:" + GatewayFixture.toHex(id),
                        GatewayFixture.OFFER_DESCRIPTION));
            }
            for (long id = 1; id <= 2; id++)
                assertEquals(ANSWER, viewer.nextMessage().type());
            for (long id = 11; id <= 60; id++) { // more than the connection limit, to a host that never answers
                viewer.send(Viewer.setUp(
                        id,
                        "free",
                        "a",
                        "home:1;copies:1;top:1;viewer:" + GatewayFixture.toHex(id),
                        GatewayFixture.OFFER_DESCRIPTION));
            }
            GatewayFixture.waitUntil(
                    "the connection limit is reached",
                    () -> hosts[1].requests("SETUP").size() >= 40);
            for (Request setUp : setUps)
                hosts[0].connections.get(setUp.connectionIndex()).sendTeardown(setUp.session(), 16);
            Set<Long> released = new HashSet<>();
            while (released.size() < 2) {
                ViewerMessage message = viewer.nextMessage();
                if (message.type() == RELEASE && message.session() <= 2) released.add(message.session());
            }
        }
    }

    /** The sessions of a crashed host end; a new host may get its address and knows nothing of them. */
    @Test
    void sessionsOfCrashedHostEndAndItsAddressIsReusable() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host crashed = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            listHosts(fixture, crashed);
            fixture.start();
            Viewer viewer = fixture.viewer();
            viewer.setUp(1, "free");
            assertAnswered(viewer.nextMessage(), 1);
            int port = crashed.port();
            crashed.close();
            ViewerMessage release = viewer.nextMessage();
            assertEquals(List.of(RELEASE, 1L, 41), List.of(release.type(), release.session(), release.cause()));
            Host replacement = fixture.hostOnPort(port, GatewayFixture.ACCEPT_SET_UPS);
            fixture.feed.publish(GatewayFixture.feedEvent(
                    2,
                    false,
                    GatewayFixture.hostEntry("h0", 0, replacement, "removed"),
                    GatewayFixture.hostEntry("h9", 0, replacement, "up")));
            for (long id = 2; ; id++) { // until the event has arrived
                viewer.setUp(id, "free");
                ViewerMessage message = viewer.nextMessage();
                if (message.type() != ANSWER) continue;
                assertAnswered(message, id);
                break;
            }
            assertFalse(replacement.requests("SETUP").stream()
                    .anyMatch(request -> request.session().equals(GatewayFixture.toHex(1))));
        }
    }

    @Test
    void drainFromMovedFeedStopsNewSetUps() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host draining = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            Host other = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            listHosts(fixture, draining, other);
            fixture.start();
            var nextFeed =
                    new GatewayFixture.Feed(fixture.feed.sentEvents()); // event numbers continue at the new address
            fixture.node.switchFeed(new LoopbackAddress("127.0.0.1", nextFeed.port()));
            GatewayFixture.waitUntil("the new feed has a subscription", () -> !nextFeed.subscriptions.isEmpty());
            assertEquals("SUB 1", nextFeed.subscriptions.get(0));
            for (var subscriber : nextFeed.connections)
                subscriber.close(); // the client must fetch the event sent while disconnected
            nextFeed.sentEvents()
                    .add(GatewayFixture.feedEvent(2, false, GatewayFixture.hostEntry("h0", 0, draining, "draining")));
            GatewayFixture.waitUntil("the gateway subscribes again", () -> nextFeed.subscriptions.size() > 1);
            Viewer viewer = fixture.viewer();
            viewer.setUp(1, "free");
            assertAnswered(viewer.nextMessage(), 1);
            int setUpsBefore = draining.requests("SETUP").size();
            for (long id = 2; id < 30; id++) {
                viewer.setUp(id, "free");
                assertAnswered(viewer.nextMessage(), id);
            }
            assertEquals(setUpsBefore, draining.requests("SETUP").size(), "set-up sent to a draining host");
            assertTrue(other.requests("SETUP").size() >= 28);
            nextFeed.close();
        }
    }

    /** Valid viewers are served while malformed and hostile clients are refused or disconnected. */
    @Test
    void hostileClientsAreRefusedOrClosedWithoutAffectingOthers() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host host = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            listHosts(fixture, host);
            fixture.start();
            String figures = "home:0;copies:4;top:1;viewer:0000000000000001";
            List<byte[]> malformed = new ArrayList<>(List.of(
                    new byte[] {0, 3, 1, 2, 3},
                    new byte[] {(byte) 0xff, (byte) 0xff, 1},
                    new byte[] {0, 0},
                    "GET / HTTP/1.1\r\n\r\n".getBytes(),
                    Viewer.setUp(100, "gold", "a", figures, GatewayFixture.OFFER_DESCRIPTION),
                    Viewer.setUp(101, "free", "nobody", figures, GatewayFixture.OFFER_DESCRIPTION),
                    Viewer.setUp(
                            102,
                            "free",
                            "a",
                            "home:-1;copies:4;top:1;viewer:0000000000000001",
                            GatewayFixture.OFFER_DESCRIPTION),
                    Viewer.setUp(103, "free", "a", figures, "\0\0\0"),
                    Viewer.setUp(104, "free", "a", "", GatewayFixture.OFFER_DESCRIPTION),
                    new GatewayFixture.MessageBuilder(99, 1).bytes(),
                    new GatewayFixture.MessageBuilder(1, 0).bytes(),
                    new byte[0]));
            byte[] truncated = Viewer.setUp(105, "free", "a", figures, GatewayFixture.OFFER_DESCRIPTION);
            malformed.add(Arrays.copyOf(truncated, truncated.length / 2));
            byte[] duplicate = Viewer.setUp(106, "free", "a", figures, GatewayFixture.OFFER_DESCRIPTION);
            List<Viewer> clients = new ArrayList<>();
            for (byte[] bytes : malformed) {
                Viewer client = fixture.viewer();
                clients.add(client);
                client.send(bytes);
            }
            Viewer viewer = fixture.viewer();
            for (long id = 1; id <= 20; id++) {
                viewer.setUp(id, "paid");
                assertAnswered(viewer.nextMessage(), id);
            }
            for (int i = 0; i < clients.size(); i++) {
                Viewer client = clients.get(i);
                GatewayFixture.waitUntil(
                        "client " + i + " is refused or disconnected",
                        () -> client.closed || !client.messages.isEmpty());
                for (ViewerMessage message : client.messages) assertEquals(RELEASE, message.type(), "client " + i);
            }
            Viewer duplicateSender = fixture.viewer();
            duplicateSender.send(duplicate);
            duplicateSender.send(Viewer.setUp(106, "paid", "a", figures, GatewayFixture.OFFER_DESCRIPTION));
            GatewayFixture.waitUntil("two set-ups with one id end in a disconnect", () -> duplicateSender.closed);
            Set<String> setUpSessions = new HashSet<>();
            for (Request request : host.requests("SETUP"))
                assertTrue(setUpSessions.add(request.session()), "set up more than once");
            setUpSessions.remove(GatewayFixture.toHex(106));
            assertEquals(20, setUpSessions.size(), "a host received an invalid set-up: " + setUpSessions);
        }
    }

    @Test
    void idleConnectionFloodDoesNotBlockViewers() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host host = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            listHosts(fixture, host);
            fixture.start(96);
            List<Viewer> idleClients = new ArrayList<>();
            for (int i = 0; i < 200; i++) idleClients.add(fixture.viewer());
            Viewer viewer = fixture.viewer();
            viewer.setUp(1, "paid");
            assertAnswered(viewer.nextMessage(), 1);
            GatewayFixture.waitUntil(
                    "idle connections are closed", () -> idleClients.stream().allMatch(client -> client.closed));
            assertFalse(viewer.closed, "the connection of a session was closed");
        }
    }

    /**
     * After the request to stop, open set-ups are answered, new ones refused with a retry time, and sessions ended on
     * both sides.
     */
    @Test
    void gracefulStopAnswersSetUpsAndEndsSessions() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host host = fixture.host((request, connection) -> {
                if (request.method().equals("SETUP") && !request.session().equals(GatewayFixture.toHex(2)))
                    connection.respond(request, 200, GatewayFixture.ANSWER_DESCRIPTION);
            });
            listHosts(fixture, host);
            fixture.start();
            Viewer viewer = fixture.viewer();
            viewer.setUp(1, "free");
            assertAnswered(viewer.nextMessage(), 1);
            viewer.setUp(2, "paid");
            GatewayFixture.waitUntil(
                    "the second set-up is sent", () -> host.requests("SETUP").size() == 2);
            var stopped = fixture.node.stop().toCompletionStage().toCompletableFuture();
            ViewerMessage refusal = null;
            for (long id = 3; refusal == null; id++) {
                viewer.setUp(id, "free");
                ViewerMessage message = viewer.nextMessage();
                if (message.type() == RELEASE)
                    refusal = message; // the first of these may be handled before the stop request
            }
            assertTrue(REFUSAL_CAUSES.contains(refusal.cause()));
            assertNotEquals(null, refusal.parameters().get(9), "no retry time");
            var secondConnection =
                    host.connections.get(host.requests("SETUP").get(1).connectionIndex());
            secondConnection.respond(host.requests("SETUP").get(1), 200, GatewayFixture.ANSWER_DESCRIPTION);
            stopped.get(20, TimeUnit.SECONDS);
            GatewayFixture.waitUntil("the connection is closed", () -> viewer.closed);
            Set<Long> answered = new HashSet<>(Set.of(1L));
            Set<Long> released = new HashSet<>();
            for (ViewerMessage message : viewer.messages) {
                if (message.type() == ANSWER) answered.add(message.session());
                else if (message.type() == RELEASE && !REFUSAL_CAUSES.contains(message.cause()))
                    released.add(message.session());
            }
            assertTrue(answered.contains(2L), "an open set-up was not answered");
            assertTrue(released.containsAll(Set.of(1L, 2L)), "sessions not ended, only: " + released);
            GatewayFixture.waitUntil(
                    "the host receives both teardowns",
                    () -> host.requests("TEARDOWN").stream()
                            .map(Request::session)
                            .toList()
                            .containsAll(List.of(GatewayFixture.toHex(1), GatewayFixture.toHex(2))));
        }
    }

    /**
     * The answer of a timed-out attempt arrives while the next attempt is pending, and must not be taken for its
     * answer.
     */
    @Test
    void lateAnswerOfEarlierAttemptIsNotUsedForRetry() throws Exception {
        String late = GatewayFixture.ANSWER_DESCRIPTION.replace("10.233.7.30", "10.9.9.9");
        try (var fixture = new GatewayFixture()) {
            Host[] hosts = new Host[2];
            List<Request> setUps = new CopyOnWriteArrayList<>();
            GatewayFixture.RequestHandler handler = (request, connection) -> {
                if (!request.method().equals("SETUP")) return;
                setUps.add(request);
                if (setUps.size() == 1) return;
                Request firstSetUp = setUps.get(0);
                Host firstHost = hosts[0].requests("SETUP").contains(firstSetUp) ? hosts[0] : hosts[1];
                firstHost.connections.get(firstSetUp.connectionIndex()).respond(firstSetUp, 200, late);
                connection.respond(request, 200, GatewayFixture.ANSWER_DESCRIPTION);
            };
            hosts[0] = fixture.host(handler);
            hosts[1] = fixture.host(handler);
            listHosts(fixture, hosts);
            fixture.start();
            Viewer viewer = fixture.viewer();
            viewer.setUp(6, "free");
            assertAnswered(viewer.nextMessage(), 6);
            Host firstHost = hosts[0].requests("SETUP").contains(setUps.get(0)) ? hosts[0] : hosts[1];
            GatewayFixture.waitUntil(
                    "the first attempt is torn down at its host",
                    () -> !firstHost.requests("TEARDOWN").isEmpty());
        }
    }

    /**
     * After a malformed answer the host may have a running session: it receives a teardown, on another connection,
     * because the malformed one cannot be trusted.
     */
    @Test
    void failedAttemptIsTornDownOnAnotherConnection() throws Exception {
        Set<String> corrupted = ConcurrentHashMap.newKeySet();
        try (var fixture = new GatewayFixture()) {
            Host host = fixture.host((request, connection) -> {
                if (!request.method().equals("SETUP")) return;
                if (corrupted.add(request.session())) connection.send("RTSP/1.0 200 OK\r\nnoise without a colon\r\n");
            });
            listHosts(fixture, host);
            fixture.start();
            Viewer viewer = fixture.viewer();
            viewer.setUp(7, "paid");
            assertEquals(RELEASE, viewer.nextMessage().type());
            GatewayFixture.waitUntil(
                    "the host receives the teardown",
                    () -> !host.requests("TEARDOWN").isEmpty());
            Request teardown = host.requests("TEARDOWN").get(0);
            Request setUp = host.requests("SETUP").get(0);
            assertEquals(setUp.session(), teardown.session());
            assertNotEquals(
                    setUp.connectionIndex(), teardown.connectionIndex(), "teardown on the malformed connection");
            GatewayFixture.waitUntil(
                    "the malformed connection is closed",
                    () -> host.connections.get(setUp.connectionIndex()).closedByPeer);
        }
    }

    @Test
    void sessionsAreNotBoundToConnections() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host host = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            listHosts(fixture, host);
            fixture.start();
            Viewer firstViewer = fixture.viewer();
            Viewer secondViewer = fixture.viewer();
            for (long id = 1; id <= 3; id++) {
                firstViewer.setUp(id, "free");
                assertAnswered(firstViewer.nextMessage(), id);
            }
            secondViewer.setUp(4, "free"); // a connection with a session is not closed as idle
            assertAnswered(secondViewer.nextMessage(), 4);
            secondViewer.sendRelease(1, 31);
            GatewayFixture.waitUntil(
                    "the host receives a teardown that came on another connection",
                    () -> host.requests("TEARDOWN").stream()
                            .anyMatch(request -> request.session().equals(GatewayFixture.toHex(1))));
            firstViewer.close();
            var firstConnection = host.connections.get(0);
            var nextId = new AtomicLong(100);
            GatewayFixture.waitUntil("the host has a second connection", () -> {
                try { // two set-ups that are read together are sent concurrently
                    long id =
                            nextId.getAndAdd(2); // an id is never reused, however late the host receives the last ones
                    var messages = new ByteArrayOutputStream();
                    for (int i = 0; i < 2; i++)
                        messages.writeBytes(Viewer.setUp(
                                id + i,
                                "free",
                                "a",
                                "home:0;copies:4;top:1;viewer:" + GatewayFixture.toHex(id + i),
                                GatewayFixture.OFFER_DESCRIPTION));
                    secondViewer.send(messages.toByteArray());
                    return host.connections.size() > 1;
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            host.connections.get(host.connections.size() - 1).sendTeardown(GatewayFixture.toHex(2), 16);
            firstConnection.sendTeardown(GatewayFixture.toHex(3), 41);
            Set<Long> released = new HashSet<>();
            while (released.size() < 2) {
                ViewerMessage message = secondViewer.nextMessage();
                if (message.type() == RELEASE && message.session() <= 3) released.add(message.session());
            }
            assertEquals(Set.of(2L, 3L), released);
        }
    }

    /**
     * When a host announces insufficient delivery, the module lowers the rung; the host is notified, the viewer is not.
     */
    @Test
    void rungChangeDuringPlaybackIsSentToHost() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host host = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            listHosts(fixture, host);
            fixture.start();
            Viewer viewer = fixture.viewer();
            viewer.setUp(1, "free");
            assertAnswered(viewer.nextMessage(), 1);
            assertEquals("1", host.requests("SETUP").get(0).headers().get("P-Level"));
            var connection = host.connections.get(host.requests("SETUP").get(0).connectionIndex());
            GatewayFixture.waitUntil("the rung is lowered", () -> {
                try {
                    connection.sendAnnounce(GatewayFixture.toHex(1), "kept_up", "0.2");
                    return !host.requests("SET_PARAMETER").isEmpty();
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            Request request = host.requests("SET_PARAMETER").get(0);
            assertEquals(
                    List.of(GatewayFixture.toHex(1), "0"),
                    List.of(request.session(), request.headers().get("P-Level")));
            assertTrue(viewer.messages.isEmpty());
        }
    }

    /**
     * A host that the feed removes or replaces, or that falls silent, sends no end of its sessions; their viewers must
     * be released all the same.
     */
    @Test
    void sessionsOfRemovedOrSilentHostsEnd() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host removed = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            Host silent = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            Host replaced = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            listHosts(fixture, removed, silent, replaced);
            fixture.start();
            Viewer viewer = fixture.viewer();
            for (int i = 0; i < 3; i++) {
                viewer.send(Viewer.setUp(
                        1 + i,
                        "free",
                        "a",
                        "home:" + i + ";copies:1;top:1;viewer:" + GatewayFixture.toHex(1 + i),
                        GatewayFixture.OFFER_DESCRIPTION));
                assertAnswered(viewer.nextMessage(), 1 + i);
            }
            silent.becomeUnreachable();
            for (var connection : removed.connections) connection.muted = true;
            Host replacement = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            fixture.feed.publish(GatewayFixture.feedEvent(
                    2,
                    false,
                    GatewayFixture.hostEntry("h0", 0, removed, "removed"),
                    GatewayFixture.hostEntry("h2", 2, replacement, "up")));
            Set<Long> released = new HashSet<>();
            while (released.size() < 3) {
                ViewerMessage message = viewer.nextMessage();
                assertEquals(List.of(RELEASE, 41), List.of(message.type(), message.cause()));
                assertTrue(released.add(message.session()), "released twice");
            }
            assertEquals(Set.of(1L, 2L, 3L), released);
        }
    }

    @Test
    void truncatedEventIsIgnoredAndSilentFeedIsResubscribed() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host draining = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            Host other = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            listHosts(fixture, draining, other);
            fixture.start();
            String event = GatewayFixture.feedEvent(2, false, GatewayFixture.hostEntry("h0", 0, draining, "draining"));
            for (var subscriber : fixture.feed.connections) {
                subscriber
                        .getOutputStream()
                        .write(event.substring(0, event.length() - 5).getBytes());
                subscriber.close();
            }
            GatewayFixture.waitUntil(
                    "the gateway subscribes after the disconnect", () -> fixture.feed.subscriptions.size() == 2);
            assertEquals("SUB 1", fixture.feed.subscriptions.get(1));
            fixture.feed.sentEvents().add(event); // an event that the feed fails to send, as it is silent
            GatewayFixture.waitUntil(
                    "the gateway subscribes after the silence", () -> fixture.feed.subscriptions.size() >= 3);
            assertEquals("SUB 1", fixture.feed.subscriptions.get(2));
            GatewayFixture.waitUntil(
                    "the gateway subscribes after the event", () -> fixture.feed.subscriptions.size() >= 4);
            assertEquals("SUB 2", fixture.feed.subscriptions.get(3));
            Viewer viewer = fixture.viewer();
            int setUpsBefore = draining.requests("SETUP").size();
            for (long id = 1; id <= 12; id++) {
                viewer.setUp(id, "free");
                assertAnswered(viewer.nextMessage(), id);
            }
            assertEquals(setUpsBefore, draining.requests("SETUP").size());
        }
    }

    /**
     * Guards against a process that is taken for the one that listened at its address before: what was meant for that
     * one went to it until the list told of the change.
     */
    @Test
    void newProcessAtTheAddressOfOneThatDiedGetsNothingBeforeTheListNamesIt() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host died = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            listHosts(fixture, died);
            fixture.start();
            Viewer viewer = fixture.viewer();
            viewer.setUp(1, "free");
            assertAnswered(viewer.nextMessage(), 1);
            int port = died.port();
            died.close();
            Host replacement = fixture.hostOnPort(port, GatewayFixture.ACCEPT_SET_UPS);
            long untilMs = System.currentTimeMillis() + 2000; // the list tells of a dead host within some seconds
            long id = 2;
            for (; System.currentTimeMillis() < untilMs; id++) {
                viewer.setUp(id, "free");
                Thread.sleep(20);
            }
            assertEquals(List.of(), replacement.requests("SETUP"), "set up at a process that no list names");
            fixture.feed.publish(
                    GatewayFixture.feedEvent(2, false, GatewayFixture.hostEntry("h9", 0, replacement, "up")));
            long firstAfterChange = id;
            GatewayFixture.waitUntil("the new host is used", () -> {
                try {
                    viewer.setUp(System.nanoTime(), "free");
                    return !replacement.requests("SETUP").isEmpty();
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            Set<Long> released = new HashSet<>();
            while (!released.contains(1L)) {
                ViewerMessage message = viewer.nextMessage();
                if (message.type() == RELEASE) released.add(message.session());
            }
            for (long i = 2; i < firstAfterChange; i++) {
                String session = GatewayFixture.toHex(i);
                assertFalse(replacement.requests("SETUP").stream()
                        .anyMatch(request -> request.session().equals(session)));
            }
        }
    }

    /**
     * Guards against checks of quiet hosts that use up the connections, so that none is left to notice a host that has
     * vanished.
     */
    @Test
    void hostThatVanishesAfterAQuietTimeIsNoticed() throws Exception {
        int hostCount = 8; // of 96 descriptors 22 are for connections to hosts
        try (var fixture = new GatewayFixture()) {
            Host[] hosts = new Host[hostCount];
            for (int i = 0; i < hostCount; i++) hosts[i] = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            listHosts(fixture, hosts);
            fixture.start(96);
            Viewer viewer = fixture.viewer();
            for (int i = 0; i < hostCount; i++) {
                String figures = "home:0;copies:4;top:1;viewer:" + GatewayFixture.toHex(i + 1) + ";at:h" + i;
                viewer.send(Viewer.setUp(i + 1, "free", "a", figures, GatewayFixture.OFFER_DESCRIPTION));
            }
            Thread.sleep(10_000); // nothing happens: each host is checked three times
            long open = Arrays.stream(hosts)
                    .flatMap(host -> host.connections.stream())
                    .filter(connection -> !connection.closedByPeer)
                    .count();
            assertTrue(open <= 2L * hostCount, open + " connections to quiet hosts");
            hosts[hostCount - 1].becomeUnreachable();
            ViewerMessage message = viewer.messages.poll(8050, TimeUnit.MILLISECONDS); // the platform's bound
            assertNotNull(message, "no release of a vanished host's session");
            assertEquals(List.of(RELEASE, (long) hostCount), List.of(message.type(), message.session()));
        }
    }

    /**
     * Hundreds of set-ups released at once, a body of 60 MB and a client that never reads leave no state behind, and
     * other viewers are served.
     */
    @Test
    void floodsLeaveNoState() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host host = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            listHosts(fixture, host);
            fixture.start();
            Viewer setUpFlooder = fixture.viewer();
            for (long id = 1000; id < 1400; id++) {
                setUpFlooder.setUp(id, "free");
                setUpFlooder.sendRelease(id, 16);
            }
            Viewer largeMessageSender = fixture.viewer();
            largeMessageSender.send(new byte[] {(byte) 0xff, (byte) 0xff, 1});
            byte[] body = new byte[1 << 20];
            try {
                for (int i = 0; i < 60; i++) largeMessageSender.send(body);
            } catch (IOException e) {
                // the gateway closes the connection after the header
            }
            GatewayFixture.waitUntil(
                    "the connection is closed without reading the body", () -> largeMessageSender.closed);
            var nonReadingSocket = new Socket("127.0.0.1", fixture.port);
            byte[] ping =
                    new GatewayFixture.MessageBuilder(52, 1).with(17, "\0").bytes();
            byte[] pings = new byte[ping.length * 4000];
            for (int i = 0; i < 4000; i++) System.arraycopy(ping, 0, pings, i * ping.length, ping.length);
            boolean[] disconnected = new boolean[1];
            Thread writer = new Thread(() -> {
                try {
                    while (true) nonReadingSocket.getOutputStream().write(pings);
                } catch (IOException e) {
                    disconnected[0] = true;
                }
            });
            writer.setDaemon(true);
            writer.start();
            Viewer viewer = fixture.viewer();
            for (long id = 1; id <= 10; id++) {
                viewer.setUp(id, "paid");
                assertAnswered(viewer.nextMessage(), id);
            }
            writer.join(20_000);
            assertTrue(disconnected[0], "a client that never reads was not disconnected");
            nonReadingSocket.close();
            GatewayFixture.waitUntil(
                    "only the valid sessions are left",
                    () -> fixture.node
                                    .heldCount()
                                    .toCompletionStage()
                                    .toCompletableFuture()
                                    .join()
                            == 10);
        }
    }

    @Test
    void setUpsAboveLimitAreRefusedWithRetryTime() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host host = fixture.host((request, connection) -> {});
            listHosts(fixture, host);
            var config = fixture.config(256);
            ((ObjectNode) config.get("settings").get("policyLimits")).put("maxOpen", 1);
            fixture.start(config);
            Viewer viewer = fixture.viewer();
            viewer.setUp(1, "paid");
            viewer.setUp(2, "paid");
            ViewerMessage message = viewer.nextMessage();
            assertEquals(List.of(RELEASE, 2L), List.of(message.type(), message.session()));
            assertTrue(REFUSAL_CAUSES.contains(message.cause())
                    && Integer.parseInt(message.parameters().get(9)) > 0);
        }
    }

    /**
     * Guards against a second run of a paid set-up that comes again under its id when its client has left, and of one
     * whose session has ended.
     */
    @Test
    void setUpThatComesAgainUnderItsIdDoesNotRunTwice() throws Exception {
        GatewayFixture.RequestHandler handler = (request, connection) -> {
            boolean unanswered = Long.parseLong(request.session(), 16) < 100;
            if (!unanswered) GatewayFixture.ACCEPT_SET_UPS.handle(request, connection);
        };
        try (var fixture = new GatewayFixture()) {
            Host[] hosts = {fixture.host(handler), fixture.host(handler), fixture.host(handler)};
            listHosts(fixture, hosts);
            fixture.start();
            for (long id = 1; id <= 20; id++) {
                String session = GatewayFixture.toHex(id);
                Viewer leaving = fixture.viewer();
                leaving.setUp(id, "paid");
                GatewayFixture.waitUntil("the set-up has arrived", () -> setUpCount(hosts, session) == 1);
                leaving.close();
                Viewer again = fixture.viewer();
                again.setUp(id, "paid");
                // answered with a failure, or closed if the leaving of the first was not noticed yet
                GatewayFixture.waitUntil(
                        "the second one is answered or its connection closed",
                        () -> again.closed || !again.messages.isEmpty());
                for (ViewerMessage message : again.messages)
                    assertTrue(message.type() == RELEASE && message.cause() == 38, message.toString());
                assertEquals(1, setUpCount(hosts, session), "set-ups under the id " + session);
            }
            Viewer viewer = fixture.viewer();
            viewer.setUp(100, "paid");
            assertAnswered(viewer.nextMessage(), 100);
            viewer.sendRelease(100, 16);
            viewer.setUp(100, "paid");
            ViewerMessage message = viewer.nextMessage();
            assertEquals(List.of(RELEASE, 38), List.of(message.type(), message.cause()));
            assertEquals(1, setUpCount(hosts, GatewayFixture.toHex(100)));
        }
    }

    private static long setUpCount(Host[] hosts, String session) {
        return Arrays.stream(hosts)
                .flatMap(host -> host.requests("SETUP").stream())
                .filter(request -> request.session().equals(session))
                .count();
    }

    /** A set-up with an id in use disconnects its sender; the first set-up still gets exactly one answer. */
    @Test
    void duplicateIdDoesNotAffectFirstSetUp() throws Exception {
        try (var fixture = new GatewayFixture()) {
            List<Request> setUps = new CopyOnWriteArrayList<>();
            Host host = fixture.host((request, connection) -> {
                if (request.method().equals("SETUP")) setUps.add(request);
            });
            listHosts(fixture, host);
            fixture.start();
            Viewer firstViewer = fixture.viewer();
            Viewer secondViewer = fixture.viewer();
            Viewer sameViewer = fixture.viewer();
            firstViewer.setUp(1, "paid");
            sameViewer.setUp(2, "paid");
            GatewayFixture.waitUntil("both set-ups are sent", () -> setUps.size() == 2);
            String figures = "home:0;copies:4;top:1;viewer:0000000000000009";
            secondViewer.send(
                    Viewer.setUp(1, "free", "a", figures, GatewayFixture.OFFER_DESCRIPTION.replace("31000", "31002")));
            GatewayFixture.waitUntil("the other viewer is disconnected", () -> secondViewer.closed);
            sameViewer.send(
                    Viewer.setUp(2, "free", "a", figures, GatewayFixture.OFFER_DESCRIPTION.replace("31000", "31002")));
            ViewerMessage message = sameViewer.nextMessage();
            assertTrue(
                    message.type() == RELEASE && message.session() == 2 && !REFUSAL_CAUSES.contains(message.cause()),
                    message.toString());
            GatewayFixture.waitUntil("its connection is closed", () -> sameViewer.closed);
            assertTrue(sameViewer.messages.isEmpty() && secondViewer.messages.isEmpty(), "a second answer");
            Request first = setUps.stream()
                    .filter(request -> request.session().equals(GatewayFixture.toHex(1)))
                    .findFirst()
                    .orElseThrow();
            host.connections.get(first.connectionIndex()).respond(first, 200, GatewayFixture.ANSWER_DESCRIPTION);
            assertAnswered(firstViewer.nextMessage(), 1);
            assertEquals(2, setUps.size(), "a duplicate reached a host");
        }
    }

    /**
     * A truncated message closes the connection but not the session on it; the release of the session is delivered on
     * another connection.
     */
    @Test
    void truncatedMessageClosesConnectionButKeepsSession() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host host = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            listHosts(fixture, host);
            fixture.start();
            Viewer viewer = fixture.viewer();
            viewer.setUp(1, "free");
            assertAnswered(viewer.nextMessage(), 1);
            viewer.send(new byte[] {0, 60, 1});
            GatewayFixture.waitUntil("the connection is closed", () -> viewer.closed);
            assertTrue(host.requests("TEARDOWN").isEmpty(), "the session was ended");
            host.connections.get(0).sendTeardown(GatewayFixture.toHex(1), 16); // while no viewer is connected
            GatewayFixture.waitUntil(
                    "the gateway processed the release",
                    () -> fixture.node
                                    .heldCount()
                                    .toCompletionStage()
                                    .toCompletableFuture()
                                    .join()
                            == 0);
            Viewer nextViewer = fixture.viewer();
            nextViewer.setUp(2, "free");
            ViewerMessage release = nextViewer.nextMessage();
            assertEquals(List.of(RELEASE, 1L, 16), List.of(release.type(), release.session(), release.cause()));
            assertAnswered(nextViewer.nextMessage(), 2);
        }
    }
}
