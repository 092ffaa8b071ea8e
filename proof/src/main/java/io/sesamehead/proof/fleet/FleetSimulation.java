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
final class FleetSimulation implements Deployment {
    static final FailureDomain DOMAIN = new FailureDomain("cebu");

    private static final int DAEMON_COUNT = 4;
    private static final int FABRIC_DOMAIN_COUNT = 3;
    private static final int VMS_PER_FABRIC_DOMAIN = 3;
    private static final long FAULTS_START_MILLIS = 12_000;
    private static final long FAULTS_END_MILLIS = 50_000;
    private static final long END_MILLIS = 85_000;
    private static final int FAULT_COUNT = 18;
    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final SimulationContext context;
    private final PlatformVmList vmList;
    private final FleetInvariantChecker checker;
    private final FleetFaultInjector faultInjector;
    private final ImmutableList<Engine> engines;
    private final Map<VmId, Engine> enginesById = new TreeMap<>();
    private final List<DaemonEntry> daemonEntries = new ArrayList<>();
    private final Map<DaemonId, Node> nodes = new TreeMap<>();
    private final Map<DaemonId, FleetDaemon> daemons = new TreeMap<>();
    private final ImmutableList<Operator> operators;

    FleetSimulation(SimulationContext sim, Invariant invariant) {
        this.context = sim;
        this.vmList = new PlatformVmList(sim);
        this.checker = new FleetInvariantChecker(this, invariant);
        this.faultInjector = new FleetFaultInjector(this, FAULTS_START_MILLIS, FAULTS_END_MILLIS);
        this.operators = ImmutableList.of(operator("operator-a"), operator("operator-b"));
        this.engines = createEngines(sim.randomBoolean(0.5));
        engines.forEach(engine -> enginesById.put(engine.vm().id(), engine));
    }

    void run() {
        engines.forEach(engine -> vmList.add(engine.vm()));
        for (int i = 0; i < DAEMON_COUNT; i++) {
            DaemonId daemon = new DaemonId("daemon-" + i);
            daemonEntries.add(new DaemonEntry(daemon, context.newIncarnation(), DOMAIN, daemon + ":1", false));
        }
        daemonEntries.forEach(entry -> start(entry.daemon()));
        context.queue().after(100, () -> operators.get(0).apply("v1"));
        faultInjector.scheduleFaults(FAULT_COUNT);
        context.queue().every(CHECK_INTERVAL_MILLIS, checker::checkAssignments);
        context.queue().runUntil(FAULTS_START_MILLIS - 1);
        checker.checkLiveness(ImmutableList.copyOf(daemons.values()));
        context.queue().runUntil(END_MILLIS);
        checker.checkLiveness(ImmutableList.copyOf(daemons.values()));
    }

    SimulationContext context() {
        return context;
    }

    PlatformVmList vmList() {
        return vmList;
    }

    FleetInvariantChecker checker() {
        return checker;
    }

    FleetFaultInjector faultInjector() {
        return faultInjector;
    }

    ImmutableList<Engine> engines() {
        return engines;
    }

    ImmutableList<Operator> operators() {
        return operators;
    }

    Engine engine(VmId vm) {
        return enginesById.get(vm);
    }

    FleetDaemon daemon(DaemonId daemon) {
        return daemons.get(daemon);
    }

    void sendToEngine(FleetDaemon daemon, Engine engine, long extraMillis, Runnable action) {
        context.transport().sendDelayed(daemon.name(), engine.vm().id().value(), extraMillis, () -> {
            if (engine.reachable()) {
                engine.process().run(action);
            }
        });
    }

    void sendFromEngine(Engine engine, FleetDaemon daemon, Runnable action) {
        if (engine.reachable()) {
            context.transport()
                    .send(
                            engine.vm().id().value(),
                            daemon.name(),
                            () -> daemon.node().process().run(action));
        }
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
        DaemonEntry self = new DaemonEntry(daemon, context.newIncarnation(), DOMAIN, daemon + ":1", false);
        Node node = new Node(context, self, context.newProcess(), nodes, daemonEntries);
        FleetDaemon started = new FleetDaemon(this, node);
        nodes.put(daemon, node);
        daemons.put(daemon, started);
        started.start();
    }

    @Override
    public Optional<DaemonId> preferredTarget() {
        return daemons.values().stream()
                .filter(daemon -> daemon.node().process().running())
                .filter(daemon -> daemon.lease().heldLease().isPresent())
                .map(FleetDaemon::id)
                .findFirst();
    }

    @Override
    public void disturbanceChanged(DaemonId daemon, boolean isDisturbed) {
        checker.disturbanceChanged(daemon, isDisturbed);
    }

    @Override
    public void beforeRestore() {}

    private Operator operator(String name) {
        return new Operator(context, name, DOMAIN, (change, claim) -> {});
    }

    private ImmutableList<Engine> createEngines(boolean checkFencing) {
        ImmutableList.Builder<Engine> result = ImmutableList.builder();
        for (int domain = 0; domain < FABRIC_DOMAIN_COUNT; domain++) {
            for (int i = 0; i < VMS_PER_FABRIC_DOMAIN; i++) {
                VmId id = new VmId("vm-" + domain + "-" + i);
                FabricDomain fabric = new FabricDomain("fabric-" + domain);
                Vm vm = new Vm(id, DOMAIN, fabric, 2, 80, id + ":1", false);
                result.add(new Engine(context, vm, checkFencing));
            }
        }
        return result.build();
    }
}
