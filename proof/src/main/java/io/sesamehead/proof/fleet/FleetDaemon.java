package io.sesamehead.proof.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.drain.DrainTable;
import io.sesamehead.coordination.drain.LeavingSource;
import io.sesamehead.proof.FakeStore.StoreResponse;
import io.sesamehead.state.AgedEvidence;
import io.sesamehead.state.AssignmentTable;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.EvidenceTable;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.Optional;
import java.util.function.Consumer;

/** One life of a daemon that serves groups: its tables and the messages that fill them. */
final class FleetDaemon {
    static final String ASSIGNMENT_OBJECT = "groupassignments/" + FleetSimulation.DOMAIN.value();

    private static final long EVIDENCE_TICK_MILLIS = 100;
    private static final long VM_POLL_INTERVAL_MILLIS = 2_000;
    private static final long WATCH_INTERVAL_MILLIS = 500;
    private static final long COMPARE_INTERVAL_MILLIS = 1_000;

    private final FleetSimulation simulation;
    private final Node node;
    private final AssignmentTable assignments = new AssignmentTable();
    private final EvidenceTable evidence = new EvidenceTable();
    private final DrainTable drain = new DrainTable();
    private final LeaseLoop lease;
    private final ControllerLoop controller;
    private final EngineProber prober;
    private ImmutableMap<VmId, Vm> vms = ImmutableMap.of();
    private long highestControllerEpoch;

    FleetDaemon(FleetSimulation world, Node node) {
        this.simulation = world;
        this.node = node;
        this.prober = new EngineProber(world, this);
        this.lease = new LeaseLoop(world.context(), this);
        this.controller = new ControllerLoop(world, this);
    }

    void start() {
        node.start();
        readInitialState();
        SimProcess process = node.process();
        process.every(EVIDENCE_TICK_MILLIS, () -> evidence.tick(process.clock()));
        process.every(VM_POLL_INTERVAL_MILLIS, this::pollVms);
        process.every(WATCH_INTERVAL_MILLIS, this::watchAssignment);
        process.every(COMPARE_INTERVAL_MILLIS, this::compareAssignments);
        prober.start();
        lease.start();
        controller.start();
        new Dispatcher(simulation, this).start();
    }

    Node node() {
        return node;
    }

    DaemonId id() {
        return node.self().daemon();
    }

    String name() {
        return id().value();
    }

    long clock() {
        return node.process().clock();
    }

    AssignmentTable assignments() {
        return assignments;
    }

    EvidenceTable evidence() {
        return evidence;
    }

    DrainTable drain() {
        return drain;
    }

    LeaseLoop lease() {
        return lease;
    }

    EngineProber prober() {
        return prober;
    }

    ImmutableMap<VmId, Vm> vms() {
        return vms;
    }

    /** Highest controller epoch that assignments and engines tell of. */
    long highestControllerEpoch() {
        long fromEngines = evidence.snapshot().values().stream()
                .mapToLong(it -> it instanceof Evidence.Reported reported
                        ? reported.report().epoch().controllerEpoch()
                        : 0)
                .max()
                .orElse(0);
        return Math.max(fromEngines, highestControllerEpoch);
    }

    void sendToPeers(Consumer<FleetDaemon> atReceiver) {
        for (DaemonId peer : node.localPeers()) {
            node.send(peer, unused -> atReceiver.accept(simulation.daemon(peer)));
        }
    }

    /** Takes an assignment that the store is known to hold and passes it on if it is new. */
    void adoptStoredAssignment(GroupAssignment assignment) {
        if (offer(assignment)) {
            sendToPeers(peer -> peer.offer(assignment));
        }
    }

    private boolean offer(GroupAssignment assignment) {
        highestControllerEpoch = Math.max(highestControllerEpoch, assignment.controllerEpoch());
        return assignments.offer(assignment) == AssignmentTable.OfferResult.ADOPTED;
    }

    /** Merges evidence that a peer sent. */
    void merge(DaemonId peer, ImmutableList<AgedEvidence> items) {
        long nowMillis = clock();
        evidence.merge(nowMillis, peer, items);
        items.forEach(item -> observeLeaving(item.vm()));
    }

    /**
     * Tells the drain table what the newest report of an engine says. A report that arrives late, possibly of an earlier
     * life of the engine, is not taken by the evidence table and says nothing about leaving.
     */
    void observeLeaving(VmId vm) {
        if (evidence.evidence(vm).orElse(null) instanceof Evidence.Reported reported) {
            recordLeaving(vm, LeavingSource.UPSTREAM_STATUS, reported.report().state() == EngineState.LEAVING);
        }
    }

    private void recordLeaving(VmId vm, LeavingSource source, boolean isLeaving) {
        if (drain.observe(clock(), vm, source, isLeaving)) {
            simulation.checker().leavingReported(vm, id());
        }
    }

    private void readInitialState() {
        readAssignment();
        readVms();
        node.process().after(COMPARE_INTERVAL_MILLIS, () -> {
            if (vms.isEmpty()) {
                readInitialState();
            }
        });
    }

    private void pollVms() {
        if (node.isRelay()) {
            readVms();
        }
    }

    private void watchAssignment() {
        if (node.isRelay()) {
            readAssignment();
        }
    }

    private void readAssignment() {
        node.store().read(ASSIGNMENT_OBJECT, answer -> {
            if (answer instanceof StoreResponse.Found found) {
                adoptStoredAssignment(
                        (GroupAssignment) StoredObject.from(found.object()).content());
            }
        });
    }

    /** The VM list comes from the same platform as the objects, so it fails with the store. */
    private void readVms() {
        node.store().read("nodes", answer -> {
            if (answer instanceof StoreResponse.Missing) {
                ImmutableList<Vm> list = simulation.vmList().list();
                updateVms(list);
                sendToPeers(peer -> peer.updateVms(list));
            }
        });
    }

    private void updateVms(ImmutableList<Vm> list) {
        ImmutableMap<VmId, Vm> next = list.stream().collect(ImmutableMap.toImmutableMap(Vm::id, vm -> vm));
        vms.keySet().stream()
                .filter(id -> !next.containsKey(id))
                .forEach(id -> recordLeaving(id, LeavingSource.VM_LIST, false));
        vms = next;
        evidence.retain(next.keySet());
        next.values().forEach(vm -> recordLeaving(vm.id(), LeavingSource.VM_LIST, vm.leaving()));
    }

    /** Relays send what a peer lacks. */
    private void compareAssignments() {
        long epoch = ownAssignment().map(GroupAssignment::controllerEpoch).orElse(0L);
        long version = ownAssignment().map(GroupAssignment::version).orElse(0L);
        DaemonId self = id();
        sendToPeers(peer -> peer.sendIfNewer(self, epoch, version));
    }

    private void sendIfNewer(DaemonId peer, long epoch, long version) {
        ownAssignment()
                .filter(mine -> node.isRelay())
                .filter(mine ->
                        mine.controllerEpoch() > epoch || (mine.controllerEpoch() == epoch && mine.version() > version))
                .ifPresent(mine ->
                        node.send(peer, unused -> simulation.daemon(peer).offer(mine)));
    }

    private Optional<GroupAssignment> ownAssignment() {
        return assignments.assignment(FleetSimulation.DOMAIN);
    }
}
