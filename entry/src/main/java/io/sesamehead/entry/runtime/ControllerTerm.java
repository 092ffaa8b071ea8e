package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.catalog.EngineProfile;
import io.sesamehead.coordination.catalog.ServiceProfile;
import io.sesamehead.coordination.dispatch.RefusedConnections;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.coordination.evacuation.Evacuations;
import io.sesamehead.coordination.replica.FleetPlanner;
import io.sesamehead.coordination.replica.FleetView;
import io.sesamehead.coordination.replica.FormerGroups;
import io.sesamehead.coordination.replica.OrderResult;
import io.sesamehead.coordination.replica.PlanSummary;
import io.sesamehead.coordination.replica.Replica;
import io.sesamehead.coordination.replica.ReplicaAction;
import io.sesamehead.coordination.replica.ReplicaIndex;
import io.sesamehead.coordination.replica.ReplicaKey;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.UpstreamOrderSender;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.ServiceName;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/** Runs the controller during one term of the lease: plans the groups of each model service and sends the orders. */
final class ControllerTerm {
    /** Interval at which the plan summary is logged and published as metrics, in milliseconds. */
    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    private final long epoch;
    private final long stallMillis;
    private final boolean firstStart;
    private final FormerGroups formerGroups;
    private final Clocks clocks;
    private final Fleet fleet;
    private final TargetTable table;
    private final RefusedConnections refused;
    private final BooleanSupplier alone;
    private final Evacuations evacuations;
    private final ModelLoads loads;
    private final UpstreamOrderSender orders;
    private final EventLog log;
    private final DaemonMetrics metrics;
    private final BooleanSupplier maySend;
    private final Runnable onFenced;
    private final long startedAtMillis;
    private final Map<ServiceName, FleetPlanner> planners = new HashMap<>();
    private final Set<ReplicaKey> loggedRefusals = new HashSet<>();
    private int ordersInFlight;
    private long reportedAtMillis = Long.MIN_VALUE / 2;

    ControllerTerm(
            long epoch,
            long stallMillis,
            boolean firstStart,
            FormerGroups formerGroups,
            Clocks clocks,
            Fleet fleet,
            TargetTable table,
            RefusedConnections refused,
            BooleanSupplier alone,
            Evacuations evacuations,
            ModelLoads loads,
            UpstreamOrderSender orders,
            EventLog log,
            DaemonMetrics metrics,
            BooleanSupplier maySend,
            Runnable onFenced) {
        this.epoch = epoch;
        this.stallMillis = stallMillis;
        this.firstStart = firstStart;
        this.formerGroups = formerGroups;
        this.clocks = clocks;
        this.fleet = fleet;
        this.table = table;
        this.refused = refused;
        this.alone = alone;
        this.evacuations = evacuations;
        this.loads = loads;
        this.orders = orders;
        this.log = log;
        this.metrics = metrics;
        this.maySend = maySend;
        this.onFenced = onFenced;
        this.startedAtMillis = clocks.steadyMillis();
    }

    /** Returns the monotonic time at which this daemon found that it holds the lease. */
    long startedAtMillis() {
        return startedAtMillis;
    }

    long epoch() {
        return epoch;
    }

    /** Returns the number of orders that were sent and have neither been answered nor timed out. */
    int ordersInFlight() {
        return ordersInFlight;
    }

    /** Plans all model services once. */
    void planServices(Iterable<ServiceProfile> services, boolean trafficSeen) {
        for (ServiceProfile service : services) {
            service.engine().ifPresent(engine -> planService(service.name(), engine, trafficSeen));
        }
    }

