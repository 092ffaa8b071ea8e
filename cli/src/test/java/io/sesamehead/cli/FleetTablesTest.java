package io.sesamehead.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.daemon.protocol.AssignmentCodec;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.ReleaseCodec;
import io.sesamehead.daemon.protocol.ReleaseObject;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.standin.platform.PlatformSettings;
import io.sesamehead.standin.platform.PlatformStandIn;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.VmId;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the tables of desired and actual state. */
class FleetTablesTest {
    private static final String NOTE = "[release]\nnote = test\n[service assistant]\nkind = model\n"
            + "model = lid-writer\nversion = 4\nreplicas = 2\nvms-per-replica = 2\naccelerator-memory-gb = 40\n"
            + "checks-fencing = false\nfailure-domains = cebu, bohol\nload-seconds = 1\n";
    private static final String STATUS = "{\"daemon\":\"cebu-1\",\"incarnation\":\"0a\",\"failureDomain\":\"cebu\","
            + "\"generation\":1,\"groups\":[{\"id\":\"assistant-1\",\"failureDomain\":\"cebu\",\"serving\":true},"
            + "{\"id\":\"assistant-1\",\"failureDomain\":\"bohol\"}],"
            + "\"burn\":[{\"service\":\"assistant\",\"account\":\"shop-1\",\"whole\":990,\"errors\":{\"no-group\":10},"
            + "\"lateFirstTokens\":1,\"lateTokens\":0,\"firstTokenP95Millis\":41.0,\"betweenTokensP95Millis\":12.5}]}";
    private static final String METRICS =
            "{\"histograms\":{\"calls.assistant.shop-1.first-token-millis\":{\"count\":100}}}";

    private PlatformStandIn platform;
    private String address;

    @BeforeEach
    void startPlatform() throws IOException {
        platform = new PlatformStandIn(PlatformSettings.at("127.0.0.1", 0));
        platform.start();
        address = "127.0.0.1:" + platform.address().getPort();
        DaemonSettings.Platform settings = new DaemonSettings.Platform(platform.address(), Duration.ofSeconds(2), 100);
        try (PlatformClient client = new PlatformClient(settings, PlatformOptions::nowMillis)) {
            ReleaseObject first = ReleaseObject.first(NOTE, ReleaseUpdater.newToken());
            ReleaseObject drained = first.next(NOTE, ImmutableSet.of(new VmId("vm-9")), ReleaseUpdater.newToken());
            client.create(ObjectKinds.RELEASES, ObjectKinds.CURRENT_RELEASE, ReleaseCodec.encode(drained));
            client.create(
                    ObjectKinds.GROUP_ASSIGNMENTS,
                    "cebu",
                    AssignmentCodec.encode(assignment(), ReleaseUpdater.newToken()));
        }
    }

    @AfterEach
    void stopPlatform() {
        platform.close();
    }

    @Test
    void statusShowsAskedBesideActualAndEachDaemon() {
        TestRun run = TestRun.of(
                Main.commands(FleetTablesTest::read),
                "status",
                "--platform",
                address,
                "--admin",
                "127.0.0.1:1,127.0.0.1:2");
        Approvals.verify(run);
    }

    @Test
    void groupsListsMembersInRankOrder() {
        Approvals.verify(TestRun.of("groups", "--platform", address));
    }

    @Test
    void reportShowsBurnAndGroups() {
        TestRun run = TestRun.of(
                Main.commands(FleetTablesTest::read),
                "report",
                "--platform",
                address,
                "--admin",
                "127.0.0.1:1,127.0.0.1:2");
        Approvals.verify(run);
    }

    /** JSON output is read by programs and must not contain text tables. */
    @Test
    void printsValidJson() throws IOException {
        String[] admin = {"--platform", address, "--admin", "127.0.0.1:1", "--json"};
        for (String command : new String[] {"status", "report"}) {
            String[] args = new String[admin.length + 1];
            args[0] = command;
            System.arraycopy(admin, 0, args, 1, admin.length);
            String out = TestRun.of(Main.commands(FleetTablesTest::read), args).out();
            assertThat(new ObjectMapper().readTree(out).isObject()).as(command).isTrue();
        }
    }

    /** An unreachable fleet must not be reported like a healthy fleet without calls. */
    @Test
    void failsReportIfNoDaemonResponds() {
        TestRun run = TestRun.of("report", "--admin", "127.0.0.1:1");
        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
        assertThat(run.err()).isEqualTo("sesamehead: none of the daemons answers on its admin port\n");
    }

    private static JsonNode read(String url) throws IOException {
        if (!url.startsWith("http://127.0.0.1:1/")) {
            throw new IOException("connection refused");
        }
        return new ObjectMapper().readTree(url.endsWith("/metrics") ? METRICS : STATUS);
    }

    private static GroupAssignment assignment() {
        return new GroupAssignment(
                new FailureDomain("cebu"),
                3,
                7,
                4,
                ImmutableList.of(
                        group(1, "4", GroupState.SERVING),
                        group(2, "3", GroupState.SERVING),
                        group(3, "4", GroupState.BROKEN)),
                ImmutableSet.of());
    }

    private static Group group(int number, String version, GroupState state) {
        return new Group(
                new GroupId("assistant-" + number),
                new ServiceName("assistant"),
                "lid-writer",
                version,
                new Epoch(3L << 20 | number),
                state,
                ImmutableList.of(
                        new Group.Member(new VmId("vm-" + (2 * number)), Optional.empty()),
                        new Group.Member(new VmId("vm-" + (2 * number - 1)), Optional.empty())));
    }
}
