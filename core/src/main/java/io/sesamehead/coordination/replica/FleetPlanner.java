package io.sesamehead.coordination.replica;

import com.google.common.collect.Sets;
import io.sesamehead.coordination.catalog.ModelProfile;
import io.sesamehead.coordination.replica.GroupPeaks.CountedGroup;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Plans the groups of one service for the holder of the controller lease. All state that must outlive a lease holder is
 * in the upstreams' own reports: a new planner adopts the groups that serve and finishes those that are forming. Not
 * thread-safe.
 */
public final class FleetPlanner {
    /** Fraction of a fabric domain's upstreams that is reserved for repairs. */
    private static final double RESERVE_FRACTION = 0.2;
    /**
     * Time that calls have to finish at a group with a leaving member, in milliseconds: the usual length of a stream.
     */
    private static final long LEAVING_GRACE_MILLIS = 1_500;

    private static final long UNSET_MILLIS = Long.MIN_VALUE;

    private final long controllerEpoch;
    private final long stallMillis;
    private final LoadLimiter limiter = new LoadLimiter();
    private final SpareStager stager = new SpareStager();
    private final ReachabilityTracker reachability = new ReachabilityTracker();
    private final Map<ReplicaKey, FormingReplica> forming = new LinkedHashMap<>();
    private final Map<ReplicaKey, DissolvingReplica> dissolving = new HashMap<>();
    /** Groups that are kept although leave orders were sent. The orders may still be carried out. */
    private final Map<ReplicaKey, DissolvingReplica> kept = new HashMap<>();

    private final Map<ReplicaKey, Long> leavingSince = new HashMap<>();
    /**
     * Groups given up before their head can have opened, with the last time at which they were being dissolved. Members
     * that have left them need not wait for the head.
     */
    private final Map<ReplicaKey, Long> neverOpened = new HashMap<>();

    private final GroupPeaks peaks = new GroupPeaks();
    private final ModelUtilization utilization = new ModelUtilization();
    /**
     * Monotonic time from which the heads of groups that this planner has never seen have stopped. Before it, an
     * upstream without a group may have left such a group while its head still serves.
     */
    private long unseenHeadsStoppedAtMillis = UNSET_MILLIS;

    private long groupsFormed;
    private PlanSummary summary = new PlanSummary(0, 0, 0, 0, 0, 0, 0);
    private Supplier<IdleUpstreams> idle = () -> IdleUpstreams.NONE;
    private Supplier<FreeCopies> freeCopies = () -> FreeCopies.NONE;

    /**
     * Creates a planner for one lease epoch.
     *
     * @param controllerEpoch epoch of the lease, higher than those of all earlier holders
     * @param stallMillis time in which a head detects that a member is missing, in milliseconds
     */
    public FleetPlanner(long controllerEpoch, long stallMillis) {
        this.controllerEpoch = controllerEpoch;
        this.stallMillis = stallMillis;
    }

    /**
     * Returns the orders to send now.
     *
     * @param view the current view of the fleet
     * @param nowMillis current monotonic time, in milliseconds
     * @return the orders
     */
    public List<ReplicaAction> plan(FleetView view, long nowMillis) {
        if (unseenHeadsStoppedAtMillis == UNSET_MILLIS) {
            unseenHeadsStoppedAtMillis = view.firstStart()
                    ? nowMillis
                    : view.formerGroups().historyStartMillis(nowMillis) + lossDetectionMillis();
        }
        List<ReplicaAction> actions = new ArrayList<>();
        Map<InstanceId, UpstreamEntry> byId = new LinkedHashMap<>();
        view.entries().forEach(entry -> byId.put(entry.id(), entry));
        Map<ReplicaKey, Replica> replicas = ReplicaIndex.of(view.entries());
        advanceForming(view, replicas, byId, nowMillis, actions);
        List<CountedGroup> groups = inspectExisting(view, replicas, byId, nowMillis);
        orderLeaves(replicas, nowMillis, actions);
        peaks.update(groups, Sets.union(replicas.keySet(), forming.keySet()), dissolving.keySet());
        Map<String, Integer> healthy = GroupPeaks.capacity(groups);
        utilization.update(view, healthy, nowMillis);
        List<UpstreamEntry> idleEvacuated = new ArrayList<>();
        List<UpstreamEntry> free = freeUpstreams(view, replicas, nowMillis, idleEvacuated);
        int serving = groups.size() - forming.size();
        boolean loadsAvailable = formGroups(view, free, healthy, nowMillis);
        advanceForming(view, replicas, byId, nowMillis, actions);
        if (loadsAvailable) {
            stager.plan(
                    view,
                    ModelUtilization.byNeed(view, healthy),
                    utilization.underProvisioned(nowMillis),
                    free,
                    limiter,
                    nowMillis,
                    actions);
        }
        summary = summarize(view, serving, free, idleEvacuated);
        idle = () -> IdleUpstreams.of(view, free, idleEvacuated.size());
        freeCopies = () -> FreeCopies.of(view, free);
        return actions;
    }

