package trestleline.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import trestleline.config.GatewayConfig;
import trestleline.daemon.GatewayNode;

/** Runs one gateway until the process is asked to end. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Runs one gateway until the process is terminated.")
final class Serve implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "CONFIG", description = "the gateway's settings, JSON5")
    private Path file;

    @Override
    public Integer call() throws Exception {
        GatewayConfig config = GatewayConfig.open(file);
        var node = new GatewayNode(config);
        int port;
        try {
            port = node.start().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException e) {
            spec.commandLine()
                    .getErr()
                    .println("trestleline: cannot serve on " + config.listen().host() + ":"
                            + config.listen().port() + ": " + e.getCause().getMessage());
            node.kill();
            return 1;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                node.stop().toCompletionStage().toCompletableFuture().get(8, TimeUnit.SECONDS);
            } catch (Exception e) {
                System.err.println("trestleline: graceful shutdown failed: " + e);
            }
        }));
        spec.commandLine().getOut().println("listening " + config.listen().host() + ":" + port);
        spec.commandLine().getOut().flush();
        new CountDownLatch(1).await();
        return 0;
    }
}
