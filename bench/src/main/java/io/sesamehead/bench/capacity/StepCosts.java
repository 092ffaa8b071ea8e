package io.sesamehead.bench.capacity;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.group.Controller;
import io.sesamehead.coordination.group.ControllerSettings;
import io.sesamehead.coordination.group.ControllerView;
import io.sesamehead.coordination.group.ServeGate;
import io.sesamehead.coordination.lease.HeldLease;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.coordination.membership.ProbeAssignment;
import io.sesamehead.coordination.membership.RelayAssignment;
import io.sesamehead.daemon.protocol.PeerMessages;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.ControllerEpoch;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Heartbeat;
import io.sesamehead.daemon.runtime.MonotonicClock;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.settings.ReadResult;
import io.sesamehead.daemon.settings.ReleaseNoteReader;
import io.sesamehead.daemon.transport.Addresses;
import io.sesamehead.daemon.transport.EngineClient;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.standin.engine.EngineSettings;
import io.sesamehead.standin.engine.EngineStandIn;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.AgedEvidence;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.EvidenceTable;
import io.sesamehead.state.Generation;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.VmId;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.IntStream;

/** Processor time of the calling thread for one heartbeat, evidence item, probe and controller step. */
final class StepCosts {
    private static final int[] ENGINES = {8, 32, 77};
    private static final int DAEMONS = 26;
    private static final long NOW_MILLIS = 1_000_000;
    private static final int[] VMS = {77, 300, 1_000};
    private static final int PROBES = 2_000;

    private StepCosts() {}

    static void run() throws IOException, InterruptedException {
        double heartbeat = cost(20_000, StepCosts::heartbeat);
        print("heartbeat, encoded and decoded", 1, heartbeat, heartbeat);
        for (int engines : ENGINES) {
            print("evidence item, encoded, decoded and merged", engines, evidenceItem(engines), heartbeat);
        }
        for (int engines : ENGINES) {
            print("gate of one group", engines, gate(engines), heartbeat);
        }
        for (int engines : ENGINES) {
            print("probe assignment of 26 daemons", engines, probeAssignment(engines), heartbeat);
        }
        for (int engines : ENGINES) {
            print("controller step without change", engines, controllerStep(engines), heartbeat);
        }
        print("relays of one failure domain", 1, relays(), heartbeat);
        for (int vms : VMS) {
            print("VM list, read at the client", vms, vmList(vms), heartbeat);
        }
        print("probe of an engine, at the client", 1, probe(), heartbeat);
    }

    private static void print(String what, int engines, double nanos, double heartbeat) {
        System.out.printf(
                Locale.ROOT,
                "%-46s %3d engines %9.2f us, ratio %8.1f%n",
                what,
                engines,
                nanos / 1e3,
                nanos / heartbeat);
    }

    /** Runs an action until it is compiled and returns the nanoseconds of processor time of one run. */
    private static double cost(int runs, Runnable action) {
        for (int run = 0; run < runs; run++) {
            action.run();
        }
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        for (int run = 0; run < runs; run++) {
            action.run();
        }
        return (double) (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before) / runs;
    }

    private static void heartbeat() {
        Frame frame = Frame.newBuilder()
                .setHeartbeat(Heartbeat.newBuilder()
                        .setConfigGeneration(3_000)
                        .setLoad(12)
                        .addControllerEpochs(ControllerEpoch.newBuilder()
                                .setFailureDomain(Shapes.FIRST_DOMAIN)
                                .setEpoch(7)
                                .setAssignmentVersion(900)))
                .build();
        parse(frame.toByteArray());
    }