    /**
     * Records the result of an order.
     *
     * @param action the order
     * @param result the result
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void onResult(ReplicaAction action, OrderResult result, long nowMillis) {
        switch (result) {
            case UNKNOWN -> reachability.recordNoAnswer(action.target(), nowMillis);
            case NO_SUCH_UPSTREAM, REFUSED, CONFLICT -> reachability.recordAbsent(action.target(), nowMillis);
            case ACCEPTED, FENCED -> reachability.recordAnswer(action.target());
        }
        switch (action) {
            case ReplicaAction.Join join -> formingOf(join.replica()).ifPresent(group -> group.onResult(join, result));
            case ReplicaAction.Open open -> formingOf(open.replica()).ifPresent(group -> group.onResult(open, result));
            case ReplicaAction.Leave leave -> onLeaveResult(leave, result, nowMillis);
            case ReplicaAction.Stage stage -> stager.onResult(stage, result);
        }
    }

    /**
     * Returns the state of the groups and upstreams after the last call of {@link #plan}.
     *
     * @return the counts
     */
    public PlanSummary summary() {
        return summary;
    }

    /**
     * Returns why upstreams were free after the last call of {@link #plan}.
     *
     * @return numbers by reason
     */
    public IdleUpstreams idleUpstreams() {
        return idle.get();
    }

    /**
     * Returns which models were on the hosts of free upstreams after the last call of {@link #plan}.
     *
     * @return numbers by fabric domain and model
     */
    public FreeCopies freeCopies() {
        return freeCopies.get();
    }

    private PlanSummary summarize(
            FleetView view, int serving, List<UpstreamEntry> usable, List<UpstreamEntry> idleEvacuated) {
        List<UpstreamEntry> free = new ArrayList<>(usable);
        free.addAll(idleEvacuated);
        Set<InstanceId> assigned = new HashSet<>();
        forming.values().forEach(group -> assigned.addAll(group.members()));
        Set<InstanceId> freeIds = new HashSet<>();
        free.forEach(entry -> freeIds.add(entry.id()));
        int held = 0;
        for (UpstreamEntry entry : view.entries()) {
            boolean serves = entry.membership()
                    .map(Membership::replica)
                    .filter(key -> !dissolving.containsKey(key))
                    .isPresent();
            if (!serves && !assigned.contains(entry.id()) && !freeIds.contains(entry.id())) {
                held++;
            }
        }
        int prepared = (int) free.stream()
                .filter(entry ->
                        view.engine().models().stream().anyMatch(model -> MemberSelector.hasModel(entry, model.name())))
                .count();
        return new PlanSummary(
                serving,
                forming.size(),
                dissolving.size(),
                free.size(),
                prepared,
                held,
                view.entries().size());
    }

    private Optional<FormingReplica> formingOf(ReplicaKey key) {
        return Optional.ofNullable(forming.get(key));
    }

    private void onLeaveResult(ReplicaAction.Leave leave, OrderResult result, long nowMillis) {
        ReplicaKey key = leave.replica();
        DissolvingReplica group = dissolving.getOrDefault(key, kept.get(key));
        if (group == null) {
            return;
        }
        group.onResult(leave, result, nowMillis);
        if (group.mayHaveLostMember() && kept.remove(key) != null) {
            dissolving.put(key, group);
        }
    }

