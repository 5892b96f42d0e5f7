package trestleline.cli;

import java.io.IOException;
import java.util.Arrays;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import trestleline.config.ConfigException;

/** The command line. Exit codes: 0 success, 1 failure or a broken rule, 2 wrong usage or settings. */
@Command(
        name = "trestleline",
        mixinStandardHelpOptions = true,
        version = "trestleline 0.2.0",
        description = "A session gateway: places video sessions on media hosts and adapts their rates there.",
        subcommands = {
            Serve.class,
            Node.class,
            Standin.class,
            Rehearse.class,
            Check.class,
            Measure.class,
            LedgerCommand.class,
            Drill.class
        })
public final class Main implements Runnable {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is required");
    }

    /**
     * Runs one sub-command. The adapter of the simulator is started without the command line parser, as its startup
     * time is measured.
     */
    public static void main(String[] args) throws IOException {
        if (args.length > 0 && args[0].equals("drill") && !Arrays.asList(args).contains("--help")) {
            trestleline.simulator.Main.main(args);
            return;
        }
        if (args.length == 1 && args[0].equals("node") && System.getenv("NODE_CONFIG") != null) {
            // how the platform starts it, with little memory: the command line parser is not loaded
            int code = startNode();
            if (code != 0) System.exit(code);
            return;
        }
        int code = run(args);
        if (code != 0) System.exit(code);
    }

    private static int startNode() {
        try {
            return Node.serve(java.nio.file.Path.of(System.getenv("NODE_CONFIG")));
        } catch (Exception e) {
            System.err.println("trestleline: " + e);
            return 1;
        }
    }

    private static int run(String... args) {
        return execute(newCommandLine(), args);
    }

    /** Runs the command line. An unknown sub-command is a usage error, even if it is followed by {@code --help}. */
    static int execute(CommandLine line, String... args) {
        if (args.length > 0
                && !args[0].startsWith("-")
                && !line.getSubcommands().containsKey(args[0])) {
            line.getErr()
                    .println("trestleline: no sub-command '" + args[0] + "'; expected one of "
                            + String.join(", ", line.getSubcommands().keySet()));
            return 2;
        }
        return line.execute(args);
    }

    /** Creates the command line with its error handling. */
    static CommandLine newCommandLine() {
        var line = new CommandLine(new Main());
        line.setExecutionExceptionHandler((e, commandLine, result) -> {
            if (e instanceof ConfigException c) {
                commandLine.getErr().println("trestleline: " + c.getMessage());
                c.errors().forEach(m -> commandLine.getErr().println("  " + m));
                return 2;
            }
            commandLine.getErr().println("trestleline: " + e);
            return 1;
        });
        return line;
    }
}
