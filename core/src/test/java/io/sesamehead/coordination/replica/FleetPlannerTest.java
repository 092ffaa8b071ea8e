package io.sesamehead.coordination.replica;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against groups that form late, are incomplete, or share a member with a group that still serves. */
final class FleetPlannerTest {
    private static final long STALL_MILLIS = 4_000;
    /** Time between the start of the VMs and the first call, in milliseconds. */
    private static final long WARM_UP_MILLIS = 15_000;

    private final FakeEngines engines = new FakeEngines();
    private final FleetPlanner planner = new FleetPlanner(1, STALL_MILLIS);

    @BeforeEach
    void setUp() {
        engines.addDomains(6, 9);
    }

    private void start() {
        engines.run(planner, WARM_UP_MILLIS);
        engines.traffic = true;
    }

    @Test
    void servesBothModelsInEachFailureDomainBeforeTraffic() {
        start();

        assertThat(engines.serving(FakeEngines.BIG)).hasSizeGreaterThanOrEqualTo(6);
        assertThat(engines.serving(FakeEngines.SMALL)).hasSizeGreaterThanOrEqualTo(6);
        for (var model : List.of(FakeEngines.BIG, FakeEngines.SMALL)) {
            assertThat(engines.serving(model).stream()
                            .map(replica -> replica.members().get(0).failureDomain())
                            .distinct())
                    .hasSize(3);
        }
    }

    @Test
    void formsGroupsWithinOneFabricDomain() {
        start();

        for (Replica replica : engines.serving(FakeEngines.BIG)) {
            assertThat(replica.members().stream()
                            .map(UpstreamEntry::fabricDomain)
                            .distinct())
                    .hasSize(1);
        }
    }

    @Test
    void replacesLostMemberWithWarmSpareWithinThreeSeconds() {
        start();
        int before = engines.serving(FakeEngines.BIG).size();
        InstanceId lost =
                engines.serving(FakeEngines.BIG).get(0).members().get(2).id();

        engines.kill(lost);
        assertThat(engines.serving(FakeEngines.BIG)).hasSize(before - 1);
        engines.run(planner, 3_000);

        assertThat(engines.serving(FakeEngines.BIG)).hasSize(before);
        assertThat(engines.violations).isEmpty();
    }

    @Test
    void doesNotReuseDeadMemberThatIsStillListed() {
        start();
        Replica group = engines.serving(FakeEngines.SMALL).get(0);
        InstanceId lost = group.members().get(1).id();

        engines.kill(lost);
        engines.run(planner, 3_000);

        assertThat(engines.entry(lost).membership().orElseThrow().replica()).isEqualTo(group.key());
    }

    /** Guards against three orders per second to an upstream that never answers while the registry still lists it. */
    @Test
    void backsOffOrdersToDeadMember() {
        start();
        engines.kill(engines.serving(FakeEngines.SMALL).get(0).members().get(1).id());
        engines.run(planner, 5_000);

        assertThat(engines.unanswered).isBetween(2, 5);
    }

    @Test
    void keepsMembersOfSilentHeadUntilItMustHaveStopped() {
        start();
        Replica group = engines.serving(FakeEngines.BIG).get(0);
        InstanceId head = group.members().get(0).id();
        InstanceId member = group.members().get(1).id();

        engines.kill(head);
        engines.run(planner, STALL_MILLIS - 100);
        assertThat(engines.entry(member).membership().map(Membership::replica).filter(key -> !key.equals(group.key())))
                .isEmpty();
        engines.run(planner, 5_000);

        assertThat(engines.violations).isEmpty();
    }

    /** Guards against dissolving a group because its failure domain was partitioned for a few seconds. */
    @Test
    void keepsGroupThatReturnsCompleteAfterPartition() {
        start();
        Replica group = engines.serving(FakeEngines.BIG).get(0);
        group.members().forEach(member -> engines.disconnect(member.id()));
        for (UpstreamEntry member : group.members().subList(0, 3)) {
            engines.dropFromRegistry(member.id());
            engines.run(planner, 300);
        }
        group.members().forEach(member -> engines.reconnect(member.id()));
        engines.run(planner, 5_000);

        assertThat(engines.serving(FakeEngines.BIG).stream().map(Replica::key)).contains(group.key());
        assertThat(engines.violations).isEmpty();
    }

