package io.sesamehead.coordination.replica;

import io.sesamehead.coordination.catalog.EngineProfile;
import io.sesamehead.coordination.catalog.ModelProfile;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Simulated engines that execute orders immediately, except that joins and copies take time. Each serving group has a
 * call in flight that makes progress while the head is not silent. Records a violation when an engine accepts a join
 * while the head of its current group serves.
 */
final class FakeEngines {
    static final ModelProfile BIG = new ModelProfile("big", 4, 0.57, 1.0, 16_000, 1_600);
    static final ModelProfile SMALL = new ModelProfile("small", 3, 0.43, 0.6, 12_000, 1_100);
    static final EngineProfile PROFILE = new EngineProfile(18, List.of(BIG, SMALL), 5.95, 0.06, 50_700, 7, 4.5, 6, 300);
    private static final long LOADED_READY_MILLIS = 200;
    private static final double PRE_TRAFFIC_LOAD_FACTOR = 0.1;

    private final Map<InstanceId, UpstreamEntry> entries = new LinkedHashMap<>();
    private final Map<InstanceId, Long> busyUntil = new HashMap<>();
    private final Map<InstanceId, String> copying = new HashMap<>();
    private final Map<InstanceId, UpstreamEntry> disconnected = new LinkedHashMap<>();
    private final Set<InstanceId> dead = new HashSet<>();
    private final Set<ReplicaKey> lost = new HashSet<>();
    private final Map<InstanceId, Long> silentUntil = new HashMap<>();
    private final Map<InstanceId, List<ReplicaAction>> lateOrders = new HashMap<>();
    private final Set<InstanceId> answeringWithoutLeaving = new HashSet<>();
    private final Set<InstanceId> answeringOnceAsOther = new HashSet<>();
    private final Set<TargetKey> called = new HashSet<>();
    private final TargetTable calls = new TargetTable();
    final List<ReplicaAction> orders = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    final Map<String, ModelDemand> demand = new HashMap<>();
    final FormerGroups formerGroups = new FormerGroups();
    final Set<FailureDomain> evacuated = new HashSet<>();
    boolean firstStart = true;
    boolean traffic;
    int loads;
    int unanswered;
    long now;

    void add(String name, String fabricDomain) {
        InstanceId id = new InstanceId(name);
        entries.put(
                id,
                new UpstreamEntry(
                        id,
                        1,
                        0,
                        new ServiceName("pool"),
                        new Endpoint("127.0.0.1", 1_000 + entries.size()),
                        new FailureDomain("zone-" + fabricDomain.charAt(0)),
                        18,
                        false,
                        fabricDomain,
                        List.of(),
                        List.of(),
                        Optional.empty()));
    }

    void addDomains(int domains, int enginesEach) {
        for (int domain = 0; domain < domains; domain++) {
            for (int engine = 0; engine < enginesEach; engine++) {
                add("e" + domain + "-" + engine, domain / 2 + "-" + domain);
            }
        }
    }

    /** Adds free engines to a fabric domain, with the models on their hosts. */
    void addSpares(String fabricDomain, int count, String... staged) {
        for (int i = 0; i < count; i++) {
            String name = "spare-" + fabricDomain + "-" + entries.size();
            add(name, fabricDomain);
            put(entries.get(new InstanceId(name)), List.of(staged), List.of(), Optional.empty());
        }
    }

    /** Kills an engine without notice; the registry still lists it. */
    void kill(InstanceId id) {
        dead.add(id);
        entry(id).membership().ifPresent(membership -> lost.add(membership.replica()));
    }

    /** Cuts an engine off from orders and the registry, which still lists it; the engine itself keeps running. */
    void disconnect(InstanceId id) {
        disconnected.put(id, entries.get(id));
    }

    /** Silences an engine on all connections. It then executes the orders that it has received meanwhile. */
    void silence(InstanceId id, long millis) {
        silentUntil.put(id, now + millis);
    }

    /** Lets an engine answer leave orders as if it had begun them, which it has not. */
    void answerLeavesWithoutLeaving(InstanceId id) {
        answeringWithoutLeaving.add(id);
    }

