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
final class FleetFaults {
    private static final double FREEZE_BEFORE_SEND_CHANCE = 0.15;
    private static final double LATE_ORDER_CHANCE = 0.2;
    private static final long OUTAGE_MILLIS = 9_000;

    private final FleetWorld world;
    private final Simulation sim;
    private final FaultScript script;
    private final long startMillis;
    private final long endMillis;
    private final Set<VmId> leaving = new HashSet<>();
    private final Map<FabricDomain, Integer> dark = new HashMap<>();

    FleetFaults(FleetWorld world, long startMillis, long endMillis) {
        this.world = world;
        this.sim = world.sim();
        this.startMillis = startMillis;
        this.endMillis = endMillis;
        this.script = new FaultScript(sim, world, endMillis);
    }

    void plan(int count) {
        List<Runnable> kinds = new ArrayList<>(script.common());
        kinds.addAll(List.of(
                this::killEngine,
                this::killEngine,
                this::freezeEngine,
                this::cutFromEngine,
                this::darkFabricDomain,
                this::leave,
                this::leaveDuringOutage,
                this::changeVersion,
                this::changeVersion));
        script.plan(startMillis, count, kinds);
    }

    /** Sometimes stops a daemon exactly between its last check and the send of an order. */
    void betweenCheckAndSend(DaemonId daemon) {
        if (active() && sim.chance(FREEZE_BEFORE_SEND_CHANCE)) {
            script.freezeBeyondLease(daemon);
        }
    }

    /** Returns a delay of an order, which may arrive late at any time. */
    long orderDelayMillis() {
        if (!active() || !sim.chance(LATE_ORDER_CHANCE)) {
            return 0;
        }
        sim.record().recordFault(FaultKind.DELAY);
        return sim.between(1, FleetTimes.LATE_ORDER_MILLIS);
    }

    private boolean active() {
        return sim.nowMillis() >= startMillis && sim.nowMillis() < endMillis;
    }

    private Engine anyEngine() {
        return world.engines().get(sim.random().nextInt(world.engines().size()));
    }

    private void killEngine() {
        Engine engine = anyEngine();
        if (engine.process().dead() || leaving.contains(engine.vm().id())) {
            return;
        }
        sim.record().recordFault(FaultKind.KILL);
        engine.kill();
        script.during(50, 8_000, engine::start);
    }

    private void freezeEngine() {
        sim.record().recordFault(FaultKind.FREEZE);
        anyEngine().process().freeze(Math.min(sim.between(500, 9_000), endMillis - sim.nowMillis()));
    }

    private void cutFromEngine() {
        String daemon = script.target().value();
        String engine = anyEngine().vm().id().value();
        switch (sim.random().nextInt(3)) {
            case 0 -> sim.network().cutOneWay(daemon, engine);
            case 1 -> sim.network().cutOneWay(engine, daemon);
            default -> sim.network().cutBothWays(daemon, engine);
        }
        script.cutUntilLater(List.of());
    }

    private void darkFabricDomain() {
        FabricDomain domain = anyEngine().vm().fabricDomain();
        sim.record().recordFault(FaultKind.FABRIC_DOMAIN_DOWN);
        dark.merge(domain, 1, Integer::sum);
        setDark(domain);
        script.during(1_000, 10_000, () -> {
            dark.merge(domain, -1, Integer::sum);
            setDark(domain);
        });
    }

    private void setDark(FabricDomain domain) {
        world.engines().stream()
                .filter(engine -> engine.vm().fabricDomain().equals(domain))
                .forEach(engine -> engine.dark(dark.get(domain) > 0));
    }

    private void changeVersion() {
        sim.record().recordFault(FaultKind.OPERATOR_RACE);
        String version = "v" + sim.nowMillis();
        world.operators().forEach(operator -> operator.apply(version));
    }

    /** The engine or the platform's list announces first; later the VM goes away and comes back as a new one. */
    private void leave() {
        Engine engine = anyEngine();
        VmId vm = engine.vm().id();
        if (engine.process().dead() || !leaving.add(vm)) {
            return;
        }
        sim.record().recordFault(FaultKind.LEAVE);
        world.checks().leaves(vm);
        if (sim.chance(0.8)) {
            sim.queue().after(sim.between(0, 4_000), engine::leave);
        }
        world.platform().announce(vm, true);
        sim.queue().after(sim.between(9_000, 16_000), () -> terminate(engine));
    }

    private void terminate(Engine engine) {
        VmId vm = engine.vm().id();
        world.checks().left(vm);
        engine.kill();
        world.platform().remove(vm);
        sim.queue().after(sim.between(5_000, 8_000), () -> {
            engine.start();
            world.platform().add(engine.vm());
            leaving.remove(vm);
        });
    }

    /** Without the store the controller cannot release the group, so that only the daemons' own exclusion works. */
    private void leaveDuringOutage() {
        sim.store().setUnavailable(true);
        leave();
        sim.queue().after(OUTAGE_MILLIS, () -> sim.store().setUnavailable(false));
    }
}