    private static long leaveOrders(FakeEngines fleet, ReplicaKey key) {
        return fleet.orders.stream()
                .filter(order -> order instanceof ReplicaAction.Leave leave
                        && leave.replica().equals(key))
                .count();
    }

    /** Guards against dissolving sound groups, one or all of them, for a silence that ends. */
    @ParameterizedTest
    @ValueSource(ints = {1, Integer.MAX_VALUE})
    void keepsGroupsThatAreSilentForOneAndAHalfSeconds(int maxGroups) {
        start();
        engines.run(planner, 3_000);
        List<Replica> before = engines.serving(FakeEngines.BIG);
        engines.orders.clear();

        before.stream()
                .limit(maxGroups)
                .flatMap(replica -> replica.members().stream())
                .forEach(member -> engines.silence(member.id(), 1_500));
        engines.run(planner, 5_000);

        assertThat(engines.orders).noneMatch(order -> order instanceof ReplicaAction.Leave);
        assertThat(engines.orders).noneMatch(order -> order instanceof ReplicaAction.Join);
        assertThat(engines.serving(FakeEngines.BIG).stream().map(Replica::key))
                .containsExactlyInAnyOrderElementsOf(
                        before.stream().map(Replica::key).toList());
    }

    /** Guards against a replacement that waits until the registry no longer lists the lost head. */
    @Test
    void startsReplacementOfLostGroupAtOnce() {
        FakeEngines wide = new FakeEngines();
        wide.addDomains(4, 23);
        wide.run(planner, WARM_UP_MILLIS);
        wide.traffic = true;
        wide.run(planner, 3_000);
        Replica group = wide.serving(FakeEngines.SMALL).get(0);
        List<InstanceId> former =
                group.members().stream().map(UpstreamEntry::id).toList();
        wide.orders.clear();

        wide.kill(former.get(0));
        wide.run(planner, 100);

        assertThat(leaveOrders(wide, group.key())).isEqualTo(former.size());
        assertThat(wide.orders.stream()
                        .filter(order -> order instanceof ReplicaAction.Join)
                        .map(ReplicaAction::target))
                .hasSize(FakeEngines.SMALL.groupSize())
                .doesNotContainAnyElementsOf(former);
        assertThat(wide.violations).isEmpty();
    }

    /** Guards against leave orders that are resent to a group that has turned out to be whole. */
    @Test
    void stopsLeaveOrdersWhenLostGroupIsWholeAgain() {
        start();
        Replica group = engines.serving(FakeEngines.BIG).get(0);
        group.members().forEach(member -> engines.disconnect(member.id()));
        engines.addLost(group.key());
        engines.run(planner, 200);
        assertThat(leaveOrders(engines, group.key())).isPositive();
        engines.removeLost(group.key());
        group.members().forEach(member -> engines.reconnect(member.id()));
        engines.orders.clear();
        engines.run(planner, 5_000);

        assertThat(leaveOrders(engines, group.key())).isZero();
        assertThat(engines.serving(FakeEngines.BIG).stream().map(Replica::key)).contains(group.key());
    }

    /**
     * Guards against a kept group of which a member has left: an order sent during the silence may be carried out and
     * answered after it.
     */
    @Test
    void dissolvesKeptGroupWhenLeaveOrderIsAnsweredLate() {
        start();
        Replica group = engines.serving(FakeEngines.BIG).get(0);
        group.members().forEach(member -> engines.disconnect(member.id()));
        engines.addLost(group.key());
        engines.run(planner, 200);
        engines.removeLost(group.key());
        engines.run(planner, 200);
        assertThat(planner.summary().dissolving()).isZero();
        engines.orders.clear();
        ReplicaAction.Leave late =
                new ReplicaAction.Leave(group.members().get(1).id(), group.key());
        planner.onResult(late, OrderResult.ACCEPTED, engines.now);
        engines.run(planner, 2_000);

        assertThat(planner.summary().dissolving()).isEqualTo(1);
        assertThat(leaveOrders(engines, group.key())).isPositive();
    }

