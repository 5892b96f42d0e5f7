package trestleline.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The packaged program as a process of its own, started with the command line of deploy/balancer.toml. */
final class GatewayProcess implements AutoCloseable {
    final Process process;
    final int port;
    private final Path dir;

    /** Starts the program in a folder with a configuration, whose address for viewers is replaced, and waits for it. */
    GatewayProcess(Path dir, ObjectNode config) throws Exception {
        this(dir, config, "");
    }

    /** Starts the program in a shell that runs {@code before} first, such as {@code ulimit -n 256;}. */
    GatewayProcess(Path dir, ObjectNode config, String before) throws Exception {
        this.dir = dir;
        port = freePort();
        Path file = Files.writeString(
                dir.resolve("config.json"),
                config.put("listen", "127.0.0.1:" + port).toString());
        process = start(dir, file, before + runCommand());
        GatewayFixture.waitUntil(
                "it listens: " + text("err"), () -> text("out").contains("listening 127.0.0.1:" + port));
    }

    /** The command of deploy/balancer.toml. */
    static String runCommand() throws IOException {
        Matcher matcher =
                Pattern.compile("(?m)^run = \"(.*?)\"").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertTrue(matcher.find(), "no run line in deploy/balancer.toml");
        return matcher.group(1);
    }

    /** Starts a command with a configuration file; its output goes to the files {@code out} and {@code err}. */
    static Process start(Path dir, Path config, String command) throws IOException {
        Path tempDir = Files.createDirectories(dir.resolve("tmp"));
        var process = new ProcessBuilder("/bin/sh", "-c", command)
                .redirectOutput(dir.resolve("out").toFile())
                .redirectError(dir.resolve("err").toFile());
        process.environment().put("NODE_CONFIG", config.toString());
        process.environment().put("TMPDIR", tempDir.toString());
        process.environment().remove("TRESTLELINE_LOG");
        return process.start();
    }

    /** A port that nothing listens on. */
    static int freePort() throws IOException {
        try (var server = new ServerSocket(0)) {
            return server.getLocalPort();
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** What the process has written to a file of its folder; empty if there is none. */
    String text(String file) {
        try {
            return Files.readString(dir.resolve(file));
        } catch (IOException e) {
            return "";
        }
    }

    /** What the process has printed, and its exit code if it has ended. */
    String describe() {
        return (process.isAlive() ? "runs" : "exit code " + process.exitValue()) + ", " + text("out") + text("err");
    }

    /** Largest resident size so far as the system reports it, kB; 0 where it reports none. */
    int peakResidentKb() throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        if (!Files.exists(status)) return 0;
        Matcher peak = Pattern.compile("VmHWM:\\s+(\\d+) kB").matcher(Files.readString(status));
        return peak.find() ? Integer.parseInt(peak.group(1)) : 0;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
