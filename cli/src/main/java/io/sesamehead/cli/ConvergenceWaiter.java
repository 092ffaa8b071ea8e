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

/** Waits until every daemon has a generation in force and every group that the note asks for serves. */
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

    /** Returns what does not match when the time is up; empty as soon as the fleet matches. */
    ImmutableList<String> await(Generation generation, ReleaseNote note, long timeoutMillis)
            throws InterruptedException {
        long deadlineMillis = PlatformOptions.nowMillis() + timeoutMillis;
        while (true) {
            ImmutableList<String> missing = missing(generation, note);
            if (missing.isEmpty() || PlatformOptions.nowMillis() >= deadlineMillis) {
                return missing;
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    private ImmutableList<String> missing(Generation generation, ReleaseNote note) throws InterruptedException {
        ImmutableList.Builder<String> missing = ImmutableList.builder();
        List<DaemonStatus> daemons = DaemonStatusReader.read(source, addresses);
        for (DaemonStatus daemon : daemons) {
            if (!daemon.answered()) {
                missing.add("daemon at " + daemon.address() + " does not answer: " + daemon.detail());
            } else if (daemon.generation() < generation.value()) {
                missing.add("daemon " + daemon.daemon() + " has generation " + daemon.generation());
            }
        }
        try {
            List<GroupAssignment> assignments = new FleetReader(platform).assignments();
            for (ServiceStatus match : ServiceStatus.compare(note, assignments)) {
                if (!match.converged()) {
                    missing.add("service " + match.service().value() + " in "
                            + match.failureDomain().value() + ": " + match.serving() + " of " + match.desired()
                            + " groups serve");
                }
            }
            assignments.forEach(assignment -> addUnseen(assignment, daemons, missing));
        } catch (ReleaseWriter.ReadException e) {
            missing.add(e.getMessage());
        }
        return missing.build();
    }

    /** A group that the record calls serving may still lack a daemon's own evidence. */
    private static void addUnseen(
            GroupAssignment assignment, List<DaemonStatus> daemons, ImmutableList.Builder<String> missing) {
        assignment.groups().stream()
                .filter(group -> group.state() == GroupState.SERVING)
                .forEach(group -> daemons.stream()
                        .filter(daemon -> daemon.answered()
                                && daemon.failureDomain()
                                        .equals(assignment.failureDomain().value()))
                        .filter(daemon ->
                                !daemon.serving().getOrDefault(group.id().value(), false))
                        .forEach(daemon -> missing.add("daemon " + daemon.daemon() + " does not send work to group "
                                + group.id().value() + " yet")));
    }
}
