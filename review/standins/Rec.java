import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Record of a run: one line for each thing that was sent, answered, seen or run, with its Unix time in ms. */
final class Rec implements AutoCloseable {
    private final PrintWriter out;

    Rec(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String format, Object... arguments) {
        out.println(System.currentTimeMillis() + " " + String.format(format, arguments));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
