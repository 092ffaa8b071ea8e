package io.sesamehead.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that explanations name the cause of the right request, and do name it if the logs contain it. */
final class ExplainCommandTest {
    private static final String FIRST_DAEMON = """
            call: event=sent at=100 id=aa attempt=1 target=m0-7/7 upstream=i-1 load=4 expected_ms=90
            call: event=sent at=101 id=bb attempt=1 target=m0-8/8 upstream=i-2 load=4 expected_ms=90
            group: event=silent at=700 target=m0-7/7 everywhere=true own_calls=1
            call: event=attempt-lost at=701 id=aa target=m0-7/7 sent=true begun=false reason="target is silent"
            call: event=failed at=702 id=aa end=may-have-run reason="candidates 0" took_ms=602 ran=1
            not a line of a daemon
            call: event=crashed-before at=790 id=dd request=00ff crashes=3
            call: event=refused at=791 id=dd reason=crashed-before config=7 config_age_ms=10
            call: event=refused at=800 id=cc reason=no-configuration config=7 config_age_ms=5200
            """;
    private static final String COLLECTED = """
              12.4 front-b-2 order: event=sent at=9000 fence=2 order="Leave[target=i-1, replica=m0-7/7]"
              12.4 front-b-2 call: event=crash-counted at=9001 id=ee target=m0-9/9 request=00ff crashes=1
              12.4 front-b-2 peer: event=crash-heard at=9002 request=00ff crashes=2 from=front-c-1
              12.5 front-b-2 group: event=leaving at=9003 upstream=i-1 from="its answer"
              12.5 front-b-2 group: event=silent at=9010 target=m0-8/8 everywhere=false own_calls=2
            """;

    @TempDir
    private Path directory;

    private TestRun explain(String... options) throws IOException {
        Path first = Files.writeString(directory.resolve("a.log"), FIRST_DAEMON);
        Path second = Files.writeString(directory.resolve("all.log"), COLLECTED);
        String[] args = new String[options.length + 3];
        args[0] = "explain";
        System.arraycopy(options, 0, args, 1, options.length);
        args[options.length + 1] = first.toString();
        args[options.length + 2] = second.toString();
        return TestRun.of(args);
    }

    @Test
    void printsCauseFirstAndGroupsOtherLinesByTarget() throws IOException {
        TestRun run = explain("aa");

        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out().lines().findFirst().orElseThrow())
                .contains("may have run")
                .contains("m0-7/7")
                .contains("target is silent");
        assertThat(run.out()).contains("front-b-2").contains("Leave").doesNotContain("m0-8");
    }

    /** The explanation must show which crashes, over all attempts, caused the request to be refused. */
    @Test
    void listsCrashesOfAllAttemptsOnRefusal() throws IOException {
        String out = explain("dd").out();

        assertThat(out).contains("broke its upstreams", "crash-counted", "crash-heard", "from=front-c-1");
        assertThat(explain("aa").out()).contains("group: leaving").doesNotContain("crash-heard");
    }

    @Test
    void reportsConfigurationOnRefusal() throws IOException {
        assertThat(explain("cc").out()).contains("configuration 7, 5200 ms old");
    }

    @Test
    void reportsMissingEnd() throws IOException {
        assertThat(explain("bb").out()).contains("no end of this request");
    }

    @Test
    void failsForUnknownRequest() throws IOException {
        TestRun run = explain("zz");

        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
        assertThat(run.err()).contains("zz");
    }

    @Test
    void printsJson() throws IOException {
        assertThat(explain("--json", "aa").out()).startsWith("{\"id\":\"aa\",\"cause\":\"given up");
    }
}
