package io.sesamehead.daemon.settings;

import static io.sesamehead.daemon.settings.SettingsReaderTest.report;
import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.ServiceSpec;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

final class ReleaseNoteReaderTest {
    private static final String EXAMPLE = """
            [release]
            note = Forms the assistant service
            [service assistant]
            kind = model
            model = lid-writer
            version = 3
            replicas = 2
            vms-per-replica = 2
            accelerator-memory-gb = 40
            checks-fencing = false
            failure-domains = cebu, bohol, leyte
            load-seconds = 1
            [service orders]
            kind = plain
            addresses = cebu@127.0.0.1:9301
            non-idempotent = true
            asks-by-key = false
            refuses-repeats = false
            [account shop-1]
            share = 3
            [weights]
            loads-per-minute = 60
            [policy]
            downtime-weight = 0.8
            repair = reload-proportional
            spares-per-fabric-domain = 1
            [withdraw]
            services = old-assistant
            """;

    private static ReleaseNote valid(String text) {
        ReadResult<ReleaseNote> result = ReleaseNoteReader.read(text);
        assertThat(result).as(report(result)).isInstanceOf(ReadResult.Valid.class);
        return ((ReadResult.Valid<ReleaseNote>) result).value();
    }

    /** Guards against a reader that refuses or misreads the example of the design page. */
    @Test
    void readsExample() {
        ReleaseNote note = valid(EXAMPLE);

        ServiceSpec.ModelService assistant =
                (ServiceSpec.ModelService) note.services().get(new ServiceName("assistant"));
        assertThat(assistant.failureDomains()).contains(new FailureDomain("leyte"));
        assertThat(assistant.loadMillis()).isEqualTo(1000);
        assertThat(((ServiceSpec.PlainService) note.services().get(new ServiceName("orders"))).nonIdempotent())
                .isTrue();
        assertThat(note.share(new ClientAccount("shop-1"))).isEqualTo(3);
        assertThat(note.policy().downtimeWeight()).isEqualTo(0.8);
        assertThat(note.withdrawn()).containsExactly(new ServiceName("old-assistant"));
    }

    /** Guards against a report that stops at the first problem or drops a service silently. */
    @Test
    void reportsAllProblemsAtOnce() {
        String text = """
                [service assistant]
                kind = modell
                [service Orders]
                kind = plain
                [service desk]
                kind = plain
                addresses = cebu@127.0.0.1, 127.0.0.1:1
                model = lid-writer
                non-idempotent = yes
                [service writer]
                kind = model
                replicas = -1
                vms-per-replica = 9
                failure-domains = cebu, cebu
                [service none]
                [account shop-1]
                shares = 2
                [policy]
                downtime-weight = 1.5
                repair = hope
                [withdraw]
                services = writer
                [polcy]
                """;
        Approvals.verify(report(ReleaseNoteReader.read(text)));
    }

    /** Guards against the removal of a service by an accidental omission. */
    @Test
    void reportsOmittedServices() {
        ReleaseNote accepted = valid(EXAMPLE);
        String without = EXAMPLE.replaceAll("(?s)\\[service orders].*?\\[account", "[account");

        assertThat(ReleaseNoteReader.findOmittedServices(accepted, valid(without)))
                .singleElement()
                .satisfies(problem -> assertThat(problem.toString()).startsWith("[service orders]: missing"));
        assertThat(ReleaseNoteReader.findOmittedServices(
                        accepted, valid(without.replace("old-assistant", "old-assistant, orders"))))
                .isEmpty();
    }
}
