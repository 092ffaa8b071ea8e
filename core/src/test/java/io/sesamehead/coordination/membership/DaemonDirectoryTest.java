package io.sesamehead.coordination.membership;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.membership.DaemonDirectory.Change;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.VmId;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against dead, replaced or leaving daemons that count as live, and against VMs without probers. */
final class DaemonDirectoryTest {
    private static final FailureDomain LOCAL = new FailureDomain("cebu");
    private static final FailureDomain REMOTE = new FailureDomain("bohol");

    private final DaemonDirectory directory = new DaemonDirectory(entry("d0", 1, LOCAL, false), 3_000, 15_000);

    @Test
    void silentDaemonIsNotLive() {
        directory.recordMessage(1_000, entry("d1", 1, LOCAL, false));
        directory.recordMessage(1_000, entry("d2", 1, REMOTE, false));
        assertThat(directory.liveIds(3_999, LOCAL)).containsExactly(new DaemonId("d0"), new DaemonId("d1"));
        assertThat(directory.liveIds(4_000, LOCAL)).containsExactly(new DaemonId("d0"));
        assertThat(directory.liveIds(4_000, REMOTE)).containsExactly(new DaemonId("d2"));
    }

    @Test
    void ignoresReplacedIncarnation() {
        directory.recordMessage(0, entry("d1", 1, LOCAL, false));
        assertThat(directory.recordMessage(10, entry("d1", 2, LOCAL, false))).isEqualTo(Change.RESTARTED);
        assertThat(directory.recordMessage(20, entry("d1", 1, LOCAL, false))).isEqualTo(Change.REPLACED);
        assertThat(directory.recordMessage(30, entry("d0", 2, LOCAL, false)))
                .as("own name")
                .isEqualTo(Change.REPLACED);
        assertThat(directory.entry(new DaemonId("d1")).orElseThrow().incarnation())
                .isEqualTo(new Incarnation(2));
    }

    @Test
    void lateHeartbeatDoesNotClearLeavingFlag() {
        directory.recordMessage(0, entry("d1", 1, LOCAL, true));
        directory.recordMessage(10, entry("d1", 1, LOCAL, false));
        assertThat(directory.liveIds(10, LOCAL)).containsExactly(new DaemonId("d0"));
    }

    @Test
    void storeEntryProvidesAddressOnly() {
        directory.recordListed(entry("d1", 1, LOCAL, false));
        assertThat(directory.live(0)).hasSize(1);
        assertThat(directory.known()).hasSize(2);
        directory.recordMessage(0, entry("d1", 2, LOCAL, false));
        assertThat(directory.recordListed(entry("d1", 1, LOCAL, false))).isEqualTo(Change.REPLACED);
    }

    @Test
    void lostDaemonMovesOnlyItsOwnProbes() {
        List<DaemonId> all = ids(0, 6);
        List<DaemonId> left = ids(1, 6);
        DaemonId lost = new DaemonId("d0");
        for (VmId vm : vms()) {
            ImmutableList<DaemonId> before = ProbeAssignment.probers(vm, all);
            ImmutableList<DaemonId> after = ProbeAssignment.probers(vm, left);
            assertThat(after).hasSize(2).doesNotContain(lost);
            assertThat(after)
                    .containsAll(before.stream().filter(it -> !it.equals(lost)).toList());
        }
        int probes = all.stream()
                .mapToInt(it -> ProbeAssignment.assignedTo(it, ImmutableSet.copyOf(vms()), all)
                        .size())
                .sum();
        assertThat(probes).isEqualTo(2 * vms().size());
    }

    @Test
    void relaysDoNotDependOnListOrder() {
        List<DaemonId> all = ids(0, 6);
        assertThat(RelayAssignment.relays(LOCAL, all))
                .hasSize(2)
                .isEqualTo(
                        RelayAssignment.relays(LOCAL, ImmutableList.copyOf(all).reverse()));
        assertThat(RelayAssignment.relays(LOCAL, ids(0, 1))).hasSize(1);
    }

    private static List<VmId> vms() {
        return IntStream.range(0, 77).mapToObj(i -> new VmId("vm" + i)).toList();
    }

    private static List<DaemonId> ids(int from, int to) {
        return IntStream.range(from, to).mapToObj(i -> new DaemonId("d" + i)).toList();
    }

    private static DaemonEntry entry(String id, long incarnation, FailureDomain domain, boolean leaving) {
        return new DaemonEntry(new DaemonId(id), new Incarnation(incarnation), domain, id + ":1", leaving);
    }
}
