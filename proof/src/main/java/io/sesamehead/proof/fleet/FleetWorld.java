package io.sesamehead.proof.fleet;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.proof.Invariant;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FabricDomain;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** One failure domain: daemons that form and use groups, engines, the store and the platform's list. */
final class FleetWorld implements Deployment {
    static final FailureDomain DOMAIN = new FailureDomain("cebu");

    private static final int DAEMONS = 4;
    private static final int FABRIC_DOMAINS = 3;
    private static final int VMS_PER_FABRIC_DOMAIN = 3;
    private static final long FAULTS_START_MILLIS = 12_000;
    private static final long FAULTS_END_MILLIS = 50_000;
    private static final long END_MILLIS = 85_000;
    private static final int FAULTS = 18;
    private static final long OBSERVE_MILLIS = 100;

    private final Simulation sim;
    private final Platform platform;
    private final FleetChecks checks;
    private final FleetFaults faults;
    private final ImmutableList<Engine> engines;
    private final Map<VmId, Engine> byId = new TreeMap<>();
    private final List<DaemonEntry> listed = new ArrayList<>();
    private final Map<DaemonId, Node> nodes = new TreeMap<>();
    private final Map<DaemonId, FleetDaemon> daemons = new TreeMap<>();
    private final ImmutableList<Operator> operators;

    FleetWorld(Simulation sim, Invariant invariant) {
        this.sim = sim;
        this.platform = new Platform(sim);
        this.checks = new FleetChecks(this, invariant);
        this.faults = new FleetFaults(this, FAULTS_START_MILLIS, FAULTS_END_MILLIS);
        this.operators = ImmutableList.of(operator("operator-a"), operator("operator-b"));
        this.engines = createEngines(sim.chance(0.5));
        engines.forEach(engine -> byId.put(engine.vm().id(), engine));
    }

    void run() {
        engines.forEach(engine -> platform.add(engine.vm()));
        for (int i = 0; i < DAEMONS; i++) {
            DaemonId daemon = new DaemonId("daemon-" + i);
            listed.add(new DaemonEntry(daemon, sim.newIncarnation(), DOMAIN, daemon + ":1", false));
        }
        listed.forEach(entry -> start(entry.daemon()));
        sim.queue().after(100, () -> operators.get(0).apply("v1"));
        faults.plan(FAULTS);
        sim.queue().every(OBSERVE_MILLIS, checks::observe);
        sim.queue().runUntil(FAULTS_START_MILLIS - 1);
        checks.checkAlive(ImmutableList.copyOf(daemons.values()));
        sim.queue().runUntil(END_MILLIS);
        checks.checkAlive(ImmutableList.copyOf(daemons.values()));
    }

    Simulation sim() {
        return sim;
    }

    Platform platform() {
        return platform;
    }

    FleetChecks checks() {
        return checks;
    }

    FleetFaults faults() {
        return faults;
    }

    ImmutableList<Engine> engines() {
        return engines;
    }

    ImmutableList<Operator> operators() {
        return operators;
    }

    Engine engine(VmId vm) {
        return byId.get(vm);
    }

    FleetDaemon daemon(DaemonId daemon) {
        return daemons.get(daemon);
    }

    void toEngine(FleetDaemon daemon, Engine engine, long extraMillis, Runnable action) {
        sim.wire().sendLate(daemon.name(), engine.vm().id().value(), extraMillis, () -> {
            if (engine.reachable()) {
                engine.process().run(action);
            }
        });
    }

    void fromEngine(Engine engine, FleetDaemon daemon, Runnable action) {
        if (engine.reachable()) {
            sim.wire()
                    .send(
                            engine.vm().id().value(),
                            daemon.name(),
                            () -> daemon.node().process().run(action));
        }
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
        DaemonEntry self = new DaemonEntry(daemon, sim.newIncarnation(), DOMAIN, daemon + ":1", false);
        Node node = new Node(sim, self, sim.newProcess(), nodes, listed);
        FleetDaemon started = new FleetDaemon(this, node);
        nodes.put(daemon, node);
        daemons.put(daemon, started);
        started.start();
    }

    @Override
    public Optional<DaemonId> preferredTarget() {
        return daemons.values().stream()
                .filter(daemon -> daemon.node().process().running())
                .filter(daemon -> daemon.lease().view().isPresent())
                .map(FleetDaemon::id)
                .findFirst();
    }

    @Override
    public void disturbed(DaemonId daemon, boolean isDisturbed) {
        checks.disturbed(daemon, isDisturbed);
    }

    @Override
    public void beforeRestore() {}

    private Operator operator(String name) {
        return new Operator(sim, name, DOMAIN, (change, claim) -> {});
    }

    private ImmutableList<Engine> createEngines(boolean checkFencing) {
        ImmutableList.Builder<Engine> result = ImmutableList.builder();
        for (int domain = 0; domain < FABRIC_DOMAINS; domain++) {
            for (int i = 0; i < VMS_PER_FABRIC_DOMAIN; i++) {
                VmId id = new VmId("vm-" + domain + "-" + i);
                FabricDomain fabric = new FabricDomain("fabric-" + domain);
                Vm vm = new Vm(id, DOMAIN, fabric, 2, 80, id + ":1", false);
                result.add(new Engine(sim, vm, checkFencing));
            }
        }
        return result.build();
    }
}
