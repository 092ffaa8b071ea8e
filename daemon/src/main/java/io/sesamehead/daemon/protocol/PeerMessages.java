package io.sesamehead.daemon.protocol;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.daemon.protocol.generated.PeerProtocol;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.DirectoryUpdate;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Hello;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Leaving;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.VmUpdate;
import io.sesamehead.state.AgedEvidence;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.EngineState;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.FabricDomain;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.MemberReport;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.Collection;
import java.util.Optional;

/** Maps the core types to the messages between daemons and back. */
public final class PeerMessages {
    private PeerMessages() {}

    /**
     * Encodes what a daemon says of itself.
     *
     * @param entry the daemon
     * @return the message without a connection incarnation
     */
    public static Hello hello(DaemonEntry entry) {
        return Hello.newBuilder()
                .setDaemon(entry.daemon().value())
                .setIncarnation(entry.incarnation().value())
                .setFailureDomain(entry.failureDomain().value())
                .setPeerAddress(entry.peerAddress())
                .build();
    }

    /**
     * Decodes what a daemon says of itself.
     *
     * @param hello the message
     * @param leaving whether the daemon announced that it stops
     * @return the daemon
     * @throws IllegalArgumentException if a name is blank
     */
    public static DaemonEntry daemon(Hello hello, boolean leaving) {
        return new DaemonEntry(
                new DaemonId(hello.getDaemon()),
                new Incarnation(hello.getIncarnation()),
                new FailureDomain(hello.getFailureDomain()),
                hello.getPeerAddress(),
                leaving);
    }

    /**
     * Encodes directory entries.
     *
     * @param entries the daemons
     * @return the frame
     */
    public static Frame directory(Collection<DaemonEntry> entries) {
        DirectoryUpdate.Builder update = DirectoryUpdate.newBuilder();
        for (DaemonEntry entry : entries) {
            update.addEntries(PeerProtocol.DirectoryEntry.newBuilder()
                    .setDaemon(entry.daemon().value())
                    .setIncarnation(entry.incarnation().value())
                    .setFailureDomain(entry.failureDomain().value())
                    .setPeerAddress(entry.peerAddress()));
        }
        return Frame.newBuilder().setDirectoryUpdate(update).build();
    }

