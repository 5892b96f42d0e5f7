package trestleline.scenario;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/** A gateway in a child process: a crash is a forced kill, a stall a STOP signal followed by CONT. */
final class ChildProcessGateway implements GatewayHandle {
    private final Vertx vertx;
    private final Path workDir;
    private final int index;
    private final IntFunction<String> configText;
    private volatile Process process;
    private volatile int port;

    ChildProcessGateway(Vertx vertx, Path workDir, int index, IntFunction<String> configText) {
        this.vertx = vertx;
        this.workDir = workDir;
        this.index = index;
        this.configText = configText;
    }

    @Override
    public Future<Integer> start() {
        return vertx.executeBlocking(
                () -> {
                    Path file =
                            Files.writeString(workDir.resolve("gateway-" + index + ".json5"), configText.apply(port));
                    String javaBinary = Path.of(System.getProperty("java.home"), "bin", "java")
                            .toString();
                    Process started = new ProcessBuilder(List.of(
                                    javaBinary,
                                    "-Xmx256m",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    "trestleline.cli.Main",
                                    "serve",
                                    file.toString()))
                            .redirectError(ProcessBuilder.Redirect.appendTo(
                                    new File(workDir.toFile(), "gateway-" + index + ".log")))
                            .start();
                    process = started;
                    Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
                    var stdout =
                            new BufferedReader(new InputStreamReader(started.getInputStream(), StandardCharsets.UTF_8));
                    String line = stdout.readLine();
                    if (line == null || !line.startsWith("listening ")) {
                        throw new IOException("gateway " + index + " did not start; see " + workDir);
                    }
                    port = Integer.parseInt(
                            line.substring(line.lastIndexOf(':') + 1).trim());
                    return port;
                },
                false);
    }

    @Override
    public Future<Void> kill() {
        return vertx.executeBlocking(
                () -> {
                    process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
                    return null;
                },
                false);
    }

    private static void signal(Process target, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(target.pid()))
                .start()
                .waitFor(5, TimeUnit.SECONDS);
    }

    @Override
    public Future<Void> stall(long ms) {
        Process target = process;
        return vertx.executeBlocking(
                () -> {
                    signal(target, "STOP");
                    try {
                        Thread.sleep(ms);
                    } finally {
                        signal(target, "CONT");
                    }
                    return null;
                },
                false);
    }

    @Override
    public Future<Void> stop() {
        return vertx.executeBlocking(
                () -> {
                    process.destroy();
                    if (!process.waitFor(10, TimeUnit.SECONDS)) process.destroyForcibly();
                    return null;
                },
                false);
    }

    @Override
    public int port() {
        return port;
    }
}
