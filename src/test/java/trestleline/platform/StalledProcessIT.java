package trestleline.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import trestleline.platform.GatewayFixture.Feed;
import trestleline.platform.GatewayFixture.Host;
import trestleline.platform.GatewayFixture.Viewer;

/** The packaged program, held still by signals for most of the time after which a quiet peer counts as silent. */
@Timeout(120)
class StalledProcessIT {
    private static final int ANSWER = 9;
    private static final int STALLS = 3;
    private static final int STALL_MS = 1850;
    private static final int PATIENCE_MS = 5000;
    private static final int HOSTS = 4;

    @TempDir
    private Path dir;

    private static void signal(Process process, String name) throws Exception {
        var kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        assertEquals(0, kill.waitFor());
    }

    private static byte[] setUp(long id) {
        String figures = "home:0;copies:4;top:1;viewer:" + GatewayFixture.toHex(id);
        return Viewer.setUp(id, "free", "a", figures, GatewayFixture.OFFER_DESCRIPTION, PATIENCE_MS);
    }

    private static Host[] listHosts(GatewayFixture fixture) throws IOException {
        var hosts = new Host[HOSTS];
        String[] entries = new String[HOSTS];
        for (int i = 0; i < HOSTS; i++) {
            hosts[i] = fixture.host(GatewayFixture.ACCEPT_SET_UPS);
            entries[i] = GatewayFixture.hostEntry("h" + i, i, hosts[i], "up");
        }
        fixture.initialEvents.add(GatewayFixture.feedEvent(1, true, entries));
        fixture.feed.sentEvents().add(fixture.initialEvents.get(0));
        return hosts;
    }

    /**
     * Guards against a resting connection that is closed as silent after a stall, over the set-up that lies in it
     * unread.
     */
    @Test
    void setUpThatCameDuringAStallIsAnswered() throws Exception {
        try (var fixture = new GatewayFixture()) {
            listHosts(fixture);
            try (var gateway = new GatewayProcess(dir, fixture.config(256))) {
                for (long id = 1; id <= STALLS; id++) {
                    var viewer = new Viewer(gateway.port);
                    Thread.sleep(1200); // rests for less than the time after which it counts as silent
                    signal(gateway.process, "STOP");
                    viewer.send(setUp(id));
                    Thread.sleep(STALL_MS);
                    signal(gateway.process, "CONT");
                    assertEquals(ANSWER, viewer.nextMessage().type());
                    viewer.close();
                }
            }
        }
    }

    /**
     * Guards against a feed that is dropped as silent after a stall, with the event unread that tells of a drain:
     * set-ups went to the draining host until the next subscription was answered.
     */
    @Test
    void drainToldDuringAStallIsReadBeforeSetUpsAreSent() throws Exception {
        ScheduledExecutorService heartbeat = Executors.newSingleThreadScheduledExecutor();
        try (var fixture = new GatewayFixture()) {
            Host[] hosts = listHosts(fixture);
            heartbeat.scheduleAtFixedRate(() -> sendNumber(fixture.feed), 0, 1, TimeUnit.SECONDS);
            try (var gateway = new GatewayProcess(dir, fixture.config(256))) {
                var viewer = new Viewer(gateway.port);
                long id = 1;
                for (int stall = 0; stall < STALLS; stall++) {
                    viewer.send(setUp(id++)); // a session keeps the connection open
                    assertEquals(ANSWER, viewer.nextMessage().type());
                    Thread.sleep(1000);
                    Host draining = hosts[stall];
                    signal(gateway.process, "STOP");
                    int before = draining.requests("SETUP").size();
                    fixture.feed.publish(GatewayFixture.feedEvent(
                            2 + stall, false, GatewayFixture.hostEntry("h" + stall, stall, draining, "draining")));
                    List<Long> asked = new ArrayList<>();
                    for (int i = 0; i < 12; i++) {
                        asked.add(id);
                        viewer.send(setUp(id++));
                    }
                    Thread.sleep(STALL_MS);
                    signal(gateway.process, "CONT");
                    for (int i = 0; i < asked.size(); i++)
                        assertTrue(asked.contains(viewer.nextMessage().session()));
                    assertEquals(before, draining.requests("SETUP").size(), "set-ups to a draining host");
                }
                viewer.close();
            }
        } finally {
            heartbeat.shutdownNow();
        }
    }

    /** Sends the number of the latest event, as a feed does every second. */
    private static void sendNumber(Feed feed) {
        for (Socket socket : feed.connections) {
            try {
                Feed.sendLine(socket, Integer.toString(feed.sentEvents().size()));
            } catch (IOException e) {
                // the gateway has closed this connection
            }
        }
    }
}