    private void planService(ServiceName service, EngineProfile engine, boolean trafficSeen) {
        long now = clocks.steadyMillis();
        List<UpstreamEntry> entries = fleet.upstreams(service);
        FleetView view = new FleetView(
                engine,
                entries,
                lost(entries, now),
                loads.demand(fleet.servingTargets(), table, now),
                trafficSeen,
                formerGroups,
                firstStart,
                evacuated(entries));
        FleetPlanner planner = planners.computeIfAbsent(service, name -> new FleetPlanner(epoch, stallMillis));
        Map<String, UpstreamEntry> byId = new HashMap<>();
        entries.forEach(entry -> byId.put(entry.id().value(), entry));
        for (ReplicaAction action : planner.plan(view, now)) {
            send(planner, byId.get(action.target().value()), action);
        }
        report(service, planner, view, now);
    }

    private void report(ServiceName service, FleetPlanner planner, FleetView view, long nowMillis) {
        if (nowMillis - reportedAtMillis < REPORT_INTERVAL_MILLIS) {
            return;
        }
        reportedAtMillis = nowMillis;
        PlanSummary summary = planner.summary();
        metrics.set("groups{state=\"serving\"}", summary.serving());
        metrics.set("groups{state=\"forming\"}", summary.forming());
        metrics.set("groups{state=\"dissolving\"}", summary.dissolving());
        metrics.set("upstreams_stranded{state=\"free\"}", summary.free());
        metrics.set("upstreams_stranded{state=\"held\"}", summary.held());
        log.write(
                EventLog.Component.GROUP,
                "plan",
                "service",
                service,
                "serving",
                summary.serving(),
                "forming",
                summary.forming(),
                "dissolving",
                summary.dissolving(),
                "free",
                summary.free(),
                "prepared",
                summary.prepared(),
                "held",
                summary.held(),
                "listed",
                summary.listed(),
                "stalled",
                view.lost().size(),
                "idle",
                planner.idleUpstreams(),
                "free_copies",
                planner.freeCopies(),
                "demand",
                view.demand());
    }

    private Set<FailureDomain> evacuated(List<UpstreamEntry> entries) {
        return entries.stream()
                .map(UpstreamEntry::failureDomain)
                .filter(evacuations::isEvacuated)
                .collect(Collectors.toSet());
    }

    private Set<ReplicaKey> lost(List<UpstreamEntry> entries, long nowMillis) {
        refused.recordOwnProgress(table, nowMillis);
        Set<ReplicaKey> lost = new HashSet<>();
        for (Replica replica : ReplicaIndex.of(entries).values()) {
            TargetKey target = TargetKey.of(replica.key());
            boolean refusesConnections = refused.isLost(target, alone.getAsBoolean(), nowMillis);
            if (refusesConnections && loggedRefusals.add(replica.key())) {
                log.write(EventLog.Component.GROUP, "refuses-connections", "target", target);
            }
            if (refusesConnections || table.isLost(target, nowMillis)) {
                lost.add(replica.key());
            }
        }
        return lost;
    }

    private void send(FleetPlanner planner, UpstreamEntry target, ReplicaAction action) {
        if (target == null || !maySend.getAsBoolean()) {
            planner.onResult(action, OrderResult.UNKNOWN, clocks.steadyMillis());
            return;
        }
        metrics.count("orders_sent{kind=\"" + kind(action) + "\"}");
        log.write(EventLog.Component.ORDER, "sent", "fence", epoch, "entry", target.writes(), "order", action);
        ordersInFlight++;
        orders.send(target, action, epoch, result -> onResult(planner, action, result));
    }

    private void onResult(FleetPlanner planner, ReplicaAction action, OrderResult result) {
        ordersInFlight--;
        metrics.count("orders_ended{result=\"" + result + "\"}");
        if (result != OrderResult.ACCEPTED) {
            log.write(EventLog.Component.ORDER, "ended", "result", result, "order", action);
        }
        planner.onResult(action, result, clocks.steadyMillis());
        if (result == OrderResult.FENCED) {
            onFenced.run();
        }
    }

    private static String kind(ReplicaAction action) {
        return switch (action) {
            case ReplicaAction.Join join -> "join";
            case ReplicaAction.Open open -> "open";
            case ReplicaAction.Leave leave -> "leave";
            case ReplicaAction.Stage stage -> "stage";
        };
    }
}
