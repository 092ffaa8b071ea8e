package io.sesamehead.coordination.replica;

import io.sesamehead.coordination.catalog.ModelProfile;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.InstanceId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Plans the groups of one service for the holder of the controller lease. All that must outlast a holder is in the
 * upstreams' own reports: a new planner adopts the groups that stand and finishes those that form. Not thread-safe.
 */
public final class FleetPlanner {
    /** Part of a fabric domain's upstreams that stays free for repairs. */
    private static final double RESERVE_SHARE = 0.2;
    /** Part of a model's places in use above which the reserve is given up for another group. */
    private static final double HIGH_USE = 0.6;
    /** Time for which a model's use must be that high, in milliseconds: calls pile up at a lost group for about as long. */
    private static final long LASTING_USE_MILLIS = 3_000;
    /** Time that calls have to end at a group with a leaving member, in milliseconds: a stream's usual length. */
    private static final long LEAVING_GRACE_MILLIS = 1_500;

    private static final long NOT_KNOWN = Long.MIN_VALUE;

    private final long controllerEpoch;
    private final long stallMillis;
    private final LoadLimiter limiter = new LoadLimiter();
    private final SpareStaging staging = new SpareStaging();
    private final Reachability reachability = new Reachability();
    private final Map<ReplicaKey, FormingReplica> forming = new LinkedHashMap<>();
    private final Map<ReplicaKey, DissolvingReplica> dissolving = new HashMap<>();
    private final Map<ReplicaKey, Long> leavingSince = new HashMap<>();
    private final Set<ReplicaKey> abandoned = new HashSet<>();
    private final Map<String, Integer> mostGroups = new HashMap<>();
    private final Map<String, Long> highUseSince = new HashMap<>();
    /**
     * Before this moment an upstream without a group may have left one that this planner has never seen, and whose head
     * still serves.
     */
    private long pastKnownFromMillis = NOT_KNOWN;

    private long groupsFormed;
    private PlanSummary summary = new PlanSummary(0, 0, 0, 0, 0, 0, 0);

    /**
     * Creates a planner for one term of the lease.
     *
     * @param controllerEpoch epoch of the lease, above those of all earlier holders
     * @param stallMillis time in which a head notices that a member is missing, in milliseconds
     */
    public FleetPlanner(long controllerEpoch, long stallMillis) {
        this.controllerEpoch = controllerEpoch;
        this.stallMillis = stallMillis;
    }

    /**
     * Decides the orders to send now.
     *
     * @param view the fleet as known now
     * @param nowMillis present steady time, in milliseconds
     * @return the orders
     */
    public List<ReplicaAction> plan(FleetView view, long nowMillis) {
        if (pastKnownFromMillis == NOT_KNOWN) {
            pastKnownFromMillis =
                    view.firstStart() ? nowMillis : view.formerGroups().followedSince(nowMillis) + noticeMillis();
        }
        List<ReplicaAction> actions = new ArrayList<>();
        Map<InstanceId, UpstreamEntry> byId = new LinkedHashMap<>();
        view.entries().forEach(entry -> byId.put(entry.id(), entry));
        Map<ReplicaKey, Replica> replicas = ReplicaIndex.of(view.entries());
        advanceForming(view, replicas, byId, nowMillis, actions);
        Map<String, Integer> healthy = inspectStanding(view, replicas, nowMillis);
        advanceDissolving(replicas, byId, nowMillis, actions);
        noteMostGroups(healthy);
        noteHighUse(view, healthy, nowMillis);
        List<UpstreamEntry> free = freeUpstreams(view, replicas, nowMillis);
        int standing = healthy.values().stream().mapToInt(Integer::intValue).sum() - forming.size();
        boolean loadsLeft = formGroups(view, free, healthy, nowMillis);
        advanceForming(view, replicas, byId, nowMillis, actions);
        if (loadsLeft) {
            staging.plan(view, byNeed(view, healthy), shortModels(nowMillis), free, limiter, nowMillis, actions);
        }
        summary = summarize(view, standing, free);
        return actions;
    }

    /**
     * Takes the end of an order.
     *
     * @param action the order
     * @param result how it ended
     * @param nowMillis present steady time, in milliseconds
     */
    public void onResult(ReplicaAction action, OrderResult result, long nowMillis) {
        switch (result) {
            case UNKNOWN -> reachability.unanswered(action.target(), nowMillis);
            case NO_SUCH_UPSTREAM -> reachability.absent(action.target(), nowMillis);
            case REFUSED -> reachability.absent(action.target(), nowMillis);
            case ACCEPTED, FENCED -> reachability.answered(action.target());
        }
        switch (action) {
            case ReplicaAction.Join join -> formingOf(join.replica()).ifPresent(group -> group.onResult(join, result));
            case ReplicaAction.Open open -> formingOf(open.replica()).ifPresent(group -> group.onResult(open, result));
            case ReplicaAction.Leave leave ->
                dissolvingOf(leave.replica()).ifPresent(group -> group.onResult(leave, result, nowMillis));
            case ReplicaAction.Stage stage -> staging.onResult(stage, result);
        }
    }

