package io.sesamehead.daemon.runtime;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupAssignment;
import java.util.Locale;
import java.util.Optional;
import java.util.function.LongSupplier;

/** The document that {@code /status} shows. */
public final class StatusReport {
    private final DaemonTables tables;
    private final CallRuntime calls;
    private final LongSupplier nowMillis;

    /**
     * Creates a report.
     *
     * @param tables shared tables
     * @param calls the calls of the daemon
     * @param nowMillis monotonic clock, in milliseconds
     */
    public StatusReport(DaemonTables tables, CallRuntime calls, LongSupplier nowMillis) {
        this.tables = tables;
        this.calls = calls;
        this.nowMillis = nowMillis;
    }

    /**
     * Builds the document.
     *
     * @return the JSON object
     */
    public ObjectNode toJson() {
        long now = nowMillis.getAsLong();
        ObjectNode tree = Json.object()
                .put("daemon", tables.self().daemon().value())
                .put("incarnation", tables.self().incarnation().toString())
                .put("failureDomain", tables.failureDomain().value())
                .put("phase", tables.shutdown().phase().name().toLowerCase(Locale.ROOT))
                .put("generation", tables.config().generation().value())
                .put("openCalls", calls.openCalls());
        Optional<Long> epoch = tables.lease().heldLease(now).map(lease -> lease.epoch());
        epoch.ifPresent(held -> tree.put("controllerEpoch", held));
        ArrayNode groups = tree.putArray("groups");
        for (GroupAssignment assignment : tables.assignments().all()) {
            assignment.groups().forEach(group -> groups.add(group(assignment, group, now)));
        }
        ArrayNode directory = tree.putArray("directory");
        var live = tables.directory().live(now);
        for (DaemonEntry daemon : tables.directory().known()) {
            directory.add(daemon(daemon, live.contains(daemon)));
        }
        tree.set("burn", calls.levels().toJson());
        return tree;
    }

    private ObjectNode group(GroupAssignment assignment, Group group, long now) {
        ObjectNode tree = Json.object()
                .put("id", group.id().value())
                .put("service", group.service().value())
                .put("failureDomain", assignment.failureDomain().value())
                .put("state", group.state().name().toLowerCase(Locale.ROOT))
                .put("epoch", group.epoch().value());
        ArrayNode members = tree.putArray("members");
        group.members().forEach(member -> members.add(member.vm().value()));
        boolean near = assignment.failureDomain().equals(tables.failureDomain());
        if (near) {
            boolean serving = calls.groups().serving(group.service(), now).containsKey(UpstreamId.of(group.id()));
            tree.put("serving", serving);
        }
        return tree;
    }

    private static ObjectNode daemon(DaemonEntry daemon, boolean live) {
        return Json.object()
                .put("daemon", daemon.daemon().value())
                .put("incarnation", daemon.incarnation().toString())
                .put("failureDomain", daemon.failureDomain().value())
                .put("peerAddress", daemon.peerAddress())
                .put("live", live)
                .put("leaving", daemon.leaving());
    }
}
