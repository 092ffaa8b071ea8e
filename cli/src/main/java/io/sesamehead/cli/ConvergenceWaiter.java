package io.sesamehead.cli;

import com.google.common.collect.ImmutableList;
import io.sesamehead.cli.operator.DaemonStatus;
import io.sesamehead.cli.operator.FleetReader;
import io.sesamehead.cli.operator.ReleaseWriter;
import io.sesamehead.cli.operator.ServiceStatus;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.state.Generation;
import io.sesamehead.state.GroupAssignment;
import io.sesamehead.state.GroupState;
import io.sesamehead.state.ReleaseNote;
import java.util.List;

/** Waits until a generation is in force on every daemon and every desired group serves. */
final class ConvergenceWaiter {
    private static final long POLL_MILLIS = 500;

    private final JsonSource source;
    private final ImmutableList<String> addresses;
    private final PlatformClient platform;

    ConvergenceWaiter(JsonSource source, ImmutableList<String> addresses, PlatformClient platform) {
        this.source = source;
        this.addresses = addresses;
        this.platform = platform;
    }

    /** Returns an empty list as soon as the fleet matches the note, or the mismatches after the timeout. */
    ImmutableList<String> await(Generation generation, ReleaseNote note, long timeoutMillis)
            throws InterruptedException {
        long deadlineMillis = PlatformOptions.nowMillis() + timeoutMillis;
        while (true) {
            ImmutableList<String> mismatches = mismatches(generation, note);
            if (mismatches.isEmpty() || PlatformOptions.nowMillis() >= deadlineMillis) {
                return mismatches;
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private ImmutableList<String> mismatches(Generation generation, ReleaseNote note) throws InterruptedException {
        ImmutableList.Builder<String> mismatches = ImmutableList.builder();
        List<DaemonStatus> daemons = DaemonStatusReader.read(source, addresses);
        for (DaemonStatus daemon : daemons) {
            if (!daemon.answered()) {
                mismatches.add("daemon at " + daemon.address() + " does not answer: " + daemon.detail());
            } else if (daemon.generation() < generation.value()) {
                mismatches.add("daemon " + daemon.daemon() + " has generation " + daemon.generation());
            }
        }
        try {
            List<GroupAssignment> assignments = new FleetReader(platform).assignments();
            for (ServiceStatus status : ServiceStatus.compare(note, assignments)) {
                if (!status.converged()) {
                    mismatches.add("service " + status.service().value() + " in "
                            + status.failureDomain().value() + ": " + status.serving() + " of " + status.desired()
                            + " groups serve");
                }
            }
            assignments.forEach(assignment -> addGroupsWithoutEvidence(assignment, daemons, mismatches));
        } catch (ReleaseWriter.ReadException e) {
            mismatches.add(e.getMessage());
        }
        return mismatches.build();
    }

    /** Adds groups that are recorded as serving but for which a daemon has no evidence of its own yet. */
    private static void addGroupsWithoutEvidence(
            GroupAssignment assignment, List<DaemonStatus> daemons, ImmutableList.Builder<String> mismatches) {
        assignment.groups().stream()
                .filter(group -> group.state() == GroupState.SERVING)
                .forEach(group -> daemons.stream()
                        .filter(daemon -> daemon.answered()
                                && daemon.failureDomain()
                                        .equals(assignment.failureDomain().value()))
                        .filter(daemon ->
                                !daemon.serving().getOrDefault(group.id().value(), false))
                        .forEach(daemon -> mismatches.add("daemon " + daemon.daemon() + " does not send work to group "
                                + group.id().value() + " yet")));
    }
}
