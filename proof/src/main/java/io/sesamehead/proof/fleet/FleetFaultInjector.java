package io.sesamehead.proof.fleet;

import io.sesamehead.proof.FaultKind;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FabricDomain;
import io.sesamehead.state.VmId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Injects the faults that concern engines, VMs and orders, besides those of daemons, network and store. */
final class FleetFaultInjector {
    private static final double FREEZE_BEFORE_SEND_PROBABILITY = 0.15;
    private static final double LATE_ORDER_PROBABILITY = 0.2;
    private static final long OUTAGE_MILLIS = 9_000;

    private final FleetSimulation simulation;
    private final SimulationContext context;
    private final FaultInjector injector;
    private final long startMillis;
    private final long endMillis;
    private final Set<VmId> leaving = new HashSet<>();
    private final Map<FabricDomain, Integer> activeFabricOutages = new HashMap<>();

    FleetFaultInjector(FleetSimulation world, long startMillis, long endMillis) {
        this.simulation = world;
        this.context = world.context();
        this.startMillis = startMillis;
        this.endMillis = endMillis;
        this.injector = new FaultInjector(context, world, endMillis);
    }

    void scheduleFaults(int count) {
        List<Runnable> kinds = new ArrayList<>(injector.commonFaults());
        kinds.addAll(List.of(
                this::killEngine,
                this::killEngine,
                this::freezeEngine,
                this::cutFromEngine,
                this::failFabricDomain,
                this::startLeaving,
                this::startLeavingDuringOutage,
                this::changeVersion,
                this::changeVersion));
        injector.scheduleFaults(startMillis, count, kinds);
    }

    /** Sometimes stops a daemon exactly between its last check and the send of an order. */
    void maybeFreezeBeforeSend(DaemonId daemon) {
        if (isFaultPhase() && context.randomBoolean(FREEZE_BEFORE_SEND_PROBABILITY)) {
            injector.freezeBeyondLease(daemon);
        }
    }

    /** Returns a delay of an order, which may arrive late at any time. */
    long orderDelayMillis() {
        if (!isFaultPhase() || !context.randomBoolean(LATE_ORDER_PROBABILITY)) {
            return 0;
        }
        context.record().recordFault(FaultKind.DELAY);
        return context.randomMillis(1, FleetTimings.MAX_ORDER_DELAY_MILLIS);
    }

    private boolean isFaultPhase() {
        return context.nowMillis() >= startMillis && context.nowMillis() < endMillis;
    }

    private Engine randomEngine() {
        return simulation
                .engines()
                .get(context.random().nextInt(simulation.engines().size()));
    }

    private void killEngine() {
        Engine engine = randomEngine();
        if (engine.process().dead() || leaving.contains(engine.vm().id())) {
            return;
        }
        context.record().recordFault(FaultKind.KILL);
        engine.kill();
        injector.scheduleEnd(50, 8_000, engine::start);
    }

    private void freezeEngine() {
        context.record().recordFault(FaultKind.FREEZE);
        randomEngine().process().freeze(Math.min(context.randomMillis(500, 9_000), endMillis - context.nowMillis()));
    }

    private void cutFromEngine() {
        String daemon = injector.randomTarget().value();
        String engine = randomEngine().vm().id().value();
        switch (context.random().nextInt(3)) {
            case 0 -> context.network().cutOneWay(daemon, engine);
            case 1 -> context.network().cutOneWay(engine, daemon);
            default -> context.network().cutBothWays(daemon, engine);
        }
        injector.scheduleHeal(List.of());
    }

    private void failFabricDomain() {
        FabricDomain domain = randomEngine().vm().fabricDomain();
        context.record().recordFault(FaultKind.FABRIC_DOMAIN_DOWN);
        activeFabricOutages.merge(domain, 1, Integer::sum);
        updateReachability(domain);
        injector.scheduleEnd(1_000, 10_000, () -> {
            activeFabricOutages.merge(domain, -1, Integer::sum);
            updateReachability(domain);
        });
    }

    private void updateReachability(FabricDomain domain) {
        simulation.engines().stream()
                .filter(engine -> engine.vm().fabricDomain().equals(domain))
                .forEach(engine -> engine.setUnreachable(activeFabricOutages.get(domain) > 0));
    }

    private void changeVersion() {
        context.record().recordFault(FaultKind.OPERATOR_RACE);
        String version = "v" + context.nowMillis();
        simulation.operators().forEach(operator -> operator.apply(version));
    }

    /** The engine or the platform's list announces first; later the VM goes away and comes back as a new one. */
    private void startLeaving() {
        Engine engine = randomEngine();
        VmId vm = engine.vm().id();
        if (engine.process().dead() || !leaving.add(vm)) {
            return;
        }
        context.record().recordFault(FaultKind.LEAVE);
        simulation.checker().leavingStarted(vm);
        if (context.randomBoolean(0.8)) {
            context.queue().after(context.randomMillis(0, 4_000), engine::startLeaving);
        }
        simulation.vmList().setLeaving(vm, true);
        context.queue().after(context.randomMillis(9_000, 16_000), () -> terminate(engine));
    }

    private void terminate(Engine engine) {
        VmId vm = engine.vm().id();
        simulation.checker().leavingEnded(vm);
        engine.kill();
        simulation.vmList().remove(vm);
        context.queue().after(context.randomMillis(5_000, 8_000), () -> {
            engine.start();
            simulation.vmList().add(engine.vm());
            leaving.remove(vm);
        });
    }

    /** Without the store the controller cannot release the group, so that only the daemons' own exclusion works. */
    private void startLeavingDuringOutage() {
        context.store().setUnavailable(true);
        startLeaving();
        context.queue().after(OUTAGE_MILLIS, () -> context.store().setUnavailable(false));
    }
}
