package io.sesamehead.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.cli.operator.FleetReader;
import io.sesamehead.cli.operator.ReleaseDiff;
import io.sesamehead.cli.operator.ReleaseWriter;
import io.sesamehead.cli.operator.ServiceStatus;
import io.sesamehead.cli.report.FleetCounts;
import io.sesamehead.cli.report.Sample;
import io.sesamehead.cli.report.ServiceLevel;
import io.sesamehead.cli.report.ServiceLevelKey;
import io.sesamehead.cli.report.ServiceLevelReader;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.io.IOException;
import java.util.List;
import java.util.Optional;

/** Collects samples of the fleet's counters. */
final class SampleCollector {
    private final JsonSource source;
    private final ImmutableList<String> addresses;
    private final Optional<PlatformClient> platform;

    SampleCollector(JsonSource source, ImmutableList<String> addresses, Optional<PlatformClient> platform) {
        this.source = source;
        this.addresses = addresses;
        this.platform = platform;
    }

    Sample collect(long epochMillis) throws InterruptedException {
        ImmutableMap.Builder<String, ImmutableMap<ServiceLevelKey, ServiceLevel>> daemons = ImmutableMap.builder();
        int unresponsiveDaemons = 0;
        for (String address : addresses) {
            try {
                JsonNode status = source.read("http://" + address + "/status");
                JsonNode metrics = source.read("http://" + address + "/metrics");
                String incarnation = status.path("daemon").asText() + "/"
                        + status.path("incarnation").asText();
                daemons.put(incarnation, ServiceLevelReader.read(status, metrics));
            } catch (IOException e) {
                unresponsiveDaemons++;
            }
        }
        return new Sample(epochMillis, daemons.buildKeepingLast(), unresponsiveDaemons, fleet());
    }

    private FleetCounts fleet() {
        if (platform.isEmpty()) {
            return FleetCounts.UNKNOWN;
        }
        try {
            FleetReader reader = new FleetReader(platform.get());
            ReleaseNote note = ReleaseUpdater.note(new ReleaseUpdater(platform.get()).read())
                    .orElse(ReleaseDiff.EMPTY_NOTE);
            return count(note, reader.assignments(), reader.vms());
        } catch (ReleaseWriter.ReadException | CommandException e) {
            return FleetCounts.UNKNOWN;
        }
    }

    static FleetCounts count(ReleaseNote note, List<GroupAssignment> assignments, List<Vm> vms) {
        List<ServiceStatus> statuses = ServiceStatus.compare(note, assignments);
        ImmutableSet<VmId> servingVms = assignments.stream()
                .flatMap(assignment -> assignment.groups().stream())
                .filter(group -> group.state() == GroupState.SERVING)
                .flatMap(group -> group.members().stream())
                .map(member -> member.vm())
                .collect(ImmutableSet.toImmutableSet());
        int stranded = vms.stream()
                .filter(vm -> !servingVms.contains(vm.id()))
                .mapToInt(Vm::accelerators)
                .sum();
        return new FleetCounts(
                statuses.stream().mapToInt(ServiceStatus::desired).sum(),
                statuses.stream()
                        .mapToInt(status -> Math.min(status.desired(), status.serving()))
                        .sum(),
                vms.stream().mapToInt(Vm::accelerators).sum(),
                stranded);
    }
}
