package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.coordination.group.ServeDecision;
import io.sesamehead.coordination.group.ServeGate;
import io.sesamehead.coordination.request.SuspectShare;
import io.sesamehead.coordination.routing.Router;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Evidence;
import io.sesamehead.state.Group;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.Vm;
import io.sesamehead.state.VmId;
import java.util.Optional;

/** The groups of this failure domain that may serve now. */
public final class ServingGroups {
    private final DaemonTables tables;
    private final Router router;
    private final long maxAgeMillis;

    /**
     * A group that may serve.
     *
     * @param group the group
     * @param headAddress {@code ip:port} of the engine that takes its requests
     */
    public record ServingGroup(Group group, String headAddress) {}

    /**
     * Creates a view of the tables.
     *
     * @param tables assignments, evidence and VMs
     * @param router takes the load figures of the evidence
     * @param maxAgeMillis age up to which evidence is fresh, in milliseconds
     */
    public ServingGroups(DaemonTables tables, Router router, long maxAgeMillis) {
        this.tables = tables;
        this.router = router;
        this.maxAgeMillis = maxAgeMillis;
    }

    /**
     * Returns the groups that may take new work of a service.
     *
     * @param service the service
     * @param nowMillis present monotonic time, in milliseconds
     * @return the groups by upstream
     */
    public ImmutableMap<UpstreamId, ServingGroup> serving(ServiceName service, long nowMillis) {
        ImmutableMap.Builder<UpstreamId, ServingGroup> result = ImmutableMap.builder();
        for (Group group : tables.assignments().groups(tables.failureDomain(), service)) {
            Optional<String> head = tables.vms().vm(group.head().vm()).map(Vm::engineAddress);
            if (head.isPresent() && mayTakeWork(group, nowMillis)) {
                UpstreamId upstream = UpstreamId.of(group.id());
                reportLoad(upstream, group, nowMillis);
                result.put(upstream, new ServingGroup(group, head.get()));
            }
        }
        return result.buildOrThrow();
    }

    /**
     * Returns the groups on which suspects of this daemon may run.
     *
     * @param service the service
     * @param nowMillis present monotonic time, in milliseconds
     * @return the share
     */
    public SuspectShare suspectShare(ServiceName service, long nowMillis) {
        ImmutableSet<DaemonId> live =
                ImmutableSet.copyOf(tables.directory().liveIds(nowMillis, tables.failureDomain()));
        ImmutableSet<UpstreamId> assigned = tables.assignments().groups(tables.failureDomain(), service).stream()
                .map(group -> UpstreamId.of(group.id()))
                .collect(ImmutableSet.toImmutableSet());
        return SuspectShare.of(tables.self().daemon(), live, assigned);
    }

    /**
     * Tells whether work in flight on a group must be moved. A member that is leaving finishes what it runs.
     *
     * @param group the group as it was when the work was sent
     * @param nowMillis present monotonic time, in milliseconds
     * @return true when the group is no longer complete
     */
    public boolean isBroken(Group group, long nowMillis) {
        return switch (decide(group, nowMillis)) {
            case ServeDecision.Serve ignored -> false;
            case ServeDecision.Refuse refuse ->
                switch (refuse.reason()) {
                    case LEAVING, NOT_SERVING -> false;
                    default -> true;
                };
        };
    }

    /**
     * Tells whether a group may take new work. Asked again immediately before a request is sent, because the process may
     * have been paused since the group was chosen.
     *
     * @param group the group
     * @param nowMillis present monotonic time, in milliseconds
     * @return true while it may
     */
    public boolean mayTakeWork(Group group, long nowMillis) {
        return decide(group, nowMillis) instanceof ServeDecision.Serve
                && group.members().stream().noneMatch(member -> isLeaving(member.vm()));
    }

    private ServeDecision decide(Group group, long nowMillis) {
        return ServeGate.decide(nowMillis, group, tables.evidence()::evidence, maxAgeMillis);
    }

    private boolean isLeaving(VmId vm) {
        boolean drained = tables.config()
                .inForce()
                .map(AcceptedRelease::drained)
                .map(all -> all.contains(vm))
                .orElse(false);
        return drained || tables.drain().isLeaving(vm);
    }

    private void reportLoad(UpstreamId upstream, Group group, long nowMillis) {
        Optional<Evidence> evidence = tables.evidence().evidence(group.head().vm());
        if (evidence.isPresent() && evidence.get() instanceof Evidence.Reported reported) {
            long ageMillis = reported.report().reportAgeMillis() + Math.max(0, nowMillis - reported.observedAtMillis());
            router.reportLoad(
                    upstream, reported.report().inFlight(), reported.report().queued(), ageMillis, nowMillis);
        }
    }
}
