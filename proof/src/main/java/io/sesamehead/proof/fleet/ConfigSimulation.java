package io.sesamehead.proof.fleet;

import io.sesamehead.coordination.config.ReadinessDecision;
import io.sesamehead.coordination.config.ReadinessGate;
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
final class ConfigSimulation implements Deployment {
    private static final long FAULTS_START_MILLIS = 5_000;
    private static final long FAULTS_END_MILLIS = 55_000;
    private static final long LAST_CHANGE_MILLIS = FAULTS_END_MILLIS;
    private static final int FAULT_COUNT = 14;
    private static final int DAEMONS_PER_DOMAIN = 3;
    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final SimulationContext context;
    private final List<FailureDomain> domains = List.of(new FailureDomain("bohol"), new FailureDomain("cebu"));
    private final List<DaemonEntry> daemonEntries = new ArrayList<>();
    private final Map<DaemonId, Node> nodes = new TreeMap<>();
    private final Map<Incarnation, Generation> lastGenerations = new HashMap<>();
    private final Map<Incarnation, Boolean> wasReady = new HashMap<>();
    private final ReleaseHistoryChecker releaseChecker;
    private final List<Operator> operators;
    private final boolean domainStaysPartitioned;

    ConfigSimulation(SimulationContext sim) {
        this.context = sim;
        this.releaseChecker = new ReleaseHistoryChecker(sim);
        this.operators = List.of(operator("operator-a"), operator("operator-b"));
        this.domainStaysPartitioned = sim.randomBoolean(0.3);
    }

    void run() {
        for (FailureDomain domain : domains) {
            for (int i = 0; i < DAEMONS_PER_DOMAIN; i++) {
                DaemonId daemon = new DaemonId(domain.value() + "-" + i);
                daemonEntries.add(new DaemonEntry(daemon, context.newIncarnation(), domain, daemon + ":1", false));
            }
        }
        daemonEntries.forEach(entry -> start(entry.daemon()));
        context.queue().after(100, () -> operators.get(0).apply("1"));
        scheduleChanges();
        FaultInjector faults = new FaultInjector(context, this, FAULTS_END_MILLIS);
        faults.scheduleFaults(FAULTS_START_MILLIS, FAULT_COUNT, faults.commonFaults());
        context.queue().every(CHECK_INTERVAL_MILLIS, this::checkState);
        context.queue().after(FAULTS_END_MILLIS, this::endFaults);
        context.queue().runUntil(FAULTS_END_MILLIS + FleetTimings.CONFIG_BOUND_MILLIS);
        releaseChecker.finish();
        checkConverged();
    }

    @Override
    public List<DaemonId> daemonIds() {
        return daemonEntries.stream().map(DaemonEntry::daemon).toList();
    }

    @Override
    public SimProcess process(DaemonId daemon) {
        return nodes.get(daemon).process();
    }

    @Override
    public void start(DaemonId daemon) {
        DaemonEntry entry = daemonEntries.stream()
                .filter(it -> it.daemon().equals(daemon))
                .findFirst()
                .orElseThrow();
        DaemonEntry self =
                new DaemonEntry(daemon, context.newIncarnation(), entry.failureDomain(), entry.peerAddress(), false);
        Node node = new Node(context, self, context.newProcess(), nodes, daemonEntries);
        nodes.put(daemon, node);
        node.start();
    }

    @Override
    public Optional<DaemonId> preferredTarget() {
        return Optional.empty();
    }

    @Override
    public void disturbanceChanged(DaemonId daemon, boolean isDisturbed) {}

    @Override
    public void beforeRestore() {
        releaseChecker.beforeRestore();
    }

    private Operator operator(String name) {
        return new Operator(context, name, domains.get(0), releaseChecker::checkClaim);
    }

    private void scheduleChanges() {
        for (long at = 3_000; at < LAST_CHANGE_MILLIS; at += context.randomMillis(2_000, 6_000)) {
            String version = Long.toString(at);
            boolean race = context.randomBoolean(0.5);
            Operator first = operators.get(context.random().nextInt(2));
            context.queue().after(at, () -> {
                if (race) {
                    context.record().recordFault(FaultKind.OPERATOR_RACE);
                    operators.forEach(operator -> operator.apply(version));
                } else {
                    first.apply(version);
                }
            });
        }
    }

    /** In some runs one failure domain remains cut off from the platform, so that only relays carry the release. */
    private void endFaults() {
        context.network().heal();
        if (domainStaysPartitioned) {
            daemonIds().stream()
                    .filter(daemon -> daemon.value().startsWith(domains.get(0).value()))
                    .forEach(daemon -> context.network().cutBothWays(daemon.value(), StoreClient.STORE));
        }
    }

    private void checkState() {
        releaseChecker.observe();
        for (Node node : nodes.values()) {
            Incarnation life = node.self().incarnation();
            Generation before = lastGenerations.getOrDefault(life, Generation.NONE);
            Generation now = node.generation();
            check(now.compareTo(before) >= 0, node.self().daemon() + " went from " + before + " to " + now);
            lastGenerations.put(life, now);
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
            boolean behind = node.generation().compareTo(node.highestSeenGeneration()) < 0;
            check(
                    !behind,
                    node.self().daemon() + " became ready with " + node.generation() + " below "
                            + node.highestSeenGeneration());
        }
    }

    /** After a restore the store can hold less than the daemons; the highest generation that is left anywhere counts. */
    private void checkConverged() {
        long inStore = context.store()
                .peek(ReleaseFactory.OBJECT)
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
        check(expected > 1 && releaseChecker.acceptedCount() > 1, "not alive: no change was accepted");
    }

    private void check(boolean holds, String detail) {
        context.record().check(holds, Invariant.CONFIG, context.nowMillis(), detail);
    }
}