    private static Frame parse(byte[] bytes) {
        try {
            return Frame.parseFrom(bytes);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static double evidenceItem(int engines) {
        EvidenceTable table = new EvidenceTable();
        DaemonId peer = new DaemonId("peer");
        List<AgedEvidence> items = IntStream.range(0, engines)
                .mapToObj(vm -> new AgedEvidence(new VmId(Shapes.vmName(vm)), Optional.of(Shapes.report(vm)), 10))
                .toList();
        long[] nowMillis = {NOW_MILLIS};
        return cost(2_000, () -> {
                    nowMillis[0] += 900;
                    ImmutableList.Builder<AgedEvidence> received = ImmutableList.builder();
                    items.forEach(item -> received.add(PeerMessages.evidence(PeerMessages.report(item, 1))));
                    table.merge(nowMillis[0], peer, received.build());
                })
                / engines;
    }

    private static double gate(int engines) {
        GroupAssignment assignment = Shapes.assignment(engines, 1);
        EvidenceTable table = table(engines);
        return cost(
                        5_000,
                        () -> assignment
                                .groups()
                                .forEach(group -> ServeGate.decide(NOW_MILLIS, group, table::evidence, 3_000)))
                / assignment.groups().size();
    }

    private static double probeAssignment(int engines) {
        List<VmId> vms = Shapes.vms(engines).stream().map(vm -> vm.id()).toList();
        List<DaemonId> daemons = IntStream.range(0, DAEMONS)
                .mapToObj(number -> new DaemonId(Shapes.FIRST_DOMAIN + "-d" + number))
                .toList();
        return cost(300, () -> ProbeAssignment.assignedTo(daemons.get(0), vms, daemons));
    }

    private static double controllerStep(int engines) {
        Controller controller = new Controller(Shapes.DOMAIN, ControllerSettings.of(3_000, 1_000));
        AcceptedRelease release = new AcceptedRelease(new Generation(1), note(engines), ImmutableSet.of());
        ImmutableMap<VmId, Evidence> evidence = table(engines).snapshot();
        ControllerView view = new ControllerView(
                Optional.of(new HeldLease(1, NOW_MILLIS - 60_000)),
                Optional.of(release),
                Shapes.assignment(engines, 1),
                Shapes.vms(evidence.size()),
                evidence);
        int actions = controller.step(NOW_MILLIS, view).size();
        if (actions > 0) {
            System.out.printf("  the first step of %d engines asks for %d actions%n", engines, actions);
        }
        return cost(2_000, () -> controller.step(NOW_MILLIS, view));
    }

    private static ReleaseNote note(int engines) {
        if (ReleaseNoteReader.read(Shapes.note(engines)) instanceof ReadResult.Valid<ReleaseNote>(ReleaseNote note)) {
            return note;
        }
        throw new IllegalStateException("the note is not valid");
    }

    private static EvidenceTable table(int engines) {
        EvidenceTable table = new EvidenceTable();
        IntStream.range(0, engines - engines % Shapes.VMS_PER_REPLICA)
                .forEach(vm -> table.record(Shapes.evidence(vm, NOW_MILLIS - 100)));
        return table;
    }

    private static double relays() {
        List<DaemonId> daemons =
                Shapes.daemons(DAEMONS).stream().map(DaemonEntry::daemon).toList();
        return cost(5_000, () -> RelayAssignment.relays(Shapes.DOMAIN, daemons));
    }

    private static double vmList(int vms) throws IOException, InterruptedException {
        try (StandIns standIns = StandIns.start(0);
                PlatformClient client = new PlatformClient(
                        new DaemonSettings.Platform(standIns.platform.address(), Duration.ofSeconds(2), 1_000_000),
                        new MonotonicClock()::millis)) {
            PlatformAdmin admin = new PlatformAdmin(Addresses.text(standIns.platform.address()));
            for (int vm = 0; vm < vms; vm++) {
                admin.putNode(Shapes.vmName(vm), Shapes.FIRST_DOMAIN, "fabric-" + vm / 8, "10.0.0.1:" + (9_000 + vm));
            }
            return cost(100, client::vms);
        }
    }

    private static double probe() throws IOException {
        try (EngineStandIn engine = new EngineStandIn(EngineSettings.at("127.0.0.1", 0, Shapes.vmName(0)));
                EngineClient client = new EngineClient(16, 4, Duration.ofMillis(500))) {
            engine.start();
            String address = Addresses.text(engine.address());
            return cost(PROBES, () -> client.status(address, Duration.ofMillis(800)));
        }
    }
}
