package io.sesamehead.coordination.group;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.group.ServeDecision.Reason;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.VmId;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against sending work to a group with a member that is missing, restarted or in another group. */
final class ServeGateTest {
    private static final long NOW = 10_000;
    private static final long MAX_AGE = 3_000;
    private static final VmId FIRST = new VmId("vm1");
    private static final VmId SECOND = new VmId("vm2");
    private static final Epoch EPOCH = Epoch.of(1, 4);

    @Test
    void servesWhenAllMembersMatch() {
        assertThat(decide(GroupState.SERVING, reported("a-1", EPOCH, 2, EngineState.READY, 7_000)))
                .isEqualTo(new ServeDecision.Serve());
    }

    @Test
    void refusesEachMismatch() {
        assertRefused(Reason.STALE_EVIDENCE, reported("a-1", EPOCH, 2, EngineState.READY, 6_999));
        assertRefused(Reason.OTHER_GROUP, reported("a-2", EPOCH, 2, EngineState.READY, NOW));
        assertRefused(Reason.OTHER_EPOCH, reported("a-1", Epoch.of(1, 3), 2, EngineState.READY, NOW));
        assertRefused(Reason.OTHER_INCARNATION, reported("a-1", EPOCH, 9, EngineState.READY, NOW));
        assertRefused(Reason.NOT_READY, reported("a-1", EPOCH, 2, EngineState.LOADING, NOW));
        assertRefused(Reason.LEAVING, reported("a-1", EPOCH, 2, EngineState.LEAVING, NOW));
        assertRefused(Reason.UNREACHABLE, Optional.of(new Evidence.Unreachable(SECOND, NOW)));
        assertRefused(Reason.NO_EVIDENCE, Optional.empty());
        assertThat(decide(GroupState.RELEASING, reported("a-1", EPOCH, 2, EngineState.READY, NOW)))
                .isEqualTo(new ServeDecision.Refuse(Reason.NOT_SERVING, Optional.empty()));
    }

    private static void assertRefused(Reason reason, Optional<Evidence> secondEvidence) {
        assertThat(decide(GroupState.SERVING, secondEvidence))
                .isEqualTo(new ServeDecision.Refuse(reason, Optional.of(SECOND)));
    }

    private static ServeDecision decide(GroupState state, Optional<Evidence> secondEvidence) {
        ImmutableList<Group.Member> members = ImmutableList.of(
                new Group.Member(FIRST, Optional.of(new Incarnation(1))),
                new Group.Member(SECOND, Optional.of(new Incarnation(2))));
        Group group = new Group(new GroupId("a-1"), new ServiceName("a"), "m", "1", EPOCH, state, members);
        Optional<Evidence> firstEvidence =
                Optional.of(new Evidence.Reported(report(FIRST, "a-1", EPOCH, 1, EngineState.READY), NOW));
        return ServeGate.decide(NOW, group, vm -> vm.equals(FIRST) ? firstEvidence : secondEvidence, MAX_AGE);
    }

    private static Optional<Evidence> reported(
            String group, Epoch epoch, long engine, EngineState state, long observedAtMillis) {
        return Optional.of(new Evidence.Reported(report(SECOND, group, epoch, engine, state), observedAtMillis));
    }

    private static MemberReport report(VmId vm, String group, Epoch epoch, long engine, EngineState state) {
        return new MemberReport(
                vm, new Incarnation(engine), Optional.of(new GroupId(group)), epoch, state, Optional.empty(), 0, 0, 0);
    }
}
