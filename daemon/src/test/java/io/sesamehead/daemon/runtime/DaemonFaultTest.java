package io.sesamehead.daemon.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.Group;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.VmId;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(90)
class DaemonFaultTest {
    /** Guards against a group that stays broken although a spare VM is free. */
    @Test
    void repairsGroupWithSpareVm() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
                fleet.engine(vm, "cebu");
            }
            fleet.acceptFirstRelease(DaemonProcessTest.NOTE);
            DaemonProcess first = fleet.daemon("d-1", "cebu");
            DaemonProcess second = fleet.daemon("d-2", "cebu");
            TestFleet.await("serving at the first", () -> TestFleet.servingGroups(first) == 1);
            TestFleet.await("serving at the second", () -> TestFleet.servingGroups(second) == 1);
            VmId lost = group(first).members().get(1).vm();
            fleet.engines.get(Integer.parseInt(lost.value().substring(3)) - 1).close();
            TestFleet.await("the first stops", () -> TestFleet.servingGroups(first) == 0);
            TestFleet.await("the second stops", () -> TestFleet.servingGroups(second) == 0);
            TestFleet.await("repaired at the first", () -> TestFleet.servingGroups(first) == 1);
            TestFleet.await("repaired at the second", () -> TestFleet.servingGroups(second) == 1);
            assertThat(group(second).contains(lost)).isFalse();
        }
    }

    private static Group group(DaemonProcess daemon) {
        return daemon.tables().assignments().assignment(daemon.tables().failureDomain()).orElseThrow().groups().stream()
                .filter(it -> it.state() == GroupState.SERVING)
                .findFirst()
                .orElseThrow();
    }

    /** Guards against a lost answer that is taken for a refusal or sent again as a new write. */
    @Test
    void formsGroupWhenStoreAnswersAreLost() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            fleet.engine("vm-1", "cebu");
            fleet.engine("vm-2", "cebu");
            fleet.acceptFirstRelease(DaemonProcessTest.NOTE);
            fleet.admin("POST", "/admin/faults", "{\"loseAnswers\":3}");
            DaemonProcess daemon = fleet.daemon("d-1", "cebu");
            TestFleet.await("a serving group", () -> TestFleet.servingGroups(daemon) == 1);
            assertThat(daemon.tables().lease().epoch(daemon.nowMillis())).hasValue(1);
        }
    }

    /** Starts a daemon with generation 2 in force, beside a store that went back to generation 1. */
    private static DaemonProcess daemonWithNewerReleaseThanStore(TestFleet fleet) throws Exception {
        fleet.acceptFirstRelease(DaemonProcessTest.NOTE);
        fleet.admin("POST", "/admin/snapshot", "{}");
        DaemonProcess daemon = fleet.daemon("d-1", "cebu");
        fleet.acceptNextRelease();
        TestFleet.await(
                "generation 2", () -> daemon.tables().config().generation().value() == 2);
        fleet.admin("POST", "/admin/restore", "{\"snapshot\":0}");
        return daemon;
    }

    /** Guards against a configuration that reverts when the store is restored from an old copy. */
    @Test
    void keepsConfigurationWhenStoreIsRestored() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            DaemonProcess daemon = daemonWithNewerReleaseThanStore(fleet);
            DaemonProcess late = fleet.daemon("d-2", "cebu", TestFleet.peerAddress(daemon));
            TestFleet.await(
                    "generation 2 over the peer",
                    () -> late.tables().config().generation().value() == 2);
            assertThat(daemon.tables().config().generation().value()).isEqualTo(2);
        }
    }

    /** Guards against notes that are accepted after a restore but get a generation which the daemons refuse. */
    @Test
    void writesReleaseBackToRestoredStore() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            DaemonProcess daemon = daemonWithNewerReleaseThanStore(fleet);
            TestFleet.await("generation 2 in the store", () -> fleet.storedGeneration() == 2);
            fleet.acceptNextRelease();
            TestFleet.await(
                    "generation 3", () -> daemon.tables().config().generation().value() == 3);
        }
    }

    /** Guards against serving that depends on the store, and against evidence that needs it. */
    @Test
    void servesWhileStoreIsDown() throws Exception {
        try (TestFleet fleet = new TestFleet()) {
            fleet.engine("vm-1", "cebu");
            fleet.engine("vm-2", "cebu");
            fleet.acceptFirstRelease(DaemonProcessTest.NOTE);
            DaemonProcess daemon = fleet.daemon("d-1", "cebu");
            TestFleet.await("a serving group", () -> TestFleet.servingGroups(daemon) == 1);
            fleet.admin("POST", "/admin/faults", "{\"down\":true}");
            TestFleet.await(
                    "the lease ends",
                    () -> daemon.tables().lease().heldLease(daemon.nowMillis()).isEmpty());
            assertThat(fleet.complete(daemon)).contains("event: end");
            fleet.admin("POST", "/admin/faults", "{\"down\":false}");
            TestFleet.await(
                    "the lease is back",
                    () -> daemon.tables().lease().heldLease(daemon.nowMillis()).isPresent());
            assertThat(TestFleet.servingGroups(daemon)).isEqualTo(1);
        }
    }
}
