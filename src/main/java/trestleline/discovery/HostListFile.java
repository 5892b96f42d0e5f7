package trestleline.discovery;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.zip.CRC32;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * File that keeps the last host list for the next start: a line with the list and a line with its CRC-32. Each write
 * goes to a temporary file that replaces the old one atomically, on a worker thread. While a write runs, only the
 * newest list is queued.
 */
final class HostListFile {
    private static final Logger LOG = LoggerFactory.getLogger(HostListFile.class);
    private final Path file;
    private String queued;
    private boolean writing;

    HostListFile(Path file) {
        this.file = file;
    }

    /** Reads the saved list; null if the file is missing, unreadable or damaged. Blocks. */
    ListedHost.Line read() {
        if (file == null || !Files.exists(file)) return null;
        try {
            String[] lines = Files.readString(file).split("\n");
            if (lines.length != 2 || !lines[1].equals(checksum(lines[0]))) throw new IOException("checksum mismatch");
            return ListedHost.parse(lines[0]);
        } catch (IOException | IllegalArgumentException e) {
            LOG.atWarn()
                    .addKeyValue("file", file)
                    .addKeyValue("cause", e.getMessage())
                    .log("saved host list ignored");
            return null;
        }
    }

    /** Saves a list, given as one line, asynchronously; call on the event loop. */
    void write(Vertx vertx, String list) {
        if (file == null) return;
        queued = list;
        if (!writing) writeQueued(vertx);
    }

    private void writeQueued(Vertx vertx) {
        String list = queued;
        queued = null;
        writing = list != null;
        if (!writing) return;
        vertx.executeBlocking(() -> {
                    Path temporary = file.resolveSibling(file.getFileName() + ".new");
                    if (file.toAbsolutePath().getParent() != null)
                        Files.createDirectories(file.toAbsolutePath().getParent());
                    Files.writeString(temporary, list + "\n" + checksum(list) + "\n");
                    return Files.move(
                            temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                })
                .onComplete(result -> {
                    if (result.failed()) {
                        LOG.atWarn()
                                .addKeyValue("file", file)
                                .addKeyValue("cause", String.valueOf(result.cause()))
                                .log("cannot save the host list");
                    }
                    writeQueued(vertx);
                });
    }

    private static String checksum(String text) {
        var crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }
}