    /**
     * Returns where the upstreams stood after the last step.
     *
     * @return the counts
     */
    public PlanSummary summary() {
        return summary;
    }

    private PlanSummary summarize(FleetView view, int standing, List<UpstreamEntry> free) {
        Set<InstanceId> used = new HashSet<>();
        forming.values().forEach(group -> used.addAll(group.members()));
        Set<InstanceId> freeIds = new HashSet<>();
        free.forEach(entry -> freeIds.add(entry.id()));
        int held = 0;
        for (UpstreamEntry entry : view.entries()) {
            boolean serves = entry.membership()
                    .map(Membership::replica)
                    .filter(key -> !dissolving.containsKey(key) && !abandoned.contains(key))
                    .isPresent();
            if (!serves && !used.contains(entry.id()) && !freeIds.contains(entry.id())) {
                held++;
            }
        }
        int prepared = (int) free.stream()
                .filter(entry ->
                        view.engine().models().stream().anyMatch(model -> MemberChoice.hasModel(entry, model.name())))
                .count();
        return new PlanSummary(
                standing,
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

    private Optional<DissolvingReplica> dissolvingOf(ReplicaKey key) {
        return Optional.ofNullable(dissolving.get(key));
    }

    private void advanceForming(
            FleetView view,
            Map<ReplicaKey, Replica> replicas,
            Map<InstanceId, UpstreamEntry> byId,
            long nowMillis,
            List<ReplicaAction> actions) {
        for (FormingReplica group : List.copyOf(forming.values())) {
            FormingReplica.Progress progress = view.stalled().contains(group.key())
                    ? FormingReplica.Progress.FAILED
                    : group.advance(byId, nowMillis, actions);
            switch (progress) {
                case WAITING -> {}
                case SERVING -> forming.remove(group.key());
                case FAILED -> giveUp(group, replicas);
            }
        }
    }

    private void giveUp(FormingReplica group, Map<ReplicaKey, Replica> replicas) {
        forming.remove(group.key());
        if (!group.mayBeOpen()) {
            abandoned.add(group.key());
            return;
        }
        Replica replica = replicas.getOrDefault(group.key(), new Replica(group.key(), List.of()));
        dissolve(replica);
    }

    private void dissolve(Replica replica) {
        dissolving.computeIfAbsent(replica.key(), key -> new DissolvingReplica(replica, stallMillis));
    }

    /** Adopts or gives up the groups that no entry of this planner covers; returns the healthy groups by model. */
    private Map<String, Integer> inspectStanding(FleetView view, Map<ReplicaKey, Replica> replicas, long nowMillis) {
        Map<String, Integer> healthy = new HashMap<>();
        leavingSince.keySet().retainAll(replicas.keySet());
        dissolving.values().removeIf(group -> settled(view, group, replicas.get(group.key()), nowMillis));
        abandoned.retainAll(replicas.keySet());
        for (Replica replica : replicas.values()) {
            ReplicaKey key = replica.key();
            if (forming.containsKey(key) || dissolving.containsKey(key) || abandoned.contains(key)) {
                continue;
            }
            inspect(view, replica, nowMillis).ifPresent(model -> healthy.merge(model, 1, Integer::sum));
        }
        forming.values().forEach(group -> healthy.merge(group.model(), 1, Integer::sum));
        return healthy;
    }

    /**
     * Tells whether a group need not be dissolved any more: nothing is left of it, or it has come back whole, as after a cut
     * of its failure domain in which its members got no order.
     */
    private boolean settled(FleetView view, DissolvingReplica group, Replica listed, long nowMillis) {
        if (listed == null) {
            return !group.anyLeft() || group.headStopped(nowMillis);
        }
        boolean serves = group.key()
                .model()
                .flatMap(view.engine()::model)
                .filter(model -> listed.serving(model.size()))
                .isPresent();
        return serves && !group.anyLeft() && !view.stalled().contains(group.key());
    }

    /**
     * A new holder of the lease also counts the groups that it finds to be dissolved, so that it replaces them. Later ones
     * have been counted while they stood; with their replacements they would count twice.
     */
    private void noteMostGroups(Map<String, Integer> groups) {
        Map<String, Integer> counts = new HashMap<>(groups);
        if (mostGroups.isEmpty()) {
            dissolving.keySet().forEach(key -> key.model().ifPresent(model -> counts.merge(model, 1, Integer::sum)));
        }
        counts.forEach((model, count) -> mostGroups.merge(model, count, Math::max));
    }

    private Optional<String> inspect(FleetView view, Replica replica, long nowMillis) {
        Optional<ModelProfile> model = replica.key().model().flatMap(view.engine()::model);
        boolean stalled = view.stalled().contains(replica.key());
        if (model.isEmpty() || stalled || replica.head().isEmpty()) {
            dissolve(replica);
            return Optional.empty();
        }
        if (replica.members().size() != model.get().size()) {
            dissolve(replica);
            return Optional.empty();
        }
        if (replica.serving(model.get().size())) {
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
        forming.put(
                replica.key(),
                new FormingReplica(
                        replica.key(), model.name(), replica.members(), nowMillis, model.loadMillis(), true));
    }

    private void advanceDissolving(
            Map<ReplicaKey, Replica> replicas,
            Map<InstanceId, UpstreamEntry> byId,
            long nowMillis,
            List<ReplicaAction> actions) {
        for (DissolvingReplica group : dissolving.values()) {
            Replica replica = replicas.get(group.key());
            group.advance(replica == null ? List.of() : replica.members(), byId, nowMillis, actions);
        }
    }

    private List<UpstreamEntry> freeUpstreams(FleetView view, Map<ReplicaKey, Replica> replicas, long nowMillis) {
        Set<InstanceId> promised = new HashSet<>();
        forming.values().forEach(group -> promised.addAll(group.members()));
        List<UpstreamEntry> free = new ArrayList<>();
        for (UpstreamEntry entry : view.entries()) {
            boolean usable = !entry.leaving() && reachability.reachable(entry.id(), nowMillis);
            if (usable && !promised.contains(entry.id()) && released(view, replicas, entry, nowMillis)) {
                free.add(entry);
            }
        }
        return free;
    }

    private boolean released(FleetView view, Map<ReplicaKey, Replica> replicas, UpstreamEntry entry, long nowMillis) {
        for (DissolvingReplica group : dissolving.values()) {
            if (group.holds(entry, nowMillis)) {
                return false;
            }
        }
        Optional<ReplicaKey> key = entry.membership().map(Membership::replica);
        if (key.isPresent()) {
            return abandoned.contains(key.get()) || dissolving.containsKey(key.get());
        }
        return nowMillis >= pastKnownFromMillis && formerHeadStopped(view, replicas, entry, nowMillis);
    }

    /** Tells whether the head of the group that an upstream has left cannot serve any more. */
    private boolean formerHeadStopped(
            FleetView view, Map<ReplicaKey, Replica> replicas, UpstreamEntry entry, long nowMillis) {
        Optional<FormerGroups.Former> former = view.formerGroups().formerGroup(entry);
        if (former.isEmpty() || former.get().headLeft()) {
            return true;
        }
        DissolvingReplica ordered = dissolving.get(former.get().replica());
        if (ordered != null && ordered.listedMember(entry.id())) {
            // DissolvingReplica.holds has decided, from answers to orders that are more recent than the registry.
            return true;
        }
        boolean reportsLoss = Optional.ofNullable(replicas.get(former.get().replica()))
                .flatMap(Replica::head)
                .flatMap(UpstreamEntry::membership)
                .filter(membership -> membership.state() == MemberState.BROKEN)
                .isPresent();
        return reportsLoss || nowMillis >= former.get().firstLossMillis() + noticeMillis();
    }

    private long noticeMillis() {
        return stallMillis + DissolvingReplica.MARGIN_MILLIS;
    }

    /** Forms groups, the neediest model first. Returns false if a group waits for loads, which then go before copies. */
    private boolean formGroups(FleetView view, List<UpstreamEntry> free, Map<String, Integer> groups, long nowMillis) {
        for (Formed formed = Formed.YES; formed == Formed.YES; ) {
            formed = Formed.NO;
            for (ModelProfile model : byNeed(view, groups)) {
                formed = formOne(view, model, free, groups, nowMillis);
                if (formed == Formed.WAITS_FOR_LOADS) {
                    return false;
                }
                if (formed == Formed.YES) {
                    groups.merge(model.name(), 1, Integer::sum);
                    break;
                }
            }
        }
        return true;
    }

    private enum Formed {
        YES,
        NO,
        WAITS_FOR_LOADS
    }

    private Formed formOne(
            FleetView view, ModelProfile model, List<UpstreamEntry> free, Map<String, Integer> groups, long nowMillis) {
        List<UpstreamEntry> offered = withoutReserve(view, model, free, groups, nowMillis);
        Optional<MemberChoice.Candidate> choice =
                MemberChoice.best(offered, model, !view.trafficSeen(), groupsByFailureDomain(view, model));
        if (choice.isEmpty()) {
            return Formed.NO;
        }
        if (!limiter.tryStart(nowMillis, choice.get().loads(), model.loadMillis(), view)) {
            return Formed.WAITS_FOR_LOADS;
        }
        groupsFormed++;
        Epoch epoch = Epoch.of(controllerEpoch, groupsFormed);
        ReplicaKey key = ReplicaKey.of(model.name(), epoch.value());
        List<UpstreamEntry> members = choice.get().members();
        forming.put(key, new FormingReplica(key, model.name(), members, nowMillis, model.loadMillis(), false));
        free.removeAll(members);
        return Formed.YES;
    }

    /** Drops the domains in which a group of the model would use up the upstreams kept for repairs. */
    private List<UpstreamEntry> withoutReserve(
            FleetView view, ModelProfile model, List<UpstreamEntry> free, Map<String, Integer> groups, long nowMillis) {
        int count = groups.getOrDefault(model.name(), 0);
        boolean repair = count < mostGroups.getOrDefault(model.name(), 0);
        if (count == 0 || repair || shortModels(nowMillis).contains(model.name())) {
            return free;
        }
        Map<String, List<UpstreamEntry>> alive = MemberChoice.byFabricDomain(view.entries());
        List<UpstreamEntry> offered = new ArrayList<>();
        MemberChoice.byFabricDomain(free).forEach((domain, upstreams) -> {
            long reserve = Math.round(alive.get(domain).size() * RESERVE_SHARE);
            if (upstreams.size() - model.size() >= reserve) {
                offered.addAll(upstreams);
            }
        });
        return offered;
    }

    private static List<ModelProfile> byNeed(FleetView view, Map<String, Integer> groups) {
        List<ModelProfile> models = new ArrayList<>(view.engine().models());
        models.sort(Comparator.comparingDouble((ModelProfile model) -> need(view, model, groups))
                .reversed());
        return models;
    }

    /**
     * A group that is lost makes its model look busy until its calls have moved. Groups formed for that moment would take
     * the spares with which the next loss is repaired.
     */
    private void noteHighUse(FleetView view, Map<String, Integer> groups, long nowMillis) {
        for (ModelProfile model : view.engine().models()) {
            if (use(view, model, groups) > HIGH_USE) {
                highUseSince.putIfAbsent(model.name(), nowMillis);
            } else {
                highUseSince.remove(model.name());
            }
        }
    }

    /** Models that have lacked places for some time. */
    private Set<String> shortModels(long nowMillis) {
        return highUseSince.entrySet().stream()
                .filter(since -> nowMillis - since.getValue() >= LASTING_USE_MILLIS)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    private static double need(FleetView view, ModelProfile model, Map<String, Integer> groups) {
        int count = groups.getOrDefault(model.name(), 0);
        if (count == 0) {
            return Double.MAX_VALUE;
        }
        // A slower model keeps its groups busy for longer with the same share of the work.
        return view.trafficSeen() ? use(view, model, groups) : model.share() * model.pace() / count;
    }

    private static double use(FleetView view, ModelProfile model, Map<String, Integer> groups) {
        ModelDemand demand = view.demand().getOrDefault(model.name(), ModelDemand.NONE);
        double places = (double) view.engine().slots() * Math.max(1, groups.getOrDefault(model.name(), 0));
        return (demand.running() + demand.refusedPerSecond()) / places;
    }

    private Map<String, Integer> groupsByFailureDomain(FleetView view, ModelProfile model) {
        Map<String, Integer> counts = new HashMap<>();
        Set<InstanceId> heads = new HashSet<>();
        forming.values().stream()
                .filter(group -> group.model().equals(model.name()))
                .forEach(group -> heads.add(group.members().get(0)));
        for (UpstreamEntry entry : view.entries()) {
            boolean standing = entry.membership()
                    .filter(Membership::head)
                    .flatMap(membership -> membership.replica().model())
                    .filter(model.name()::equals)
                    .isPresent();
            if (standing || heads.contains(entry.id())) {
                counts.merge(entry.failureDomain().value(), 1, Integer::sum);
            }
        }
        return counts;
    }
}
