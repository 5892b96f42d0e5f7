package trestleline.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Runs the adapter of the simulator on standard input and output. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description = "Answers the messages of the simulator on standard input and output.")
final class Drill implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        trestleline.simulator.Main.main(new String[] {"drill"});
        return 0;
    }
}
