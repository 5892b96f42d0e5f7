package trestleline.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import trestleline.scenario.Report;
import trestleline.scenario.Scenario;
import trestleline.scenario.ScenarioRunner;

/** Plays a day through real gateways and checks the six rules. */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description =
                "Plays a day through real gateways on loopback and checks the six rules against the traffic observed. Exit code 1 "
                        + "if a rule was broken.")
final class Rehearse implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "DAY", description = "a day, JSON5")
    private Path file;

    @Option(names = "--json", paramLabel = "FILE", description = "also writes the result as JSON")
    private Path json;

    @Option(names = "--processes", description = "runs each gateway in its own process")
    private boolean processes;

    @Override
    public Integer call() throws Exception {
        Scenario day = Scenario.load(file);
        var out = spec.commandLine().getOut();
        Report report = new ScenarioRunner(day, processes, line -> {
                    out.println(line);
                    out.flush();
                })
                .run();
        out.print(report.text());
        out.flush();
        if (json != null) Files.writeString(json, report.json() + "\n");
        return report.hasViolations() ? 1 : 0;
    }
}
