package io.sesamehead.coordination.replica;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against using the members of a group whose head has left and returned between two readings of its entry: it
 * detects the loss of a member only from its return on.
 */
final class DissolvingReplicaTest {
    private static final long STALL_MILLIS = 4_000;
    private static final long DETECTION_MILLIS = STALL_MILLIS + DissolvingReplica.DETECTION_MARGIN_MILLIS;

    private final FakeEngines engines = new FakeEngines();
    private final Map<InstanceId, UpstreamEntry> entries = new HashMap<>();
    private DissolvingReplica group;
    private UpstreamEntry head;
    private UpstreamEntry departed;
    private ReplicaAction.Leave leave;

    @BeforeEach
    void dissolve() {
        engines.addDomains(1, FakeEngines.SMALL.groupSize());
        engines.run(new FleetPlanner(1, STALL_MILLIS), 15_000);
        Replica replica = engines.serving(FakeEngines.SMALL).get(0);
        replica.members().forEach(member -> entries.put(member.id(), member));
        head = replica.head().orElseThrow();
        departed = replica.members().get(1);
        group = new DissolvingReplica(replica, STALL_MILLIS);
        group.orderLeaves(replica.members(), 0, new ArrayList<>());
        leave = new ReplicaAction.Leave(head.id(), replica.key());
        entries.put(departed.id(), engines.withoutGroup(departed.id()));
        observe(0);
    }

    private void observe(long nowMillis) {
        List<UpstreamEntry> members = entries.values().stream()
                .filter(entry -> entry.membership().isPresent())
                .toList();
        group.observe(members, entries, nowMillis);
    }

    private void listHeadAgain(long nowMillis) {
        Optional<Membership> membership = head.membership();
        head = FakeEngines.inGroup(head, membership);
        entries.put(head.id(), head);
        observe(nowMillis);
    }

    @Test
    void headThatReturnedDetectsTheLossFromThenOn() {
        group.onResult(leave, OrderResult.ACCEPTED, 100);
        listHeadAgain(3_000);

        assertThat(group.headStopped(DETECTION_MILLIS)).isFalse();
        assertThat(group.headStopped(3_000 + DETECTION_MILLIS)).isTrue();
    }

    /** An entry also changes for other reasons, which must not keep the members from joining for good. */
    @Test
    void otherChangeOfTheHeadsEntryRestartsNothing() {
        listHeadAgain(3_000);

        assertThat(group.headStopped(DETECTION_MILLIS)).isTrue();
        assertThat(group.blocksJoin(entries.get(departed.id()), DETECTION_MILLIS))
                .isFalse();
    }
}
