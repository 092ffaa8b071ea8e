package io.sesamehead.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Joiner;
import java.time.Duration;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

final class SettingsReaderTest {
    private static final String VALID = """
            [daemon]
            name = cebu-1
            failure-domain = cebu
            region = visayas
            caller-address = 127.0.0.1:9001
            peer-address = [::1]:9002
            admin-address = 127.0.0.1:9003
            [platform]
            address = 127.0.0.1:9100
            timeout = 500ms
            calls-per-second = 20
            [lease]
            ttl = 10s
            drift = 500 ms
            longest-order = 2s
            [limits]
            concurrent-calls = 100
            queue-length = 200
            """;

    /** Guards against defaults that differ from the design document. */
    @Test
    void fillsDefaults() {
        ReadResult<DaemonSettings> result = SettingsReader.read(VALID);

        assertThat(result).isInstanceOf(ReadResult.Valid.class);
        DaemonSettings settings = ((ReadResult.Valid<DaemonSettings>) result).value();
        assertThat(settings.peers().heartbeat()).isEqualTo(Duration.ofSeconds(1));
        assertThat(settings.peers().suspectAfter()).isEqualTo(Duration.ofSeconds(3));
        assertThat(settings.evidence().maxAge()).isEqualTo(Duration.ofSeconds(3));
        assertThat(settings.limits().bodyBytes()).isEqualTo(1024 * 1024);
        assertThat(settings.lease().drift()).isEqualTo(Duration.ofMillis(500));
        assertThat(settings.daemon().peerAddress().getPort()).isEqualTo(9002);
    }

    /** Guards against a report that stops at the first problem or omits what was expected. */
    @Test
    void reportsAllProblemsAtOnce() {
        String text = """
                [daemon]
                name = Cebu 1
                failure-domain = cebu
                caller-address = localhost:9001
                peer-address = 127.0.0.1:99999
                admin-adress = 127.0.0.1:9003
                name = cebu-2
                [platfrom]
                address = 127.0.0.1:9100
                [platform]
                timeout = 5
                calls-per-second = many
                [lease]
                ttl = 3s
                drift = 1s
                longest-order = 2s
                [peers]
                seeds = 127.0.0.1:9002, nowhere
                heartbeat = 1 minute
                [evidence]
                max-age = 4s
                [limits]
                concurrent-calls = 0
                queue-length = 1
                body-bytes = 2000000
                [log]
                level = loud
                [colours]
                """;
        Approvals.verify(report(SettingsReader.read(text)));
    }

    /** Guards against accepting values that are valid individually but not in combination. */
    @Test
    void reportsImpossibleCombinations() {
        String text = VALID.replace("timeout = 500ms", "timeout = 10s").replace(":9003", ":9001")
                + "[peers]\nheartbeat = 3s\n";
        Approvals.verify(report(SettingsReader.read(text)));
    }

    /** Guards against an exception instead of a report when the text is not an INI file. */
    @Test
    void reportsTextThatIsNotIni() {
        assertThat(report(SettingsReader.read("name = cebu"))).contains("not a valid INI file");
        assertThat(report(SettingsReader.read(""))).contains("[daemon] name: missing; expected a name");
    }

    static String report(ReadResult<?> result) {
        return switch (result) {
            case ReadResult.Valid<?> valid -> "valid: " + valid.value();
            case ReadResult.Invalid<?>(var problems) -> Joiner.on('\n').join(problems) + "\n";
        };
    }
}
