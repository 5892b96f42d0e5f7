package trestleline.cli;

import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import trestleline.benchmark.HeapStress;
import trestleline.benchmark.Measurement;

/** Runs the benchmarks. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description =
                "Measures the gateway against a plain proxy, and the cost of the decision module at four fleet sizes.")
final class Measure implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(names = "--seconds", defaultValue = "5", description = "length of each round (${DEFAULT-VALUE})")
    private double seconds;

    @Option(
            names = "--only",
            defaultValue = "all",
            description = "what to measure: path, module, ledger, heap or all (${DEFAULT-VALUE})")
    private String only;

    @Option(
            names = "--entries",
            defaultValue = "1000000",
            description = "entries of the ledger to recover and export (${DEFAULT-VALUE})")
    private int entries;

    @Option(
            names = "--heaps",
            split = ",",
            defaultValue = "64,96,256",
            description = "heap sizes to try, in MB (${DEFAULT-VALUE})")
    private int[] heaps;

    @Override
    public Integer call() throws Exception {
        var out = spec.commandLine().getOut();
        var measurement = new Measurement(line -> {
            out.println(line);
            out.flush();
        });
        if (!List.of("all", "path", "module", "ledger", "heap").contains(only)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--only: expected path, module, ledger, heap or all");
        }
        boolean all = only.equals("all");
        if (all || only.equals("path")) measurement.measureRequestPath(seconds);
        if (all || only.equals("module")) measurement.measurePlacement(6 * seconds);
        if (all || only.equals("ledger")) measurement.measureLedger(seconds, entries);
        if (all || only.equals("heap")) {
            for (int mb : heaps) {
                out.println(new HeapStress(HeapStress.Workload.FULL).run(mb).summary());
                out.flush();
            }
        }
        return 0;
    }
}