    /**
     * Decodes directory entries.
     *
     * @param update the message
     * @return the daemons
     * @throws IllegalArgumentException if a name is blank
     */
    public static ImmutableList<DaemonEntry> directory(DirectoryUpdate update) {
        return update.getEntriesList().stream()
                .map(entry -> new DaemonEntry(
                        new DaemonId(entry.getDaemon()),
                        new Incarnation(entry.getIncarnation()),
                        new FailureDomain(entry.getFailureDomain()),
                        entry.getPeerAddress(),
                        false))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Encodes the VM list of a failure domain.
     *
     * @param failureDomain the failure domain
     * @param vms its VMs
     * @return the frame
     */
    public static Frame vms(FailureDomain failureDomain, Collection<Vm> vms) {
        VmUpdate.Builder update = VmUpdate.newBuilder().setFailureDomain(failureDomain.value());
        for (Vm vm : vms) {
            update.addVms(PeerProtocol.Vm.newBuilder()
                    .setId(vm.id().value())
                    .setFabricDomain(vm.fabricDomain().value())
                    .setAccelerators(vm.accelerators())
                    .setAcceleratorMemoryGb(vm.acceleratorMemoryGb())
                    .setEngineAddress(vm.engineAddress())
                    .setLeaving(vm.leaving()));
        }
        return Frame.newBuilder().setVmUpdate(update).build();
    }

    /**
     * Decodes the VM list of a failure domain.
     *
     * @param update the message
     * @return its VMs
     * @throws IllegalArgumentException if a name is blank
     */
    public static ImmutableList<Vm> vms(VmUpdate update) {
        FailureDomain failureDomain = new FailureDomain(update.getFailureDomain());
        return update.getVmsList().stream()
                .map(vm -> new Vm(
                        new VmId(vm.getId()),
                        failureDomain,
                        new FabricDomain(vm.getFabricDomain()),
                        vm.getAccelerators(),
                        vm.getAcceleratorMemoryGb(),
                        vm.getEngineAddress(),
                        vm.getLeaving()))
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Encodes evidence about one VM.
     *
     * @param evidence the evidence with its age
     * @param change number of the sender's last change of this report
     * @return the message
     */
    public static PeerProtocol.MemberReport report(AgedEvidence evidence, long change) {
        PeerProtocol.MemberReport.Builder message = PeerProtocol.MemberReport.newBuilder()
                .setVm(evidence.vm().value())
                .setUnreachable(evidence.report().isEmpty())
                .setObservedAgeMillis(clampToInt(evidence.ageMillis()))
                .setChange(change);
        evidence.report().ifPresent(report -> fill(message, report));
        return message.build();
    }

    private static void fill(PeerProtocol.MemberReport.Builder message, MemberReport report) {
        message.setEngine(report.engine().value())
                .setGroup(report.group().map(GroupId::value).orElse(""))
                .setEpoch(report.epoch().value())
                .setState(wireState(report.state()))
                .setModel(report.model().orElse(""))
                .setInFlight(report.inFlight())
                .setQueued(report.queued())
                .setReportAgeMillis(clampToInt(report.reportAgeMillis()));
    }

    /**
     * Decodes evidence about one VM.
     *
     * @param message the message
     * @return the evidence with its age
     * @throws IllegalArgumentException if a field is out of range
     */
    public static AgedEvidence evidence(PeerProtocol.MemberReport message) {
        VmId vm = new VmId(message.getVm());
        if (message.getUnreachable()) {
            return new AgedEvidence(vm, Optional.empty(), message.getObservedAgeMillis());
        }
        MemberReport report = new MemberReport(
                vm,
                new Incarnation(message.getEngine()),
                nonEmpty(message.getGroup()).map(GroupId::new),
                new Epoch(message.getEpoch()),
                state(message.getState()),
                nonEmpty(message.getModel()),
                message.getInFlight(),
                message.getQueued(),
                message.getReportAgeMillis());
        return new AgedEvidence(vm, Optional.of(report), message.getObservedAgeMillis());
    }

    /**
     * Encodes the announcement that a daemon stops.
     *
     * @param self the daemon
     * @return the frame
     */
    public static Frame leaving(DaemonEntry self) {
        return Frame.newBuilder()
                .setLeaving(Leaving.newBuilder()
                        .setDaemon(self.daemon().value())
                        .setIncarnation(self.incarnation().value()))
                .build();
    }

    private static PeerProtocol.EngineState wireState(EngineState state) {
        return switch (state) {
            case IDLE -> PeerProtocol.EngineState.ENGINE_STATE_IDLE;
            case LOADING -> PeerProtocol.EngineState.ENGINE_STATE_LOADING;
            case READY -> PeerProtocol.EngineState.ENGINE_STATE_READY;
            case LEAVING -> PeerProtocol.EngineState.ENGINE_STATE_LEAVING;
        };
    }

    private static EngineState state(PeerProtocol.EngineState state) {
        return switch (state) {
            case ENGINE_STATE_IDLE -> EngineState.IDLE;
            case ENGINE_STATE_LOADING -> EngineState.LOADING;
            case ENGINE_STATE_READY -> EngineState.READY;
            case ENGINE_STATE_LEAVING -> EngineState.LEAVING;
            case ENGINE_STATE_UNKNOWN, UNRECOGNIZED -> throw new IllegalArgumentException("unknown engine state");
        };
    }

    private static Optional<String> nonEmpty(String value) {
        return value.isEmpty() ? Optional.empty() : Optional.of(value);
    }

    /**
     * Bounds a duration to the range of the wire.
     *
     * @param millis milliseconds
     * @return the same, at least 0 and at most the largest int
     */
    public static int clampToInt(long millis) {
        return (int) Math.max(0, Math.min(millis, Integer.MAX_VALUE));
    }
}
