package io.sesamehead.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against an assignment with a VM in two groups. */
final class GroupAssignmentTest {
    private static final FailureDomain DOMAIN = new FailureDomain("cebu");

    @Test
    void rejectsVmInTwoGroups() {
        ImmutableList<Group> groups = ImmutableList.of(group("a-1", "vm1", "vm2"), group("a-2", "vm2", "vm3"));

        assertThatThrownBy(() -> new GroupAssignment(DOMAIN, 1, 1, 3, groups, ImmutableSet.of()))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageContaining("vm2");
    }

    @Test
    void epochOfLaterControllerIsHigher() {
        assertThat(Epoch.of(2, 0)).isGreaterThan(Epoch.of(1, (1 << 20) - 1));
    }

    private static Group group(String id, String... vms) {
        ImmutableList<Group.Member> members = ImmutableList.copyOf(vms).stream()
                .map(vm -> new Group.Member(new VmId(vm), Optional.empty()))
                .collect(ImmutableList.toImmutableList());
        return new Group(new GroupId(id), new ServiceName("a"), "m", "1", Epoch.of(1, 1), GroupState.SERVING, members);
    }
}