    /** Guards against two serving groups with a common member after leave orders that were carried out late. */
    @Test
    void replacesGroupThatLeavesLate() {
        start();
        Replica group = engines.serving(FakeEngines.BIG).get(0);
        int before = engines.serving(FakeEngines.BIG).size();
        group.members().forEach(member -> engines.silence(member.id(), 4_000));
        engines.run(planner, 3_900);
        assertThat(leaveOrders(engines, group.key())).isPositive();
        engines.run(planner, STALL_MILLIS + 6_000);

        assertThat(engines.serving(FakeEngines.BIG).stream().map(Replica::key)).doesNotContain(group.key());
        assertThat(engines.serving(FakeEngines.BIG)).hasSizeGreaterThanOrEqualTo(before);
        assertThat(engines.violations).isEmpty();
    }

    /** Forms one group of the small model from three engines, the only ones. */
    private static Replica formOnlyGroup(FakeEngines three, FleetPlanner own) {
        three.addDomains(1, FakeEngines.SMALL.groupSize());
        three.run(own, WARM_UP_MILLIS);
        three.traffic = true;
        return three.serving(FakeEngines.SMALL).get(0);
    }

    /**
     * Guards against ordering an open head into another group: a join and an open that are executed late, after the head
     * has answered the order to leave, make it the serving head of its group again.
     */
    @Test
    void returnedHeadLeavesAgainBeforeItJoinsAnotherGroup() {
        FakeEngines three = new FakeEngines();
        Replica group = formOnlyGroup(three, planner);
        InstanceId head = group.members().get(0).id();
        ReplicaAction join = three.orders.stream()
                .filter(order ->
                        order instanceof ReplicaAction.Join && order.target().equals(head))
                .findFirst()
                .orElseThrow();

        three.kill(group.members().get(1).id());
        three.run(planner, 300);
        assertThat(three.entry(head).membership()).isEmpty();
        three.orders.clear();
        three.execute(join);
        three.execute(new ReplicaAction.Open(head, group.key()));
        three.addSpares(group.members().get(0).fabricDomain(), 1, "small");
        three.run(planner, 3_000);

        assertThat(three.violations).isEmpty();
        assertThat(leaveOrders(three, group.key())).isPositive();
        assertThat(three.serving(FakeEngines.SMALL)).hasSize(1);
    }

    /**
     * Guards against taking the answer to an order to leave as proof that the head has left: it may be a second copy of
     * an earlier answer.
     */
    @Test
    void headThatHasOnlyAnsweredIsNotOrderedIntoAnotherGroup() {
        FakeEngines three = new FakeEngines();
        Replica group = formOnlyGroup(three, planner);
        InstanceId head = group.members().get(0).id();
        three.answerLeavesWithoutLeaving(head);

        three.kill(group.members().get(1).id());
        three.addSpares(group.members().get(0).fabricDomain(), 1, "small");
        three.run(planner, 3_000);
        assertThat(three.violations).isEmpty();
        assertThat(three.entry(head).membership().map(Membership::replica)).contains(group.key());

        three.executeLeaves(head);
        three.run(planner, 5_000);
        assertThat(three.violations).isEmpty();
        assertThat(three.serving(FakeEngines.SMALL)).hasSize(1);
    }

    /**
     * Guards against taking the second copy of an earlier answer, that of another process at the address, as proof that
     * the head has ended.
     */
    @Test
    void headIsNotTakenForEndedAfterOneAnswerOfAnotherProcess() {
        FakeEngines three = new FakeEngines();
        Replica group = formOnlyGroup(three, planner);
        InstanceId head = group.members().get(0).id();
        three.answerOnceAsOther(head);
        three.answerLeavesWithoutLeaving(head);

        three.kill(group.members().get(1).id());
        three.addSpares(group.members().get(0).fabricDomain(), 2, "small");
        three.run(planner, 2_500);

        assertThat(three.violations).isEmpty();
        assertThat(leaveOrders(three, group.key())).isPositive();
        assertThat(three.orders)
                .noneMatch(order -> order instanceof ReplicaAction.Join join
                        && join.members().contains(group.members().get(2).id())
                        && !join.replica().equals(group.key()));
    }

