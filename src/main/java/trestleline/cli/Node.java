package trestleline.cli;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import sun.misc.Signal;
import trestleline.node.ClassArchiveTraining;
import trestleline.node.NodeConfig;
import trestleline.node.PlatformNode;
import trestleline.settings.InvalidInputException;

/**
 * Runs one gateway on the platform of the users, configured by the file that the environment variable NODE_CONFIG
 * names.
 */
@Command(
        name = "node",
        mixinStandardHelpOptions = true,
        description = "Runs one gateway on the users' platform, configured by the file that NODE_CONFIG names.")
final class Node implements Callable<Integer> {
    private static final Logger LOG = LoggerFactory.getLogger(Node.class);

    /** Seconds between two log lines with the state. */
    private static final int STATE_LOG_INTERVAL_S = 10;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "the settings, in place of the file that NODE_CONFIG names")
    private Path file;

    @Option(
            names = "--train",
            description = "serves a few set-ups of its own and exits; the build archives what was loaded")
    private boolean train;

    @Override
    public Integer call() throws Exception {
        if (train) {
            train();
            return 0;
        }
        Path configFile = file != null
                ? file
                : System.getenv("NODE_CONFIG") == null ? null : Path.of(System.getenv("NODE_CONFIG"));
        if (configFile == null) {
            spec.commandLine().getErr().println("trestleline: NODE_CONFIG is not set and --config not given");
            return 2;
        }
        return serve(configFile);
    }

    private static void train() throws Exception {
        try (var in = Node.class.getResourceAsStream("/training.json")) {
            ClassArchiveTraining.run(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
        System.exit(0);
    }

    /**
     * Serves until the platform asks for the end, which ends the process. Returns 2 if the settings cannot be used and
     * 1 if the gateway cannot serve.
     */
    static int serve(Path file) throws Exception {
        var signals = new SignalRelay(file);
        // installed first, so that no signal is lost however far startup has come
        Signal.handle(new Signal("HUP"), s -> signals.reload());
        Signal.handle(new Signal("TERM"), s -> signals.stop());
        NodeConfig config;
        try {
            config = NodeConfig.load(file);
        } catch (InvalidInputException e) {
            System.err.println("trestleline: " + e.getMessage());
            return 2;
        }
        var node = new PlatformNode(config);
        signals.attach(node);
        try {
            node.start().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException e) {
            if (signals.stopRequested()) Runtime.getRuntime().halt(0);
            boolean invalidSettings = e.getCause() instanceof IllegalArgumentException;
            System.err.println("trestleline: "
                    + (invalidSettings ? file + ": settings: " : "cannot serve on " + config.listenAddress() + ": ")
                    + e.getCause().getMessage());
            node.kill();
            return invalidSettings ? 2 : 1;
        }
        System.out.println("listening " + config.listenAddress());
        System.out.flush();
        while (!signals.stopped(STATE_LOG_INTERVAL_S)) {
            node.summary().onSuccess(s -> LOG.atInfo().addKeyValue("state", s).log("running"));
        }
        Runtime.getRuntime().halt(0); // everything is closed; does not wait for the threads of the event loop
        return 0;
    }
}
