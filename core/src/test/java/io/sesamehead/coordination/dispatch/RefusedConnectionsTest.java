package io.sesamehead.coordination.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.replica.ReplicaKey;
import io.sesamehead.state.DaemonId;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against groups that are dissolved because the network of a daemon refuses its connections. */
final class RefusedConnectionsTest {
    private static final TargetKey DEAD = TargetKey.of(ReplicaKey.of("big", 7));
    private static final int GROUPS = 6;

    private final RefusedConnections first = new RefusedConnections(new DaemonId("first"));
    private final RefusedConnections second = new RefusedConnections(new DaemonId("second"));

    private static TargetKey group(int number) {
        return TargetKey.of(ReplicaKey.of("sound", number));
    }

    private static void hearFromOthers(RefusedConnections daemon, long nowMillis) {
        for (int group = 0; group < GROUPS; group++) {
            daemon.recordProgress(group(group), nowMillis);
        }
    }

    private void refuse(RefusedConnections daemon, long nowMillis) {
        daemon.recordRefused(DEAD, nowMillis);
        hearFromOthers(daemon, nowMillis + 50);
    }

    private static void report(RefusedConnections from, RefusedConnections to, long nowMillis) {
        from.reports(false, nowMillis).forEach(row -> to.merge(row, nowMillis));
    }

    @Test
    void twoDaemonsShowLoss() {
        refuse(first, 1_000);
        refuse(second, 1_050);
        report(second, first, 1_100);

        assertThat(first.isLost(DEAD, false, 1_100)).isTrue();
        assertThat(first.isLost(group(0), false, 1_100)).isFalse();
    }

    @Test
    void oneDaemonShowsNoLossUnlessAlone() {
        refuse(first, 1_000);

        assertThat(first.isLost(DEAD, false, 1_100)).isFalse();
        assertThat(first.isLost(DEAD, true, 1_100)).isTrue();
    }

    /** Guards against counting a daemon twice whose report arrives repeatedly, directly and through relays. */
    @Test
    void countsEachDaemonOnce() {
        refuse(second, 1_000);
        RefusedConnections relay = new RefusedConnections(new DaemonId("relay"));
        report(second, relay, 1_100);
        report(second, first, 1_100);
        relay.reports(true, 1_200).forEach(row -> first.merge(row, 1_250));
        relay.reports(true, 1_300).forEach(row -> first.merge(row, 1_350));

        assertThat(first.isLost(DEAD, false, 1_350)).isFalse();
        refuse(first, 1_350);
        first.reports(true, 1_400).forEach(row -> relay.merge(row, 1_400));
        relay.reports(true, 1_400).forEach(row -> first.merge(row, 1_400));
        assertThat(first.reports(true, 1_400))
                .singleElement()
                .satisfies(row -> assertThat(row.ageMillisByDaemon()).hasSize(2));
        assertThat(first.isLost(DEAD, false, 1_400)).isTrue();
    }

    @Test
    void progressAtAnyDaemonClears() {
        refuse(first, 1_000);
        refuse(second, 1_000);
        report(second, first, 1_100);
        first.recordPeerProgress(DEAD, 1_000);
        assertThat(first.isLost(DEAD, false, 1_100)).isFalse();

        refuse(first, 1_200);
        refuse(second, 1_200);
        report(second, first, 1_300);
        assertThat(first.isLost(DEAD, false, 1_300)).isTrue();
        first.recordProgress(DEAD, 1_300);
        assertThat(first.isLost(DEAD, false, 1_300)).isFalse();
    }

    @Test
    void laterEpochIsNotLost() {
        refuse(first, 1_000);
        refuse(second, 1_000);
        report(second, first, 1_100);

        assertThat(first.isLost(new TargetKey(DEAD.name(), DEAD.generation() + 1), false, 1_100))
                .isFalse();
    }

    @Test
    void refusalExpiresWithItsAge() {
        refuse(second, 1_000);
        report(second, first, 1_900);
        first.recordRefused(DEAD, 1_900);
        hearFromOthers(first, 1_950);
        assertThat(first.isLost(DEAD, false, 2_000)).isTrue();

        assertThat(first.isLost(DEAD, false, 2_201)).isFalse();
        assertThat(second.reports(true, 2_201)).isEmpty();
    }