    /**
     * Guards against a group that a later controller adopts and opens while this one orders its members into others: the
     * members of a group that is given up leave it first, and need not wait for a head that was never opened.
     */
    @Test
    void membersOfGroupThatIsGivenUpLeaveItFirst() {
        FakeEngines three = new FakeEngines();
        three.addDomains(1, FakeEngines.SMALL.groupSize());
        InstanceId silent = new InstanceId("e0-0");
        three.kill(silent);
        three.run(planner, 1_000);
        three.dropFromRegistry(silent);
        three.addSpares(three.entry(new InstanceId("e0-1")).fabricDomain(), 1, "small");
        three.run(planner, 1_500);

        List<ReplicaAction> orders = three.orders.stream()
                .filter(order -> order.target().equals(new InstanceId("e0-1")))
                .toList();
        assertThat(orders.stream().map(Object::getClass).distinct().toList())
                .startsWith(ReplicaAction.Join.class, ReplicaAction.Leave.class);
        ReplicaKey givenUp = ((ReplicaAction.Join) orders.get(0)).replica();
        int leave = orders.indexOf(new ReplicaAction.Leave(new InstanceId("e0-1"), givenUp));
        assertThat(orders.subList(0, leave))
                .allMatch(order -> order instanceof ReplicaAction.Join join
                        && join.replica().equals(givenUp));
        assertThat(orders.subList(leave, orders.size())).anyMatch(order -> order instanceof ReplicaAction.Join);
    }

    /**
     * Guards against a repeated join to an upstream that an order executed late has put into another group in the
     * meantime.
     */
    @Test
    void joinIsNotRepeatedToUpstreamThatHasReturnedToOtherGroup() {
        start();
        Replica group = engines.serving(FakeEngines.SMALL).get(0);
        List<UpstreamEntry> members = group.members().stream()
                .map(member -> engines.withoutGroup(member.id()))
                .toList();
        FormingReplica forming =
                new FormingReplica(ReplicaKey.of("small", 99), "small", members, engines.now, 12_000, false);
        Map<InstanceId, UpstreamEntry> entries = new HashMap<>();
        members.forEach(member -> entries.put(member.id(), member));
        List<ReplicaAction> orders = new ArrayList<>();
        forming.advance(entries, entry -> entry.membership().isEmpty(), engines.now, orders);
        assertThat(orders).hasSize(members.size());
        orders.clear();
        entries.put(group.members().get(0).id(), group.members().get(0));

        assertThat(forming.advance(entries, entry -> entry.membership().isEmpty(), engines.now + 400, orders))
                .isEqualTo(FormingReplica.Progress.FAILED);
        assertThat(orders)
                .noneMatch(order -> order.target().equals(group.members().get(0).id()));
    }

    @Test
    void newHolderAdoptsServingGroupsWithoutOrders() {
        start();
        Set<ReplicaKey> serving = Set.copyOf(
                engines.serving(FakeEngines.BIG).stream().map(Replica::key).toList());
        int loads = engines.loads;

        engines.run(new FleetPlanner(2, STALL_MILLIS), 5_000);

        assertThat(engines.serving(FakeEngines.BIG).stream().map(Replica::key)).containsAll(serving);
        assertThat(engines.loads).isEqualTo(loads);
    }

    @Test
    void newHolderFinishesFormingGroups() {
        engines.run(planner, 1_000);

        engines.run(new FleetPlanner(2, STALL_MILLIS), WARM_UP_MILLIS);

        assertThat(engines.serving(FakeEngines.BIG)).hasSizeGreaterThanOrEqualTo(5);
        assertThat(engines.violations).isEmpty();
    }

    /**
     * Guards against early joins by a holder that has just read the registry for the first time: an upstream without a
     * group may have left one whose head has not detected the loss yet.
     */
    @Test
    void restartedHolderWaitsForFormerHeadsToStop() {
        engines.firstStart = false;
        engines.formerGroups.restartHistory(0);

        engines.run(planner, STALL_MILLIS);
        assertThat(engines.loads).isZero();
        engines.run(planner, WARM_UP_MILLIS);

        assertThat(engines.serving(FakeEngines.BIG)).hasSizeGreaterThanOrEqualTo(5);
    }