    /** Lets the answer to the next leave order to an engine be the copy of one to an order for another process. */
    void answerOnceAsOther(InstanceId id) {
        answeringOnceAsOther.add(id);
    }

    /** Lets an engine execute leave orders again. */
    void executeLeaves(InstanceId id) {
        answeringWithoutLeaving.remove(id);
    }

    /** Adds evidence that a group is lost. */
    void addLost(ReplicaKey key) {
        lost.add(key);
    }

    /** Removes the evidence that a group is lost. */
    void removeLost(ReplicaKey key) {
        lost.remove(key);
    }

    /** Removes a disconnected engine from the registry. */
    void dropFromRegistry(InstanceId id) {
        entries.remove(id);
    }

    void reconnect(InstanceId id) {
        entries.put(id, disconnected.remove(id));
    }

    void run(FleetPlanner planner, long millis) {
        for (long end = now + millis; now < end; now += 50) {
            endSilences();
            completePending();
            recordCalls();
            entries.values().forEach(entry -> formerGroups.observe(entry, now));
            lost.retainAll(ReplicaIndex.of(entries.values()).keySet());
            FleetView view = new FleetView(
                    PROFILE,
                    List.copyOf(entries.values()),
                    lost(),
                    demand,
                    traffic,
                    formerGroups,
                    firstStart,
                    evacuated);
            for (ReplicaAction action : planner.plan(view, now)) {
                orders.add(action);
                planner.onResult(action, execute(action), now);
            }
        }
    }

    private void endSilences() {
        for (InstanceId id : List.copyOf(silentUntil.keySet())) {
            if (silentUntil.get(id) <= now) {
                silentUntil.remove(id);
                List<ReplicaAction> late = lateOrders.remove(id);
                if (late != null) {
                    late.forEach(this::execute);
                }
            }
        }
    }

    private void recordCalls() {
        for (Replica replica : ReplicaIndex.of(entries.values()).values()) {
            TargetKey key = TargetKey.of(replica.key());
            boolean open = replica.head()
                    .filter(head -> head.membership().orElseThrow().state() == MemberState.OPEN)
                    .isPresent();
            if (open && called.add(key)) {
                calls.recordSent(key, now);
            }
            if (open && !silentUntil.containsKey(replica.members().get(0).id())) {
                calls.recordProgress(key, now);
            }
        }
        calls.findStalled(now);
    }

    private Set<ReplicaKey> lost() {
        Set<ReplicaKey> all = new HashSet<>(lost);
        ReplicaIndex.of(entries.values()).keySet().stream()
                .filter(key -> calls.isLost(TargetKey.of(key), now))
                .forEach(all::add);
        return all;
    }

    UpstreamEntry entry(InstanceId id) {
        return entries.get(id);
    }

    /** Returns the entry that an engine has once it has left its group. */
    UpstreamEntry withoutGroup(InstanceId id) {
        return inGroup(entries.get(id), Optional.empty());
    }

    /** Returns the entry that an engine writes once its membership has changed. */
    static UpstreamEntry inGroup(UpstreamEntry entry, Optional<Membership> membership) {
        return new UpstreamEntry(
                entry.id(),
                entry.startedAtEpochMillis(),
                entry.writes() + 1,
                entry.service(),
                entry.endpoint(),
                entry.failureDomain(),
                entry.slots(),
                entry.leaving(),
                entry.fabricDomain(),
                entry.staged(),
                entry.loaded(),
                membership);
    }

    List<Replica> serving(ModelProfile model) {
        return ReplicaIndex.of(entries.values()).values().stream()
                .filter(replica ->
                        replica.key().model().filter(model.name()::equals).isPresent())
                .filter(replica -> replica.serving(model.groupSize()))
                .filter(replica -> replica.members().stream().noneMatch(member -> dead.contains(member.id())))
                .toList();
    }

