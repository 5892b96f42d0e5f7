package trestleline.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import trestleline.measure.Measurement;

@Command(name = "measure", mixinStandardHelpOptions = true,
    description = "Measures the gateway against a bare pass-through, and the module's cost at four sizes of fleet.")
final class Measure implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Option(names = "--seconds", defaultValue = "5", description = "of each round (${DEFAULT-VALUE})")
    private double seconds;

    @Override
    public Integer call() throws Exception {
        var out = spec.commandLine().getOut();
        var m = new Measurement(line -> {
            out.println(line);
            out.flush();
        });
        m.path(seconds);
        m.module(6 * seconds);
        return 0;
    }
}
