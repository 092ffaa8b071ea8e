package io.sesamehead.daemon.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.IdempotencyRecord;
import io.sesamehead.state.RunState;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.VmId;
import io.sesamehead.state.WriteToken;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against a field that is lost or changed between the core type and the stored object. */
final class StoredObjectsTest {
    private static final WriteToken TOKEN = new WriteToken(new Incarnation(-2), 5);
    private static final DaemonId DAEMON = new DaemonId("cebu-1");
    private static final FailureDomain CEBU = new FailureDomain("cebu");

    private static Group group(String id, String vm) {
        return new Group(
                new GroupId(id),
                new ServiceName("assistant"),
                "lid-writer",
                "3",
                Epoch.of(4, 2),
                GroupState.FORMING,
                ImmutableList.of(
                        new Group.Member(new VmId(vm), Optional.of(new Incarnation(9))),
                        new Group.Member(new VmId(vm + "-b"), Optional.empty())));
    }

    @Test
    void roundTripsAssignment() throws Exception {
        GroupAssignment assignment = new GroupAssignment(
                CEBU, 4, 17, 3, ImmutableList.of(group("assistant-1", "vm-1")), ImmutableSet.of(new VmId("vm-9")));

        assertThat(AssignmentCodec.decode(AssignmentCodec.encode(assignment, TOKEN)))
                .isEqualTo(assignment);
    }

    @Test
    void rejectsAssignmentWithVmInTwoGroups() throws Exception {
        GroupAssignment one =
                new GroupAssignment(CEBU, 4, 17, 3, ImmutableList.of(group("assistant-1", "vm-1")), ImmutableSet.of());
        String text = AssignmentCodec.encode(one, TOKEN).toString();
        String item = text.substring(text.indexOf("{\"id\""), text.indexOf("],\"lost\""));
        String doubled = text.replace(item, item + "," + item.replace("assistant-1", "assistant-2"));

        assertThatThrownBy(() -> AssignmentCodec.decode(Json.parse(doubled)))
                .isInstanceOf(MalformedMessageException.class)
                .hasMessageContaining("vm-1 is in two groups");
    }

    @Test
    void roundTripsLeaseDirectoryAndIdempotencyRecord() throws Exception {
        Lease lease = new Lease(DAEMON, new Incarnation(-7), 3, 10_000, 8);
        assertThat(LeaseCodec.decode(LeaseCodec.encode(lease, TOKEN))).isEqualTo(lease);

        DaemonEntry entry = new DaemonEntry(DAEMON, new Incarnation(1), CEBU, "127.0.0.1:9002", true);
        assertThat(DirectoryCodec.decode(DirectoryCodec.encode(ImmutableList.of(entry), TOKEN)))
                .containsExactly(entry);

        IdempotencyRecord.Result result = new IdempotencyRecord.Result(RunState.RAN, 201, "text/plain", "ünï\u0000", 1_700_000L);
        for (Optional<IdempotencyRecord.Result> recorded :
                ImmutableList.of(Optional.of(result), Optional.<IdempotencyRecord.Result>empty())) {
            IdempotencyRecord order = new IdempotencyRecord(
                    new ServiceName("orders"),
                    new ClientAccount("shop-1"),
                    "k 1",
                    "f",
                    DAEMON,
                    new Incarnation(2),
                    TOKEN,
                    recorded);
            assertThat(IdempotencyRecordCodec.decode(IdempotencyRecordCodec.encode(order))).isEqualTo(order);
        }
    }

    @Test
    void keepsMostRecentWriters() throws Exception {
        ReleaseObject release = ReleaseObject.first("[release]\nnote = a\n", TOKEN);
        for (int write = 6; write < 30; write++) {
            release = release.next(
                    release.note(), ImmutableSet.of(new VmId("vm-1")), new WriteToken(new Incarnation(3), write));
        }

        assertThat(ReleaseCodec.decode(ReleaseCodec.encode(release))).isEqualTo(release);
        assertThat(release.generation().value()).isEqualTo(25);
        assertThat(release.writers()).hasSize(16).startsWith(release.token());
        assertThat(release.release().drained()).containsExactly(new VmId("vm-1"));
    }
}
