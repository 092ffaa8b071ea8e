package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.replica.MemberState;
import io.sesamehead.coordination.replica.Membership;
import io.sesamehead.coordination.replica.ReplicaKey;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class DepartedTargetsTest {
    private static final ReplicaKey GROUP = new ReplicaKey("g", 3);
    private static final TargetKey TARGET = TargetKey.of(GROUP);
    private static final UpstreamEntry HEAD = member("a", 1, GROUP);
    private static final UpstreamEntry MEMBER = member("b", 1, GROUP);
    private static final UpstreamEntry PLAIN = entry("p", 1, Optional.empty());
    private static final TargetKey PLAIN_TARGET = TargetKey.of(PLAIN.id(), PLAIN.startedAtEpochMillis());
    private static final TargetEvidence VANISHED = new TargetEvidence.Vanished();
    private static final TargetEvidence WITHDRAWN = new TargetEvidence.Withdrawn();

    private final DepartedTargets departed = new DepartedTargets();

    private static UpstreamEntry member(String id, long startedAt, ReplicaKey group) {
        return entry(id, startedAt, Optional.of(new Membership(group, id.equals("a") ? 0 : 1, MemberState.OPEN)));
    }

    private static UpstreamEntry entry(String id, long startedAt, Optional<Membership> membership) {
        return new UpstreamEntry(
                new InstanceId(id),
                startedAt,
                0,
                new ServiceName("s"),
                new Endpoint("127.0.0.1", 1),
                new FailureDomain("d"),
                1,
                false,
                "f",
                List.of(),
                List.of(),
                membership);
    }

    private void serve() {
        assertThat(departed.update(Set.of(TARGET, PLAIN_TARGET), List.of(HEAD, MEMBER, PLAIN), 0))
                .isEmpty();
    }

    @Test
    void drainedUpstreamIsWithdrawnAndStaysSoWhenItsEntryIsRemoved() {
        serve();

        assertThat(departed.update(Set.of(TARGET), List.of(HEAD, MEMBER, PLAIN.asLeaving()), 10))
                .containsOnly(Map.entry(PLAIN_TARGET, WITHDRAWN));
        assertThat(departed.update(Set.of(TARGET), List.of(HEAD, MEMBER), 20)).isEmpty();
    }

    @Test
    void upstreamThatIsRemovedOrRestartedWithoutAnnouncementHasVanished() {
        serve();
        assertThat(departed.update(Set.of(TARGET), List.of(HEAD, MEMBER), 10)).containsEntry(PLAIN_TARGET, VANISHED);
        serve();
        assertThat(departed.update(Set.of(TARGET), List.of(HEAD, MEMBER, entry("p", 2, Optional.empty())), 10))
                .containsEntry(PLAIN_TARGET, VANISHED);
        assertThat(departed.update(Set.of(PLAIN_TARGET), List.of(HEAD, PLAIN), 20))
                .containsEntry(TARGET, VANISHED);
    }

    @Test
    void groupThatAllMembersLeftIsWithdrawn() {
        serve();
        UpstreamEntry next = member("a", 1, new ReplicaKey("h", 4));
        UpstreamEntry free = entry("b", 1, Optional.empty());

        assertThat(departed.update(Set.of(PLAIN_TARGET), List.of(HEAD, free, PLAIN), 10))
                .isEmpty();
        assertThat(departed.update(Set.of(PLAIN_TARGET), List.of(next, free, PLAIN), 20))
                .containsEntry(TARGET, WITHDRAWN);
        assertThat(departed.update(Set.of(PLAIN_TARGET), List.of(free, PLAIN), 30))
                .isEmpty();
    }

    /** Guards against missing the crash of a head whose group is dissolved before its entry expires. */
    @Test
    void groupWhoseHeadVanishesAfterOthersLeftHasVanished() {
        serve();
        UpstreamEntry free = entry("b", 1, Optional.empty());
        departed.update(Set.of(PLAIN_TARGET), List.of(HEAD, free, PLAIN), 10);

        assertThat(departed.update(Set.of(PLAIN_TARGET), List.of(free, PLAIN), 2_500))
                .containsEntry(TARGET, VANISHED);
    }

    @Test
    void targetThatIsNoLongerConfiguredIsWithdrawnUnlessItVanishesSoon() {
        serve();
        assertThat(departed.update(Set.of(), List.of(HEAD, MEMBER, PLAIN), 10)).isEmpty();
        assertThat(departed.update(Set.of(), List.of(HEAD, MEMBER), 2_000)).containsEntry(PLAIN_TARGET, VANISHED);
        assertThat(departed.update(Set.of(), List.of(HEAD, MEMBER), 6_000)).containsEntry(TARGET, WITHDRAWN);
    }

    @Test
    void targetThatServesAgainHasNotDeparted() {
        serve();
        departed.update(Set.of(PLAIN_TARGET), List.of(HEAD, MEMBER, PLAIN), 10);
        serve();

        assertThat(departed.update(Set.of(PLAIN_TARGET), List.of(HEAD, MEMBER, PLAIN), 20_000))
                .isEmpty();
    }
}
