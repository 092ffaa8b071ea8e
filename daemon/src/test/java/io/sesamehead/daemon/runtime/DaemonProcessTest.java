package io.sesamehead.daemon.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.membership.ProbeAssignment;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.VmId;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(90)
class DaemonProcessTest {
    static final String NOTE = """
            [release]
            note = Forms the assistant service
            [service assistant]
            kind = model
            model = lid-writer
            version = 3
            replicas = 1
            vms-per-replica = 2
            accelerator-memory-gb = 40
            checks-fencing = false
            failure-domains = cebu
            load-seconds = 1
            [weights]
            loads-per-minute = 600
            [policy]
            downtime-weight = 0.8
            repair = reload-proportional
            spares-per-fabric-domain = 0
            """;

    /** Guards against a daemon that does not get from an empty store to a group that it would send work to. */
    @Test
    void singleDaemonFormsServingGroup() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            fleet.engine("vm-1", "cebu");
            fleet.engine("vm-2", "cebu");
            fleet.acceptFirstRelease(NOTE);
            DaemonProcess daemon = fleet.daemon("d-1", "cebu");
            TestFleet.await("a serving group", () -> TestFleet.servingGroups(daemon) == 1);
        }
    }

    /** Guards against evidence that only the prober of a VM knows, and against one daemon that probes everything. */
    @Test
    void sharesProbesWithinFailureDomain() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            for (String vm : List.of("vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6")) {
                fleet.engine(vm, "cebu");
            }
            fleet.acceptFirstRelease(NOTE);
            List<DaemonProcess> daemons =
                    List.of(fleet.daemon("d-1", "cebu"), fleet.daemon("d-2", "cebu"), fleet.daemon("d-3", "cebu"));
            for (DaemonProcess daemon : daemons) {
                TestFleet.await("a serving group", () -> TestFleet.servingGroups(daemon) == 1);
                TestFleet.await("three live daemons", () -> live(daemon).size() == 3);
                TestFleet.await(
                        "evidence of all VMs",
                        () -> daemon.tables().evidence().snapshot().size() == 6);
            }
            long split = daemons.stream()
                    .filter(daemon -> ProbeAssignment.assignedTo(
                                            daemon.tables().self().daemon(),
                                            daemon.tables().vms().ids(),
                                            live(daemon))
                                    .size()
                            < 6)
                    .count();
            assertThat(split).isPositive();
            DaemonProcess first = daemons.get(0);
            first.close();
            DaemonProcess other = daemons.get(1);
            TestFleet.await("the death is noticed", () -> live(other).size() == 2);
            TestFleet.await("the group serves on", () -> TestFleet.servingGroups(other) == 1);
        }
    }

    private static List<DaemonId> live(DaemonProcess daemon) {
        return daemon.tables()
                .directory()
                .liveIds(daemon.nowMillis(), daemon.tables().failureDomain());
    }

    /** Guards against a failure domain that keeps an old configuration while only it is cut off from the platform. */
    @Test
    void distributesConfigurationOverPeers() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            fleet.acceptFirstRelease(NOTE);
            DaemonProcess cebu = fleet.daemon("cebu-1", "cebu");
            DaemonProcess bohol = fleet.daemon("bohol-1", "bohol", TestFleet.peerAddress(cebu));
            DaemonProcess leyte = fleet.daemonWithoutStore("leyte-1", "leyte", TestFleet.peerAddress(cebu));
            DaemonProcess inner = fleet.daemonWithoutStore("leyte-2", "leyte", TestFleet.peerAddress(leyte));
            List<DaemonProcess> all = List.of(cebu, bohol, leyte, inner);
            for (DaemonProcess daemon : all) {
                TestFleet.await(
                        "generation 1",
                        () -> daemon.tables().config().generation().value() == 1);
            }
            fleet.acceptNextRelease();
            for (DaemonProcess daemon : all) {
                TestFleet.await(
                        "generation 2",
                        () -> daemon.tables().config().generation().value() == 2);
            }
        }
    }

    /** Guards against a stop that leaves the lease to expire: the successor would wait for the whole ttl. */
    @Test
    void releasesLeaseOnStop() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            fleet.engine("vm-1", "cebu");
            fleet.engine("vm-2", "cebu");
            fleet.acceptFirstRelease(NOTE);
            DaemonProcess first = fleet.daemon("d-1", "cebu");
            TestFleet.await("a serving group", () -> TestFleet.servingGroups(first) == 1);
            DaemonProcess second = fleet.daemon("d-2", "cebu");
            TestFleet.await("evidence over the peer", () -> TestFleet.servingGroups(second) == 1);
            first.requestStop();
            first.awaitStop();
            first.close();
            TestFleet.await(
                    "the successor holds the lease",
                    () -> second.tables().lease().heldLease(second.nowMillis()).isPresent());
            assertThat(TestFleet.servingGroups(second)).isEqualTo(1);
            assertThat(second.tables().evidence().evidence(new VmId("vm-1"))).isPresent();
        }
    }

    /** Guards against calls that end at the borders of a failure domain without groups. */
    @Test
    void forwardsCallToServingFailureDomain() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            fleet.engine("vm-1", "cebu");
            fleet.engine("vm-2", "cebu");
            fleet.acceptFirstRelease(NOTE);
            DaemonProcess cebu = fleet.daemon("cebu-1", "cebu");
            DaemonProcess bohol = fleet.daemon("bohol-1", "bohol");
            TestFleet.await("a serving group", () -> TestFleet.servingGroups(cebu) == 1);
            TestFleet.await(
                    "bohol can serve over cebu", () -> fleet.complete(bohol).contains("event: end"));
            assertThat(fleet.complete(bohol)).contains("\"count\":5").doesNotContain("event: error");
            long events = bohol.metrics()
                    .counter("peer.received.forward-event.messages")
                    .getCount();
            assertThat(events).isGreaterThanOrEqualTo(10);
            assertThat(bohol.metrics().counter("peer.unmatched").getCount()).isZero();
        }
    }
}
