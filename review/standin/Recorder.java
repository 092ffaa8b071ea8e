import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes the record of a run: a time in milliseconds since its start and a text a line. */
final class Recorder {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void write(String text) {
        out.println(String.format(Locale.ROOT, "%9.1f ", (System.nanoTime() - startNanos) / 1e6) + text);
    }

    double at(long nanos) {
        return (nanos - startNanos) / 1e6;
    }
}
