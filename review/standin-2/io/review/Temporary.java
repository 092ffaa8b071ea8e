package io.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Folders that are removed when the process ends. */
final class Temporary {
    private Temporary() {}

    static Path folder() throws IOException {
        Path folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> remove(folder)));
        return folder;
    }

    private static void remove(Path folder) {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException e) {
            // A daemon may still write its log.
        }
    }
}
