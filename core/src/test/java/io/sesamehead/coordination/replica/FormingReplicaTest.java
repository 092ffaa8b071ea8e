package io.sesamehead.coordination.replica;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.replica.FormingReplica.Progress;
import io.sesamehead.state.InstanceId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a group that is given up, or waits for good, because of an answer that its members' entries overtake. */
final class FormingReplicaTest {
    private static final ReplicaKey GROUP = ReplicaKey.of("small", 99);
    private static final long STEP_MILLIS = 50;

    private final FakeEngines engines = new FakeEngines();
    private final Map<InstanceId, UpstreamEntry> entries = new LinkedHashMap<>();
    private FormingReplica forming;
    private InstanceId first;
    private long now;

    @BeforeEach
    void start() {
        engines.addDomains(1, FakeEngines.SMALL.groupSize());
        for (int i = 0; i < FakeEngines.SMALL.groupSize(); i++) {
            UpstreamEntry entry = engines.entry(new InstanceId("e0-" + i));
            entries.put(entry.id(), entry);
        }
        first = entries.keySet().iterator().next();
        forming = new FormingReplica(GROUP, "small", List.copyOf(entries.values()), 0, 12_000, false);
    }

    /** Runs for some time, in which the first member answers joins with the result and the others accept them. */
    private Progress run(long millis, OrderResult ofFirst) {
        Progress progress = Progress.WAITING;
        for (long end = now + millis; now < end && progress == Progress.WAITING; now += STEP_MILLIS) {
            List<ReplicaAction> orders = new ArrayList<>();
            progress = forming.advance(entries, entry -> true, now, orders);
            orders.forEach(
                    order -> forming.onResult(order, order.target().equals(first) ? ofFirst : OrderResult.ACCEPTED));
        }
        return progress;
    }

    private void join(InstanceId id, int rank) {
        entries.put(
                id,
                FakeEngines.inGroup(entries.get(id), Optional.of(new Membership(GROUP, rank, MemberState.JOINING))));
    }

    @Test
    void conflictIsRepeated() {
        assertThat(run(700, OrderResult.CONFLICT)).isEqualTo(Progress.WAITING);
        assertThat(run(5_000, OrderResult.ACCEPTED)).isEqualTo(Progress.WAITING);
    }

    @Test
    void conflictThatLastsEndsTheGroup() {
        assertThat(run(3_000, OrderResult.CONFLICT)).isEqualTo(Progress.FAILED);
    }

    @Test
    void refusalEndsTheGroup() {
        assertThat(run(200, OrderResult.REFUSED)).isEqualTo(Progress.FAILED);
    }

    /** The refusal may be a second copy of the answer to an earlier order. */
    @Test
    void refusalOfMemberThatHasJoinedIsIgnored() {
        List<ReplicaAction> orders = new ArrayList<>();
        forming.advance(entries, entry -> true, now, orders);
        join(first, 0);
        orders.forEach(order -> forming.onResult(order, OrderResult.REFUSED));
        for (int rank = 1; rank < entries.size(); rank++) {
            join(List.copyOf(entries.keySet()).get(rank), rank);
        }

        assertThat(run(1_000, OrderResult.ACCEPTED)).isEqualTo(Progress.WAITING);
    }

    @Test
    void groupWaitsForLateEntriesOfMembersThatAnswer() {
        assertThat(run(5_000, OrderResult.ACCEPTED)).isEqualTo(Progress.WAITING);
    }
}
