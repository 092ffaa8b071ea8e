package io.sesamehead.proof.fleet;

import io.sesamehead.coordination.config.ReadinessGate;
import io.sesamehead.coordination.config.ReadinessDecision;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.proof.FakeStore.VersionedValue;
import io.sesamehead.proof.FaultKind;
import io.sesamehead.proof.Invariant;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Generation;
import io.sesamehead.state.Incarnation;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Two failure domains whose daemons follow the changes of two operators. Checks invariant config from outside. */
final class ConfigWorld implements Deployment {
    private static final long FAULTS_START_MILLIS = 5_000;
    private static final long FAULTS_END_MILLIS = 55_000;
    private static final long LAST_CHANGE_MILLIS = FAULTS_END_MILLIS;
    private static final int FAULTS = 14;
    private static final int DAEMONS_PER_DOMAIN = 3;
    private static final long OBSERVE_MILLIS = 100;

    private final Simulation sim;
    private final List<FailureDomain> domains = List.of(new FailureDomain("bohol"), new FailureDomain("cebu"));
    private final List<DaemonEntry> listed = new ArrayList<>();
    private final Map<DaemonId, Node> nodes = new TreeMap<>();
    private final Map<Incarnation, Generation> lastSeen = new HashMap<>();
    private final Map<Incarnation, Boolean> wasReady = new HashMap<>();
    private final ReleaseLog releases;
    private final List<Operator> operators;
    private final boolean cutOff;

    ConfigWorld(Simulation sim) {
        this.sim = sim;
        this.releases = new ReleaseLog(sim);
        this.operators = List.of(operator("operator-a"), operator("operator-b"));
        this.cutOff = sim.chance(0.3);
    }

    void run() {
        for (FailureDomain domain : domains) {
            for (int i = 0; i < DAEMONS_PER_DOMAIN; i++) {
                DaemonId daemon = new DaemonId(domain.value() + "-" + i);
                listed.add(new DaemonEntry(daemon, sim.newIncarnation(), domain, daemon + ":1", false));
            }
        }
        listed.forEach(entry -> start(entry.daemon()));
        sim.queue().after(100, () -> operators.get(0).apply("1"));
        planChanges();
        FaultScript faults = new FaultScript(sim, this, FAULTS_END_MILLIS);
        faults.plan(FAULTS_START_MILLIS, FAULTS, faults.common());
        sim.queue().every(OBSERVE_MILLIS, this::observe);
        sim.queue().after(FAULTS_END_MILLIS, this::faultsEnded);
        sim.queue().runUntil(FAULTS_END_MILLIS + FleetTimes.CONFIG_BOUND_MILLIS);
        releases.finish();
        checkConverged();
    }

    @Override
    public List<DaemonId> daemonIds() {
        return listed.stream().map(DaemonEntry::daemon).toList();
    }

    @Override
    public SimProcess process(DaemonId daemon) {
        return nodes.get(daemon).process();
    }

    @Override
    public void start(DaemonId daemon) {
        DaemonEntry entry = listed.stream()
                .filter(it -> it.daemon().equals(daemon))
                .findFirst()
                .orElseThrow();
        DaemonEntry self =
                new DaemonEntry(daemon, sim.newIncarnation(), entry.failureDomain(), entry.peerAddress(), false);
        Node node = new Node(sim, self, sim.newProcess(), nodes, listed);
        nodes.put(daemon, node);
        node.start();
    }

    @Override
    public Optional<DaemonId> preferredTarget() {
        return Optional.empty();
    }

    @Override
    public void disturbed(DaemonId daemon, boolean isDisturbed) {}

    @Override
    public void beforeRestore() {
        releases.beforeRestore();
    }

    private Operator operator(String name) {
        return new Operator(sim, name, domains.get(0), releases::claimed);
    }

    private void planChanges() {
        for (long at = 3_000; at < LAST_CHANGE_MILLIS; at += sim.between(2_000, 6_000)) {
            String version = Long.toString(at);
            boolean race = sim.chance(0.5);
            Operator first = operators.get(sim.random().nextInt(2));
            sim.queue().after(at, () -> {
                if (race) {
                    sim.record().recordFault(FaultKind.OPERATOR_RACE);
                    operators.forEach(operator -> operator.apply(version));
                } else {
                    first.apply(version);
                }
            });
        }
    }

    /** In some runs one failure domain remains cut off from the platform, so that only relays carry the release. */
    private void faultsEnded() {
        sim.network().heal();
        if (cutOff) {
            daemonIds().stream()
                    .filter(daemon -> daemon.value().startsWith(domains.get(0).value()))
                    .forEach(daemon -> sim.network().cutBothWays(daemon.value(), StoreClient.STORE));
        }
    }

    private void observe() {
        releases.observe();
        for (Node node : nodes.values()) {
            Incarnation life = node.self().incarnation();
            Generation before = lastSeen.getOrDefault(life, Generation.NONE);
            Generation now = node.generation();
            check(now.compareTo(before) >= 0, node.self().daemon() + " went from " + before + " to " + now);
            lastSeen.put(life, now);
            checkReadiness(node);
        }
    }

    private void checkReadiness(Node node) {
        Incarnation life = node.self().incarnation();
        if (!node.process().running() || wasReady.containsKey(life)) {
            return;
        }
        boolean ready =
                ReadinessGate.decide(node.answered(), node.config().highestReported(), node.generation(), false, false)
                        instanceof ReadinessDecision.Ready;
        if (ready) {
            wasReady.put(life, true);
            boolean behind = node.generation().compareTo(node.highestHeard()) < 0;
            check(
                    !behind,
                    node.self().daemon() + " became ready with " + node.generation() + " below " + node.highestHeard());
        }
    }

    /** After a restore the store can hold less than the daemons; the highest generation that is left anywhere counts. */
    private void checkConverged() {
        long inStore = sim.store()
                .peek(Releases.OBJECT)
                .map(VersionedValue::value)
                .map(value -> ((AcceptedRelease) ((StoredObject) value).content())
                        .generation()
                        .value())
                .orElse(0L);
        long held = nodes.values().stream()
                .mapToLong(node -> node.generation().value())
                .max()
                .orElse(0);
        long expected = Math.max(inStore, held);
        for (Node node : nodes.values()) {
            check(
                    node.generation().value() == expected,
                    node.self().daemon() + " holds " + node.generation() + " instead of " + expected);
        }
        check(expected > 1 && releases.accepted() > 1, "not alive: no change was accepted");
    }

    private void check(boolean holds, String detail) {
        sim.record().check(holds, Invariant.CONFIG, sim.nowMillis(), detail);
    }
}
