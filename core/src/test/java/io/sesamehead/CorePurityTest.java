package io.sesamehead;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against I/O, clocks, threads and frameworks in the core module. */
final class CorePurityTest {
    private static final Pattern FORBIDDEN = Pattern.compile(
            "import (static )?(java\\.(io|net|nio|time\\.Clock)|io\\.(netty|dropwizard)|com\\.google\\.inject|jakarta|org\\.(slf4j|tinylog))"
                    + "|System\\.(currentTimeMillis|nanoTime)|Instant\\.now|new Thread|Thread\\.|Math\\.random|new Random\\(\\)");

    @Test
    void coreSourcesUseNoForbiddenApi() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/main/java"))) {
            List<Path> offending = files.filter(path -> path.toString().endsWith(".java"))
                    .filter(CorePurityTest::usesForbiddenApi)
                    .toList();

            assertThat(offending).isEmpty();
        }
    }

    private static boolean usesForbiddenApi(Path path) {
        try {
            return FORBIDDEN.matcher(Files.readString(path)).find();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