    /** Guards against evidence that two daemons tell each other for ever. */
    @Test
    void reportsDoNotCirculate() {
        refuse(first, 1_000);
        for (long now = 1_100; now < 4_000; now += 150) {
            long at = now;
            first.reports(true, at).forEach(row -> second.merge(row, at));
            second.reports(true, at).forEach(row -> first.merge(row, at));
        }

        assertThat(first.reports(true, 4_000)).isEmpty();
        assertThat(second.reports(true, 4_000)).isEmpty();
    }

    /** Guards against the reports of daemons that are cut off: their last progress was before the cut. */
    @Test
    void refusalsByMostTargetsDoNotCount() {
        for (RefusedConnections daemon : List.of(first, second)) {
            hearFromOthers(daemon, 990);
            daemon.recordRefused(DEAD, 1_000);
            daemon.recordRefused(group(0), 1_010);
            assertThat(daemon.reports(true, 1_050)).isEmpty();
        }
        report(second, first, 1_100);

        assertThat(first.isLost(DEAD, false, 1_100)).isFalse();
        assertThat(first.isLost(DEAD, true, 1_100)).isFalse();
    }

    @Test
    void sizeIsBounded() {
        for (int target = 0; target < 200; target++) {
            first.recordProgress(group(target), 1_001);
            second.merge(
                    new RefusedConnections.Refusal(group(1_000 + target), ImmutableMap.of(1L, 0L, 2L, 0L, 3L, 0L)),
                    1_000);
            for (long daemon = 0; daemon < 20; daemon++) {
                second.merge(new RefusedConnections.Refusal(DEAD, ImmutableMap.of(daemon, daemon)), 1_000);
            }
        }
        for (int target = 0; target < 100; target++) {
            first.recordRefused(group(1_000 + target), 1_000);
        }

        assertThat(first.reports(true, 1_000)).hasSizeBetween(1, 32);
        assertThat(second.reports(true, 1_000)).hasSizeBetween(1, 32);
        assertThat(second.reports(true, 1_000))
                .allSatisfy(row -> assertThat(row.ageMillisByDaemon()).hasSizeLessThanOrEqualTo(3));
    }

    /**
     * Guards against dissolving sound groups while any of the daemons are cut off with refusals, and against a dead group
     * that is not given up meanwhile.
     */
    @Test
    void daemonsThatAreCutOffShowNoLoss() {
        int found = 0;
        for (long seed = 1; seed <= 100; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            List<RefusedConnections> daemons = new ArrayList<>();
            for (int daemon = 0; daemon < 5; daemon++) {
                daemons.add(new RefusedConnections(new DaemonId("daemon-" + daemon)));
            }
            int cutDaemons = random.nextInt(4);
            long cutAtMillis = random.nextLong(3_000);
            long cutForMillis = random.nextLong(100, 3_000);
            long deadAtMillis = random.nextLong(3_000);
            boolean deadFound = false;
            for (long now = 0; now < 6_000; now += 10) {
                boolean cut = now >= cutAtMillis && now < cutAtMillis + cutForMillis;
                for (int number = 0; number < daemons.size(); number++) {
                    RefusedConnections daemon = daemons.get(number);
                    int target = random.nextInt(GROUPS + 1);
                    boolean dead = target == GROUPS && now >= deadAtMillis;
                    TargetKey key = target == GROUPS ? DEAD : group(target);
                    if (dead || (cut && number < cutDaemons)) {
                        daemon.recordRefused(key, now);
                    } else {
                        daemon.recordProgress(key, now);
                    }
                    if (random.nextInt(15) == 0) {
                        tell(daemons, number, key, dead || (cut && number < cutDaemons), now);
                    }
                    for (int group = 0; group < GROUPS; group++) {
                        assertThat(daemon.isLost(group(group), false, now))
                                .as("seed %d, group %d at %d", seed, group, now)
                                .isFalse();
                    }
                    boolean lost = daemon.isLost(DEAD, false, now);
                    assertThat(lost && now < deadAtMillis)
                            .as("seed %d at %d", seed, now)
                            .isFalse();
                    deadFound |= lost;
                }
            }
            found += deadFound ? 1 : 0;
        }
        assertThat(found).isEqualTo(100);
    }

    private static void tell(
            List<RefusedConnections> daemons, int from, TargetKey key, boolean refused, long nowMillis) {
        for (RefusedConnections other : daemons) {
            if (other != daemons.get(from)) {
                daemons.get(from).reports(false, nowMillis).forEach(row -> other.merge(row, nowMillis));
                if (!refused) {
                    other.recordPeerProgress(key, nowMillis);
                }
            }
        }
    }
}