    @Test
    void limitsLoadsUnderTraffic() {
        engines.traffic = true;

        engines.run(planner, 5_000);

        assertThat(engines.loads).isLessThanOrEqualTo(FakeEngines.PROFILE.maxConcurrentLoads());
    }

    /**
     * Guards against forming one replacement after another while a lost group waits for its silent head, which leaves
     * no spares for a model with larger groups.
     */
    @Test
    void replacesLostGroupOnce() {
        FakeEngines wide = new FakeEngines();
        wide.addDomains(4, 23);
        wide.run(planner, WARM_UP_MILLIS);
        wide.traffic = true;
        wide.run(planner, 3_000);
        List<Replica> before = wide.serving(FakeEngines.SMALL);

        wide.kill(before.get(0).members().get(0).id());
        wide.run(planner, STALL_MILLIS - 500);

        assertThat(wide.serving(FakeEngines.SMALL)).hasSize(before.size());
    }

    /** Returns the number of groups that a model gains under a load for the given time. */
    private static int growth(double utilization, double refusedPerSecond, long millis) {
        FakeEngines wide = new FakeEngines();
        wide.addDomains(4, 23);
        FleetPlanner own = new FleetPlanner(1, STALL_MILLIS);
        wide.run(own, WARM_UP_MILLIS);
        wide.traffic = true;
        int before = wide.serving(FakeEngines.SMALL).size();
        double running = before * FakeEngines.PROFILE.slots() * utilization;
        wide.demand.put("small", new ModelDemand(running, refusedPerSecond));
        wide.run(own, millis);
        wide.demand.clear();
        wide.run(own, WARM_UP_MILLIS);
        return wide.serving(FakeEngines.SMALL).size() - before;
    }

    /** Guards against using up the spares while calls briefly pile up at a lost group. */
    @Test
    void shortUtilizationPeakKeepsSpares() {
        int none = growth(0, 0, 0);

        assertThat(growth(0.95, 0, 1_500)).isEqualTo(none);
        assertThat(growth(2, 40, 300)).isEqualTo(none);
    }

    @Test
    void sustainedUtilizationTurnsSparesIntoGroups() {
        assertThat(growth(0.7, 0, 6_000)).isGreaterThan(growth(0, 0, 0));
    }

    /** Guards against planning by shares alone: of two models with similar shares, the slower one needs more groups. */
    @Test
    void groupsBeforeTrafficFollowShareAndTimeFactor() {
        FakeEngines wide = new FakeEngines();
        wide.addDomains(2, 73);
        wide.run(planner, WARM_UP_MILLIS);

        double big = wide.serving(FakeEngines.BIG).size();
        double small = wide.serving(FakeEngines.SMALL).size();
        double wanted = FakeEngines.BIG.share()
                * FakeEngines.BIG.timeFactor()
                / (FakeEngines.SMALL.share() * FakeEngines.SMALL.timeFactor());
        assertThat(big / small).isBetween(wanted * 0.75, wanted * 1.25);
    }

    @Test
    void repairsBusierModelFirst() {
        start();
        engines.demand.putAll(Map.of(
                "big", new ModelDemand(5, 0),
                "small", new ModelDemand(100, 20)));
        int before = engines.serving(FakeEngines.SMALL).size();

        engines.run(planner, 3_000);

        assertThat(engines.serving(FakeEngines.SMALL)).hasSizeGreaterThanOrEqualTo(before);
        assertThat(engines.violations).isEmpty();
    }

    @Test
    void neverPutsEngineIntoTwoServingGroups() {
        start();
        SplittableRandom random = new SplittableRandom(42);
        for (int loss = 0; loss < 12; loss++) {
            List<Replica> serving =
                    loss % 2 == 0 ? engines.serving(FakeEngines.BIG) : engines.serving(FakeEngines.SMALL);
            if (!serving.isEmpty()) {
                Replica hit = serving.get(random.nextInt(serving.size()));
                engines.kill(
                        hit.members().get(random.nextInt(hit.members().size())).id());
            }
            engines.run(planner, 1_500);
        }

        assertThat(engines.violations).isEmpty();
        assertThat(engines.serving(FakeEngines.BIG)).isNotEmpty();
        assertThat(engines.serving(FakeEngines.SMALL)).isNotEmpty();
    }
}
