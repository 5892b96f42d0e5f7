package trestleline.daemon;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import trestleline.http.HttpFront.HandedOver;

/**
 * The file through which a gateway that shuts down gracefully passes its playing sessions to the next process. It is
 * read once and then moved away.
 */
final class HandoverFile {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverFile.class);
    private static final ObjectMapper JSON = new ObjectMapper();

    private HandoverFile() {}

    /**
     * Writes the sessions by way of a temporary file, so that the file is never incomplete. Returns null if there is no
     * file or no session.
     */
    static Path write(Path file, List<HandedOver> sessions) throws IOException {
        if (file == null || sessions.isEmpty()) return null;
        if (file.toAbsolutePath().getParent() != null)
            Files.createDirectories(file.toAbsolutePath().getParent());
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        JSON.writeValue(temporary.toFile(), sessions);
        return Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /**
     * Reads the sessions. The file is moved away first, so that a process that crashes on it does not read it again.
     */
    static List<HandedOver> takeOver(Path file) {
        if (file == null || !Files.exists(file)) return List.of();
        try {
            Path taken = file.resolveSibling(file.getFileName() + ".taken");
            Files.move(file, taken, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            return JSON.readValue(taken.toFile(), new TypeReference<List<HandedOver>>() {});
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("file", file)
                    .addKeyValue("cause", e.getMessage())
                    .log("handover file could not be read; no sessions are resumed");
            return List.of();
        }
    }
}
