package trestleline.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import trestleline.platform.GatewayFixture.Host;
import trestleline.platform.GatewayFixture.Viewer;
import trestleline.platform.GatewayFixture.ViewerMessage;

/**
 * Runs the packaged program with the command line of deploy/balancer.toml, and checks its signals and resource limits.
 */
@Timeout(120)
class PlatformNodeIT {
    private static final int MEMORY_MB = 128;
    private static final int SOCKETS = 256;

    @TempDir
    private Path dir;

    private Process start(Path config) throws IOException {
        return start(config, GatewayProcess.runCommand());
    }

    private Process start(Path config, String command) throws IOException {
        return GatewayProcess.start(dir, config, command);
    }

    private static void signal(Process process, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private String text(String file) {
        try {
            return Files.readString(dir.resolve(file));
        } catch (IOException e) {
            return "";
        }
    }

    private Path write(ObjectNode config) throws IOException {
        return Files.writeString(dir.resolve("config.json"), config.toString());
    }

    @Test
    void invalidConfigExitsWithTwoAndNamesTheField() throws Exception {
        try (var fixture = new GatewayFixture()) {
            ObjectNode config = fixture.config(SOCKETS);
            config.put("feed", "somewhere else");
            for (Path file : List.of(write(config), dir.resolve("none.json"))) {
                Process process = start(file);
                assertTrue(process.waitFor(60, TimeUnit.SECONDS));
                assertEquals(2, process.exitValue(), text("err"));
                assertTrue(text("err").contains(file.endsWith("none.json") ? "none.json" : "'feed'"), text("err"));
            }
        }
    }

    /**
     * The placement module rejects these settings on the event loop. When that exception was lost, the process hung for
     * 30 s and then exited with 1.
     */
    @Test
    void settingsRejectedByModuleExitWithTwoAndNameTheField() throws Exception {
        try (var fixture = new GatewayFixture()) {
            ObjectNode config = fixture.config(SOCKETS);
            ((ObjectNode) config.path("settings")).put("replicasOfMe", 0);
            Process process = start(write(config));
            assertTrue(process.waitFor(25, TimeUnit.SECONDS), "the process hangs");
            assertEquals(2, process.exitValue(), text("err"));
            assertTrue(text("err").contains("replicasOfMe"), text("err"));
        }
    }

    /** A named pipe as configuration file: whoever opens it for writing holds the process while it reads. */
    private Path pipe() throws Exception {
        Path pipe = dir.resolve("pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        return pipe;
    }

    /** A HUP during the first read ended the process when the handler was installed only after the read. */
    @Test
    void hangupDuringFirstReadReloadsTheConfig() throws Exception {
        try (var fixture = new GatewayFixture();
                var nextFeed = new GatewayFixture.Feed(fixture.feed.sentEvents())) {
            Path pipe = pipe();
            Process process = start(pipe);
            try {
                try (var configOut = Files.newOutputStream(pipe)) { // opening blocks until the process reads
                    signal(process, "HUP");
                    fixture.initialEvents.add(GatewayFixture.feedEvent(1, true));
                    fixture.feed.sentEvents().add(fixture.initialEvents.get(0));
                    configOut.write(fixture.config(SOCKETS).toString().getBytes(StandardCharsets.UTF_8));
                    Files.move(
                            write(fixture.config(SOCKETS).put("feed", "127.0.0.1:" + nextFeed.port())),
                            pipe,
                            StandardCopyOption.REPLACE_EXISTING);
                }
                GatewayFixture.waitUntil(
                        "the newly configured feed has a subscription", () -> !nextFeed.subscriptions.isEmpty());
                assertTrue(process.isAlive());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void terminateDuringFirstReadExitsCleanly() throws Exception {
        try (var fixture = new GatewayFixture()) {
            for (String[] signals : new String[][] {{"TERM"}, {"HUP", "TERM"}, {"TERM", "HUP"}}) {
                Path pipe = pipe();
                Process process = start(pipe);
                try {
                    try (var configOut = Files.newOutputStream(pipe)) {
                        for (String name : signals) signal(process, name);
                        configOut.write(fixture.config(SOCKETS).toString().getBytes(StandardCharsets.UTF_8));
                        Files.move(write(fixture.config(SOCKETS)), pipe, StandardCopyOption.REPLACE_EXISTING);
                    }
                    assertTrue(process.waitFor(20, TimeUnit.SECONDS), "still running after " + List.of(signals));
                    assertEquals(0, process.exitValue(), List.of(signals) + ": " + text("err"));
                    assertEquals("", text("out"), "accepted connections after " + List.of(signals));
                    Files.delete(pipe);
                } finally {
                    process.destroyForcibly();
                }
            }
        }
    }

    /** Guards against a process that stands without memory, instead of ending so that another one is started. */
    @Test
    void outOfMemoryEndsTheProcessWithOneLine() throws Exception {
        String command =
                GatewayProcess.runCommand().replaceAll("-Xm([sx])\\d+m", "-Xm$14m"); // too little to start with
        try (var fixture = new GatewayFixture()) {
            Process process = start(write(fixture.config(SOCKETS)), command);
            try {
                assertTrue(process.waitFor(30, TimeUnit.SECONDS), "the process stands");
                assertEquals(3, process.exitValue(), text("out") + text("err"));
                assertTrue((text("out") + text("err")).contains("OutOfMemoryError"), text("out") + text("err"));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Guards against refused set-ups that stay in memory for as long as they said they would wait. */
    @Test
    void refusedSetUpsThatStateALongWaitDoNotFillTheHeap() throws Exception {
        int refusals = 100_000; // twice as many as filled the heap
        int open = 100;
        int longestPatienceMs = 9_999_999;
        try (var fixture = new GatewayFixture()) {
            fixture.initialEvents.add(GatewayFixture.feedEvent(1, true)); // without hosts every set-up is refused
            fixture.feed.sentEvents().add(fixture.initialEvents.get(0));
            int port = GatewayProcess.freePort();
            Process process = start(write(fixture.config(SOCKETS).put("listen", "127.0.0.1:" + port)));
            try {
                GatewayFixture.waitUntil(
                        "it listens: " + text("err"), () -> text("out").contains("listening 127.0.0.1:" + port));
                var flooding = new Viewer(port);
                for (int i = 1; i <= refusals + open; i++) {
                    if (i > open) assertEquals(12, flooding.nextMessage().type());
                    String figures = "home:0;copies:4;top:1;viewer:" + GatewayFixture.toHex(i);
                    flooding.send(
                            Viewer.setUp(i, "free", "a", figures, GatewayFixture.OFFER_DESCRIPTION, longestPatienceMs));
                }
                var usual = new Viewer(port);
                usual.setUp(refusals + open + 1, "paid");
                assertEquals(12, usual.nextMessage().type());
                assertEquals("", text("err"));
                assertEquals(0, heldRequests(process), "requests held, none open");
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Number of requests in the heap of the process after a collection, as its JVM counts them. */
    private static int heldRequests(Process process) throws Exception {
        Process jcmd = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                        Long.toString(process.pid()),
                        "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        String histogram = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, jcmd.waitFor(), histogram);
        Matcher row = Pattern.compile("(\\d+) +\\d+ +trestleline\\.core\\.Gateway\\$RequestState\\b")
                .matcher(histogram);
        return row.find() ? Integer.parseInt(row.group(1)) : 0;
    }

    /** Guards against given-up set-ups that stay in memory after their host has confirmed the end. */
    @Test
    void setUpsThatAreTakenBackAtTheHostDoNotFillTheHeap() throws Exception {
        int takenBack = 30_000;
        int open = 100;
        String description = GatewayFixture.OFFER_DESCRIPTION + "a".repeat(8000); // a line may hold 8 KiB
        try (var fixture = new GatewayFixture()) {
            var reached = new LinkedBlockingQueue<Long>();
            Host host = fixture.host((request, connection) -> {
                if (request.method().equals("TEARDOWN")) connection.respond(request, 200, "");
                else reached.add(Long.parseLong(request.session(), 16));
            });
            fixture.initialEvents.add(GatewayFixture.feedEvent(1, true, GatewayFixture.hostEntry("h0", 0, host, "up")));
            fixture.feed.sentEvents().add(fixture.initialEvents.get(0));
            int port = GatewayProcess.freePort();
            Process process = start(write(fixture.config(SOCKETS).put("listen", "127.0.0.1:" + port)));
            try {
                GatewayFixture.waitUntil(
                        "it listens: " + text("err"), () -> text("out").contains("listening 127.0.0.1:" + port));
                var viewer = new Viewer(port);
                for (int i = 1; i <= takenBack + open; i++) {
                    if (i > open) {
                        Long id = reached.poll(15, TimeUnit.SECONDS);
                        assertTrue(id != null, "no set-up reached the host any more: " + text("err"));
                        viewer.sendRelease(id, 16);
                    }
                    String figures = "home:0;copies:4;top:1;viewer:" + GatewayFixture.toHex(i);
                    viewer.send(Viewer.setUp(i, "paid", "a", figures, description, 9_999_999));
                    host.requests.clear();
                }
                assertEquals("", text("err"));
                int held = heldRequests(process);
                assertTrue(held <= open, held + " requests held, " + open + " open");
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void signalsAndResourceLimitsUnderLoad() throws Exception {
        try (var fixture = new GatewayFixture()) {
            Host host = fixture.host((request, connection) -> {
                if (request.method().equals("SETUP"))
                    connection.respond(request, 200, GatewayFixture.ANSWER_DESCRIPTION);
            });
            fixture.initialEvents.add(GatewayFixture.feedEvent(1, true, GatewayFixture.hostEntry("h0", 0, host, "up")));
            fixture.feed.sentEvents().add(fixture.initialEvents.get(0));
            ObjectNode config = fixture.config(SOCKETS);
            int port = GatewayProcess.freePort();
            config.put("listen", "127.0.0.1:" + port);
            Path file = write(config);
            Process process = start(file);
            try {
                GatewayFixture.waitUntil(
                        "it listens: " + text("err"), () -> text("out").contains("listening 127.0.0.1:" + port));
                Viewer viewer = new Viewer(port);
                viewer.setUp(1, "paid");
                assertEquals(9, viewer.nextMessage().type());

                Files.writeString(file, "{ half a fi");
                signal(process, "HUP");
                GatewayFixture.waitUntil(
                        "the invalid file is reported", () -> text("err").contains("cannot be used"));
                viewer.setUp(2, "paid");
                assertEquals(9, viewer.nextMessage().type(), "an invalid file affected a session");

                var nextFeed = new GatewayFixture.Feed(fixture.feed.sentEvents());
                write(config.put("feed", "127.0.0.1:" + nextFeed.port()));
                signal(process, "HUP");
                GatewayFixture.waitUntil("the new feed has a subscription", () -> !nextFeed.subscriptions.isEmpty());
                assertEquals("SUB 1", nextFeed.subscriptions.get(0));

                assertLimits(process, port);
                Map<Long, Integer> answers = new HashMap<>();
                Set<Long> released = new HashSet<>();
                long id = 10;
                for (; id < 60; id++) viewer.setUp(id, "free");
                signal(process, "TERM");
                long graceEnd = System.nanoTime()
                        + TimeUnit.MILLISECONDS.toNanos(600); // the platform keeps sending for this long
                List<ViewerMessage> messages = new ArrayList<>();
                while (System.nanoTime() < graceEnd) {
                    viewer.setUp(id++, "free");
                    messages.add(viewer.nextMessage());
                }
                assertTrue(
                        process.waitFor(3600, TimeUnit.MILLISECONDS), "still running when the platform would kill it");
                assertEquals(0, process.exitValue());
                GatewayFixture.waitUntil("all messages are read", () -> viewer.closed);
                messages.addAll(viewer.messages);
                for (ViewerMessage message : messages) {
                    boolean accepted = answers.getOrDefault(message.session(), 0) == 9;
                    if (message.type() == 9 || !accepted) {
                        assertTrue(
                                answers.put(message.session(), message.type()) == null, "second answer for " + message);
                    } else {
                        released.add(message.session());
                    }
                }
                for (long i = 10; i < id; i++) assertTrue(answers.containsKey(i), "no answer to " + i);
                for (var answer : answers.entrySet()) {
                    if (answer.getValue() == 9)
                        assertTrue(released.contains(answer.getKey()), answer.getKey() + " was not released");
                }
                nextFeed.close();
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /** Checks memory, descriptors, temporary files and listening sockets of the process as the system reports them. */
    private void assertLimits(Process process, int port) throws IOException {
        Path procDir = Path.of("/proc", Long.toString(process.pid()));
        if (!Files.exists(procDir)) return; // no /proc on this system; the bench checks these limits as well
        String status = Files.readString(procDir.resolve("status"));
        Matcher peakMemory = Pattern.compile("VmHWM:\\s+(\\d+) kB").matcher(status);
        assertTrue(peakMemory.find());
        assertTrue(Integer.parseInt(peakMemory.group(1)) < MEMORY_MB * 1024, "resident " + peakMemory.group(1) + " kB");
        List<String> sockets = new ArrayList<>();
        File[] open = procDir.resolve("fd").toFile().listFiles();
        assertTrue(open.length < SOCKETS);
        for (File descriptor : open) {
            try {
                sockets.add(Files.readSymbolicLink(descriptor.toPath()).toString());
            } catch (IOException e) {
                // closed in the meantime
            }
        }
        List<String> listening = new ArrayList<>();
        for (String table : List.of("tcp", "tcp6")) {
            for (String line : Files.readAllLines(procDir.resolve("net").resolve(table), StandardCharsets.US_ASCII)) {
                String[] columns = line.trim().split("\\s+");
                if (columns.length > 9 && columns[3].equals("0A") && sockets.contains("socket:[" + columns[9] + "]"))
                    listening.add(columns[1]);
            }
        }
        assertEquals(1, listening.size(), "listens on " + listening);
        assertTrue(listening.get(0).endsWith(String.format(":%04X", port)), listening.toString());
        try (var files = Files.list(dir.resolve("tmp"))) {
            assertEquals(List.of(), files.toList(), "temporary files, which count as memory");
        }
    }
}