    private void advanceForming(
            FleetView view,
            Map<ReplicaKey, Replica> replicas,
            Map<InstanceId, UpstreamEntry> byId,
            long nowMillis,
            List<ReplicaAction> actions) {
        Predicate<UpstreamEntry> mayJoin = entry -> mayJoin(view, replicas, entry, nowMillis);
        for (FormingReplica group : List.copyOf(forming.values())) {
            FormingReplica.Progress progress = view.lost().contains(group.key())
                    ? FormingReplica.Progress.FAILED
                    : group.advance(byId, mayJoin, nowMillis, actions);
            switch (progress) {
                case WAITING -> {}
                case SERVING -> forming.remove(group.key());
                case FAILED -> giveUp(group, replicas, nowMillis);
            }
        }
    }

    private void giveUp(FormingReplica group, Map<ReplicaKey, Replica> replicas, long nowMillis) {
        forming.remove(group.key());
        Replica replica = replicas.getOrDefault(group.key(), new Replica(group.key(), List.of()));
        if (group.mayBeOpen()) {
            dissolve(replica);
        } else {
            // A later controller may adopt the group and open its head as long as the members are listed in it.
            neverOpened.put(group.key(), nowMillis);
            dissolving.put(group.key(), DissolvingReplica.neverOpened(replica, stallMillis));
        }
    }

    private void dissolve(Replica replica) {
        kept.remove(replica.key());
        neverOpened.remove(replica.key());
        dissolving.computeIfAbsent(replica.key(), key -> new DissolvingReplica(replica, stallMillis));
    }

    /** Adopts or dissolves the reported groups that this planner does not track yet. Returns those not dissolved. */
    private List<CountedGroup> inspectExisting(
            FleetView view, Map<ReplicaKey, Replica> replicas, Map<InstanceId, UpstreamEntry> byId, long nowMillis) {
        List<CountedGroup> groups = new ArrayList<>();
        leavingSince.keySet().retainAll(replicas.keySet());
        kept.keySet().retainAll(replicas.keySet());
        for (DissolvingReplica group : List.copyOf(dissolving.values())) {
            group.observe(members(replicas, group.key()), byId, nowMillis);
            if (dissolvingDone(view, group, replicas.get(group.key()), nowMillis)) {
                dissolving.remove(group.key());
                if (replicas.containsKey(group.key())) {
                    kept.put(group.key(), group);
                }
            }
        }
        neverOpened.replaceAll((key, atMillis) -> dissolving.containsKey(key) ? nowMillis : atMillis);
        // Members that left earlier may join by now, whether the head was opened or not.
        neverOpened.values().removeIf(atMillis -> nowMillis - atMillis > lossDetectionMillis());
        for (Replica replica : replicas.values()) {
            ReplicaKey key = replica.key();
            if (forming.containsKey(key) || dissolving.containsKey(key)) {
                continue;
            }
            boolean evacuated = replica.head().filter(view::isEvacuated).isPresent();
            inspect(view, replica, nowMillis).ifPresent(model -> groups.add(new CountedGroup(key, model, evacuated)));
        }
        for (FormingReplica group : forming.values()) {
            UpstreamEntry head = byId.get(group.members().get(0));
            groups.add(new CountedGroup(group.key(), group.model(), head != null && view.isEvacuated(head)));
        }
        return groups;
    }

    /**
     * Returns whether a group no longer needs to be dissolved: nothing is left of it, or it is complete and not lost, as
     * after a partition of its failure domain or a long silence during which its members received no order.
     */
    private boolean dissolvingDone(FleetView view, DissolvingReplica group, Replica listed, long nowMillis) {
        if (listed == null) {
            return !group.anyMemberLeft() || group.headStopped(nowMillis);
        }
        boolean serves = group.key()
                .model()
                .flatMap(view.engine()::model)
                .filter(model -> listed.serving(model.groupSize()))
                .isPresent();
        return serves && !group.mayHaveLostMember() && !view.lost().contains(group.key());
    }

