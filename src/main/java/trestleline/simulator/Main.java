package trestleline.simulator;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;
import trestleline.settings.InvalidInputException;

/**
 * Command-line entry point of the simulator adapter: {@code java -jar trestleline.jar drill} reads batches of messages
 * from standard input, one JSON object a line, and writes one reply line for each to standard output.
 */
public final class Main {
    private Main() {}

    /**
     * Runs the adapter until the input ends. Exits with status 2 on wrong usage and 1 on malformed input.
     *
     * @param args must be the single word {@code drill}
     * @throws IOException if standard input or output fails
     */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: java -jar trestleline.jar drill   (batches on stdin, replies on stdout)");
            System.exit(2);
        }
        var in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
        var out = new BufferedWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8), 1 << 16);
        var adapter = new SimulatorAdapter();
        try {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (line.isBlank()) continue;
                out.write(adapter.processBatch(line));
                out.write('\n');
                out.flush();
            }
        } catch (InvalidInputException exception) {
            System.err.println("trestleline: " + exception.getMessage());
            System.exit(1);
        }
    }
}
