package io.sesamehead.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.standin.platform.PlatformSettings;
import io.sesamehead.standin.platform.PlatformStandIn;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests operators' changes with lost answers, concurrent operators and accidental omissions. */
class ApplyCommandTest {
    private static final String RELEASE_SECTION = "[release]\nnote = test\n";
    private static final String ORDERS_SECTION = "[service orders]\nkind = plain\naddresses = cebu@127.0.0.1:9301\n"
            + "non-idempotent = true\nasks-by-key = false\nrefuses-repeats = false\n";
    private static final String ASSISTANT_SECTION =
            "[service assistant]\nkind = model\nmodel = lid-writer\nversion = 3\n"
                    + "replicas = 2\nvms-per-replica = 2\naccelerator-memory-gb = 40\nchecks-fencing = false\n"
                    + "failure-domains = cebu, bohol\nload-seconds = 1\n";

    @TempDir
    Path directory;

    private PlatformStandIn platform;
    private String address;

    @BeforeEach
    void startPlatform() throws IOException {
        platform = new PlatformStandIn(PlatformSettings.at("127.0.0.1", 0));
        platform.start();
        address = "127.0.0.1:" + platform.address().getPort();
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    @Test
    void dryRunShowsTheChangesAndWritesNothing() throws IOException {
        apply(RELEASE_SECTION + ORDERS_SECTION + ASSISTANT_SECTION + "[account shop-1]\nshare = 3\n");
        String next = RELEASE_SECTION
                + ASSISTANT_SECTION.replace("version = 3", "version = 4").replace("replicas = 2", "replicas = 1")
                + ORDERS_SECTION.replace("orders", "press")
                + "[account shop-2]\nshare = 2\n[policy]\ndowntime-weight = 0.8\n[withdraw]\nservices = orders\n";
        TestRun dryRun = apply(next, "--dry-run");
        assertThat(apply(next, "--dry-run", "--json").out()).contains("\"baseGeneration\" : 1");
        Approvals.verify(dryRun);
    }

    /** A service missing from the note by mistake must not be removed. */
    @Test
    void rejectsOmittedService() throws IOException {
        apply(RELEASE_SECTION + ORDERS_SECTION + ASSISTANT_SECTION);
        TestRun run = apply(RELEASE_SECTION + ORDERS_SECTION);
        assertThat(run.code()).isEqualTo(ExitCode.WRONG_USAGE);
        assertThat(run.err()).contains("[service assistant]").contains("[withdraw]");
    }

    /** The write is applied but its answer is lost: the command must find its own write and not repeat it. */
    @Test
    void resolvesLostAnswerByReadingBack() throws Exception {
        apply(RELEASE_SECTION + ORDERS_SECTION);
        injectFaults("{\"loseAnswers\":1}");
        TestRun run = apply(RELEASE_SECTION + ORDERS_SECTION + ASSISTANT_SECTION);
        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out()).contains("accepted as generation 2\n");
        assertThat(apply(RELEASE_SECTION + ORDERS_SECTION + ASSISTANT_SECTION, "--dry-run")
                        .out())
                .contains("generation 2 stays in force");
    }

    /** The answer to the first apply, which creates the object, may be lost as well. */
    @Test
    void resolvesLostAnswerToFirstApply() throws Exception {
        injectFaults("{\"loseAnswers\":1}");
        assertThat(apply(RELEASE_SECTION + ORDERS_SECTION).out()).contains("accepted as generation 1\n");
    }

    @Test
    void reportsBothGenerationsOnConflict() throws IOException {
        apply(RELEASE_SECTION + ORDERS_SECTION);
        apply(RELEASE_SECTION + ORDERS_SECTION + ASSISTANT_SECTION);
        TestRun run = apply(RELEASE_SECTION + ORDERS_SECTION + ASSISTANT_SECTION, "--if-generation", "1");
        assertThat(run.code()).isEqualTo(ExitCode.CONFLICT);
        assertThat(run.err())
                .isEqualTo("sesamehead: conflict: this change was made on generation 1, but generation 2 is in force;"
                        + " look at `sesamehead apply --dry-run` and apply again\n");
    }

    @Test
    void failsWithoutChangeDuringOutage() throws Exception {
        injectFaults("{\"down\":true}");
        TestRun run = apply(RELEASE_SECTION + ORDERS_SECTION);
        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
        assertThat(run.err()).startsWith("sesamehead: the platform does not answer");
    }

    @Test
    void waitEndsWithAFailureThatNamesWhatIsMissing() throws IOException {
        TestRun run = apply(
                RELEASE_SECTION + ORDERS_SECTION + ASSISTANT_SECTION,
                "--wait",
                "--timeout",
                "0",
                "--admin",
                "127.0.0.1:1,127.0.0.1:2");
        Approvals.verify(run);
    }

    @Test
    void drainsReversiblyAndRejectsUnknownVms() throws Exception {
        assertThat(drain("vm-1").code()).isEqualTo(ExitCode.FAILED);
        apply(RELEASE_SECTION + ORDERS_SECTION);
        assertThat(drain("vm-1").code()).isEqualTo(ExitCode.WRONG_USAGE);
        send(
                "PUT",
                "/admin/nodes/vm-1",
                "{\"failureDomain\":\"cebu\",\"fabricDomain\":\"f1\",\"engineAddress\":\"127.0.0.1:1\"}");
        assertThat(drain("vm-1").out()).isEqualTo("VM vm-1 is drained in generation 2: accepted\n");
        assertThat(drain("vm-1").out())
                .isEqualTo("VM vm-1 is drained in generation 2: was so before; nothing was written\n");
        assertThat(drain("vm-1", "--undo").out()).isEqualTo("VM vm-1 is in service in generation 3: accepted\n");
    }

    private TestRun apply(String note, String... options) throws IOException {
        Path file = directory.resolve("note.ini");
        Files.writeString(file, note);
        return run("apply", file.toString(), options);
    }

    private TestRun drain(String vm, String... options) {
        return run("drain", vm, options);
    }

    private TestRun run(String command, String argument, String... options) {
        String[] args = new String[options.length + 4];
        args[0] = command;
        args[1] = argument;
        args[2] = "--platform";
        args[3] = address;
        System.arraycopy(options, 0, args, 4, options.length);
        return TestRun.of(args);
    }

    private void injectFaults(String body) throws Exception {
        send("POST", "/admin/faults", body);
    }

    private void send(String method, String path, String body) throws Exception {
        try (HttpClient http = HttpClient.newHttpClient()) {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                    .method(method, HttpRequest.BodyPublishers.ofString(body))
                    .build();
            assertThat(http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode())
                    .isEqualTo(200);
        }
    }
}
