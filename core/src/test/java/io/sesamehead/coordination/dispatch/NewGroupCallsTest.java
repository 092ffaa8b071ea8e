package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.catalog.EngineProfile;
import io.sesamehead.coordination.catalog.ModelProfile;
import io.sesamehead.coordination.replica.ReplicaKey;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against daemons that all send their calls to the one group whose report shows free slots. */
final class NewGroupCallsTest {
    private static final int SLOTS = 14;
    private static final int FULL_GROUPS = 5;
    private static final double CALLS_PER_SECOND = 135;
    /** Age of the sums that a relay sends, in milliseconds: what is sent meanwhile is not in them. */
    private static final long REPORT_AGE_MILLIS = 300;
    /** Time for which all groups are full before a new one serves, in milliseconds. */
    private static final long FULL_MILLIS = 5_000;
    /** Objective between the time until a first event with and without waiting for a slot, in milliseconds. */
    private static final long OBJECTIVE_MILLIS = 150;

    private static final ModelProfile MODEL = new ModelProfile("small", 2, 1, 1.0, 12_000, 1_100);
    private static final EngineProfile ENGINE =
            new EngineProfile(SLOTS, List.of(MODEL), 7.8, 0.1, 45_900, 6, 4.5, 6, 300);

    private static Target target(int number) {
        ReplicaKey key = ReplicaKey.of("small", number);
        UpstreamEntry head = new UpstreamEntry(
                new InstanceId("i-" + number),
                1,
                0,
                new ServiceName("pool"),
                new Endpoint("127.0.0.1", number),
                new FailureDomain("a"),
                SLOTS,
                false,
                "d",
                List.of(),
                List.of(),
                Optional.empty());
        return new Target(TargetKey.of(key), head, SLOTS, 1, Optional.of(ENGINE));
    }

    /** Returns the calls that all daemons send to a new group beside full ones before a report shows any of them. */
    private static int callsToEmptyGroup(int daemons, long seed) {
        Target empty = target(FULL_GROUPS + 1);
        List<Target> targets = new ArrayList<>(List.of(empty));
        List<TargetReport> rows = new ArrayList<>();
        for (int number = 1; number <= FULL_GROUPS; number++) {
            targets.add(target(number));
            rows.add(new TargetReport(target(number).key(), SLOTS, 20, false));
        }
        SplittableRandom random = new SplittableRandom(seed);
        List<TargetTable> tables = new ArrayList<>();
        List<Dispatcher> dispatchers = new ArrayList<>();
        for (int daemon = 0; daemon < daemons; daemon++) {
            TargetTable table = new TargetTable();
            table.replaceReport("all daemons", daemons - 1, rows, 0);
            ServiceTimeEstimator times = new ServiceTimeEstimator();
            times.recordRunTime(empty, 1_300);
            UpstreamCapacity capacity = new UpstreamCapacity(
                    new BusyUpstreams(), new RateLimitShares(new StatedRateLimits(), random.split()));
            tables.add(table);
            dispatchers.add(new Dispatcher(new FailureDomain("a"), table, capacity, times, random.split()));
        }
        int sent = 0;
        for (double now = 0; now < FULL_MILLIS + REPORT_AGE_MILLIS; now += 1_000 / CALLS_PER_SECOND) {
            int daemon = random.nextInt(daemons);
            boolean formed = now >= FULL_MILLIS;
            DispatchRequest call = new DispatchRequest(714, OBJECTIVE_MILLIS, 6_000, 0, Optional.empty());
            DispatchDecision decision = dispatchers
                    .get(daemon)
                    .decide(call, formed ? targets : targets.subList(1, targets.size()), (long) now);
            if (formed && decision instanceof DispatchDecision.Send send) {
                tables.get(daemon).recordSent(send.target().key(), (long) now);
                sent += send.target().equals(empty) ? 1 : 0;
            }
        }
        return sent;
    }

    @ParameterizedTest
    @ValueSource(ints = {26, 99, 340})
    void sendNoMoreCallsToNewGroupThanItHasSlots(int daemons) {
        for (long seed = 1; seed <= 40; seed++) {
            assertThat(callsToEmptyGroup(daemons, seed)).isLessThanOrEqualTo(SLOTS);
        }
    }

    /** Guards against a remedy by which a new group stays empty while calls are refused. */
    @ParameterizedTest
    @ValueSource(ints = {26, 99, 340})
    void useNewGroupBeforeReportShowsItsCalls(int daemons) {
        int sent = 0;
        for (long seed = 1; seed <= 40; seed++) {
            sent += callsToEmptyGroup(daemons, seed);
        }
        assertThat(sent).isGreaterThan(40 * SLOTS / 5);
    }
}