    private Optional<String> inspect(FleetView view, Replica replica, long nowMillis) {
        Optional<ModelProfile> model = replica.key().model().flatMap(view.engine()::model);
        boolean lost = view.lost().contains(replica.key());
        if (model.isEmpty() || lost || replica.head().isEmpty()) {
            dissolve(replica);
            return Optional.empty();
        }
        if (replica.members().size() != model.get().groupSize()) {
            dissolve(replica);
            return Optional.empty();
        }
        if (replica.serving(model.get().groupSize())) {
            return Optional.of(model.get().name());
        }
        if (replica.members().stream().anyMatch(UpstreamEntry::leaving)) {
            dissolveAfterGrace(replica, nowMillis);
            return Optional.empty();
        }
        boolean broken = replica.members().stream()
                .anyMatch(member -> member.membership().orElseThrow().state() == MemberState.BROKEN);
        if (broken) {
            dissolve(replica);
            return Optional.empty();
        }
        adopt(replica, model.get(), nowMillis);
        return Optional.empty();
    }

    private void dissolveAfterGrace(Replica replica, long nowMillis) {
        long since = leavingSince.computeIfAbsent(replica.key(), key -> nowMillis);
        if (nowMillis - since >= LEAVING_GRACE_MILLIS) {
            dissolve(replica);
        }
    }

    private void adopt(Replica replica, ModelProfile model, long nowMillis) {
        neverOpened.remove(replica.key());
        forming.put(
                replica.key(),
                new FormingReplica(
                        replica.key(), model.name(), replica.members(), nowMillis, model.loadMillis(), true));
    }

    private void orderLeaves(Map<ReplicaKey, Replica> replicas, long nowMillis, List<ReplicaAction> actions) {
        for (DissolvingReplica group : dissolving.values()) {
            group.orderLeaves(members(replicas, group.key()), nowMillis, actions);
        }
    }

    private static List<UpstreamEntry> members(Map<ReplicaKey, Replica> replicas, ReplicaKey key) {
        Replica replica = replicas.get(key);
        return replica == null ? List.of() : replica.members();
    }

    /** Returns the upstreams that may join a group, and adds those that could if their domain were not evacuated. */
    private List<UpstreamEntry> freeUpstreams(
            FleetView view, Map<ReplicaKey, Replica> replicas, long nowMillis, List<UpstreamEntry> idleEvacuated) {
        Set<InstanceId> assigned = new HashSet<>();
        forming.values().forEach(group -> assigned.addAll(group.members()));
        List<UpstreamEntry> free = new ArrayList<>();
        for (UpstreamEntry entry : view.entries()) {
            boolean usable = !entry.leaving() && reachability.reachable(entry.id(), nowMillis);
            if (usable && !assigned.contains(entry.id()) && mayJoin(view, replicas, entry, nowMillis)) {
                (view.isEvacuated(entry) ? idleEvacuated : free).add(entry);
            }
        }
        return free;
    }

    private boolean mayJoin(FleetView view, Map<ReplicaKey, Replica> replicas, UpstreamEntry entry, long nowMillis) {
        for (DissolvingReplica group : dissolving.values()) {
            if (group.blocksJoin(entry, nowMillis)) {
                return false;
            }
        }
        return entry.membership().isEmpty()
                && nowMillis >= unseenHeadsStoppedAtMillis
                && formerHeadStopped(view, replicas, entry, nowMillis);
    }

    /** Returns whether the head of the group that an upstream has left can no longer serve. */
    private boolean formerHeadStopped(
            FleetView view, Map<ReplicaKey, Replica> replicas, UpstreamEntry entry, long nowMillis) {
        Optional<FormerGroups.FormerGroup> former = view.formerGroups().formerGroup(entry);
        if (former.isEmpty()
                || former.get().headLeft()
                || neverOpened.containsKey(former.get().replica())) {
            return true;
        }
        DissolvingReplica dissolvingGroup = dissolving.get(former.get().replica());
        if (dissolvingGroup != null && dissolvingGroup.hasMember(entry.id())) {
            // DissolvingReplica.blocksJoin has already decided, from the entries of all members.
            return true;
        }
        boolean reportsLoss = Optional.ofNullable(replicas.get(former.get().replica()))
                .flatMap(Replica::head)
                .flatMap(UpstreamEntry::membership)
                .filter(membership -> membership.state() == MemberState.BROKEN)
                .isPresent();
        return reportsLoss || nowMillis >= former.get().firstLossAtMillis() + lossDetectionMillis();
    }