    OrderResult execute(ReplicaAction action) {
        UpstreamEntry entry = entries.get(action.target());
        if (entry == null || disconnected.containsKey(action.target()) || dead.contains(action.target())) {
            unanswered++;
            return OrderResult.UNKNOWN;
        }
        if (silentUntil.containsKey(action.target())) {
            lateOrders.computeIfAbsent(action.target(), id -> new ArrayList<>()).add(action);
            unanswered++;
            return OrderResult.UNKNOWN;
        }
        if (action instanceof ReplicaAction.Leave && answeringOnceAsOther.remove(action.target())) {
            return OrderResult.NO_SUCH_UPSTREAM;
        }
        if (action instanceof ReplicaAction.Leave && answeringWithoutLeaving.contains(action.target())) {
            return OrderResult.ACCEPTED;
        }
        switch (action) {
            case ReplicaAction.Join join -> join(entry, join);
            case ReplicaAction.Open open -> state(entry, MemberState.OPEN);
            case ReplicaAction.Leave leave -> {
                if (entry.membership()
                        .filter(m -> m.replica().equals(leave.replica()))
                        .isPresent()) {
                    put(entry, entry.staged(), List.of(), Optional.empty());
                }
            }
            case ReplicaAction.Stage stage -> {
                loads++;
                copying.put(entry.id(), stage.model());
                busyUntil.put(entry.id(), now + loadMillis(stage.model()));
            }
        }
        return OrderResult.ACCEPTED;
    }

    private void join(UpstreamEntry entry, ReplicaAction.Join join) {
        checkHeadStopped(entry, join);
        boolean held = entry.loaded().contains(join.model());
        boolean copied = entry.staged().contains(join.model());
        long millis =
                held ? LOADED_READY_MILLIS : copied ? profile(join.model()).warmLoadMillis() : loadMillis(join.model());
        if (!held && !copied) {
            loads++;
        }
        busyUntil.put(entry.id(), now + millis);
        int rank = join.members().indexOf(entry.id());
        put(
                entry,
                List.of(join.model()),
                List.of(join.model()),
                Optional.of(new Membership(join.replica(), rank, MemberState.JOINING)));
    }

    private void checkHeadStopped(UpstreamEntry entry, ReplicaAction.Join join) {
        Optional<ReplicaKey> current = entry.membership().map(Membership::replica);
        if (current.isEmpty() || current.get().equals(join.replica())) {
            return;
        }
        Replica group = ReplicaIndex.of(entries.values()).get(current.get());
        boolean headOpen = group.head()
                .filter(head -> head.membership().orElseThrow().state() == MemberState.OPEN)
                .isPresent();
        if (headOpen) {
            violations.add(entry.id() + " joins " + join.replica() + " while " + current.get() + " serves");
        }
    }

    private void completePending() {
        for (InstanceId id : List.copyOf(busyUntil.keySet())) {
            if (busyUntil.get(id) > now || !entries.containsKey(id) || dead.contains(id)) {
                continue;
            }
            busyUntil.remove(id);
            UpstreamEntry entry = entries.get(id);
            String copied = copying.remove(id);
            if (copied != null) {
                put(entry, List.of(copied), entry.loaded(), entry.membership());
            } else if (entry.membership().isPresent()) {
                state(entry, MemberState.READY);
            }
        }
    }

    private void state(UpstreamEntry entry, MemberState state) {
        Optional<Membership> changed =
                entry.membership().map(membership -> new Membership(membership.replica(), membership.rank(), state));
        put(entry, entry.staged(), entry.loaded(), changed);
    }

    private void put(UpstreamEntry entry, List<String> staged, List<String> loaded, Optional<Membership> membership) {
        entries.put(
                entry.id(),
                new UpstreamEntry(
                        entry.id(),
                        entry.startedAtEpochMillis(),
                        entry.writes() + 1,
                        entry.service(),
                        entry.endpoint(),
                        entry.failureDomain(),
                        entry.slots(),
                        entry.leaving(),
                        entry.fabricDomain(),
                        staged,
                        loaded,
                        membership));
    }

    private long loadMillis(String model) {
        return (long) (profile(model).loadMillis() * (traffic ? 1 : PRE_TRAFFIC_LOAD_FACTOR));
    }

    private static ModelProfile profile(String model) {
        return PROFILE.model(model).orElseThrow();
    }
}
