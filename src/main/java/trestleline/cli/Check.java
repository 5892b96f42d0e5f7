package trestleline.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import trestleline.config.ConfigReader;
import trestleline.config.GatewayConfig;
import trestleline.scenario.Scenario;

/** Checks a settings file of a gateway or a day without running it. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks the settings of a gateway or a day and prints every error with its path.")
final class Check implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "CONFIG", description = "a JSON5 file; one with a field 'gateways' is a day")
    private Path file;

    @Override
    public Integer call() {
        if (ConfigReader.open(file).has("gateways")) Scenario.load(file);
        else GatewayConfig.open(file);
        spec.commandLine().getOut().println(file + ": no errors");
        return 0;
    }
}