    private long lossDetectionMillis() {
        return stallMillis + DissolvingReplica.DETECTION_MARGIN_MILLIS;
    }

    /**
     * Forms groups, starting with the model that needs them most. Returns false if a group is waiting for loads; these
     * take precedence over copies to spares.
     */
    private boolean formGroups(FleetView view, List<UpstreamEntry> free, Map<String, Integer> groups, long nowMillis) {
        for (FormResult result = FormResult.YES; result == FormResult.YES; ) {
            result = FormResult.NO;
            for (ModelProfile model : ModelUtilization.byNeed(view, groups)) {
                result = tryForm(view, model, free, groups, nowMillis);
                if (result == FormResult.WAITS_FOR_LOADS) {
                    return false;
                }
                if (result == FormResult.YES) {
                    groups.merge(model.name(), 1, Integer::sum);
                    break;
                }
            }
        }
        return true;
    }

    private enum FormResult {
        YES,
        NO,
        WAITS_FOR_LOADS
    }

    private FormResult tryForm(
            FleetView view, ModelProfile model, List<UpstreamEntry> free, Map<String, Integer> groups, long nowMillis) {
        List<UpstreamEntry> candidates = excludeReserve(view, model, free, groups, nowMillis);
        Optional<MemberSelector.Candidate> choice =
                MemberSelector.select(candidates, model, !view.trafficSeen(), groupsByFailureDomain(view, model));
        if (choice.isEmpty()) {
            return FormResult.NO;
        }
        if (!limiter.tryStart(nowMillis, choice.get().loads(), model.loadMillis(), view)) {
            return FormResult.WAITS_FOR_LOADS;
        }
        groupsFormed++;
        Epoch epoch = Epoch.of(controllerEpoch, groupsFormed);
        ReplicaKey key = ReplicaKey.of(model.name(), epoch.value());
        List<UpstreamEntry> members = choice.get().members();
        forming.put(key, new FormingReplica(key, model.name(), members, nowMillis, model.loadMillis(), false));
        free.removeAll(members);
        return FormResult.YES;
    }

    private int formingGroups(ModelProfile model) {
        return (int) forming.values().stream()
                .filter(group -> group.model().equals(model.name()))
                .count();
    }

    /** Excludes the fabric domains in which another group of the model would use up the reserve for repairs. */
    private List<UpstreamEntry> excludeReserve(
            FleetView view, ModelProfile model, List<UpstreamEntry> free, Map<String, Integer> groups, long nowMillis) {
        int count = groups.getOrDefault(model.name(), 0);
        if (count == 0
                || peaks.isRepair(model.name(), count)
                || utilization.mayUseReserve(view, model, groups, formingGroups(model), nowMillis)) {
            return free;
        }
        Map<String, List<UpstreamEntry>> listed = MemberSelector.byFabricDomain(view.entries());
        List<UpstreamEntry> candidates = new ArrayList<>();
        MemberSelector.byFabricDomain(free).forEach((domain, upstreams) -> {
            long reserve = Math.round(listed.get(domain).size() * RESERVE_FRACTION);
            if (upstreams.size() - model.groupSize() >= reserve) {
                candidates.addAll(upstreams);
            }
        });
        return candidates;
    }

    private Map<String, Integer> groupsByFailureDomain(FleetView view, ModelProfile model) {
        Set<InstanceId> heads = forming.values().stream()
                .filter(group -> group.model().equals(model.name()))
                .map(group -> group.members().get(0))
                .collect(Collectors.toSet());
        return MemberSelector.groupsByFailureDomain(view.entries(), model, heads);
    }
}
