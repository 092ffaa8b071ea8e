package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.group.Controller;
import io.sesamehead.coordination.group.ControllerAction;
import io.sesamehead.coordination.group.ControllerView;
import io.sesamehead.coordination.lease.HeldLease;
import io.sesamehead.daemon.protocol.AssignmentCodec;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.state.GroupAssignment;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Steps the controller while this daemon holds the lease: reads the assignment from the store when the lease was taken
 * or a write was not clearly accepted, and carries out the controller's actions in order.
 */
public final class ControllerTask implements Runnable {
    /** Interval of the steps. */
    static final Duration INTERVAL = Duration.ofMillis(300);

    private final DaemonTables tables;
    private final Controller controller;
    private final StateDistributor news;
    private final PlatformClient platform;
    private final StoreWriter writes;
    private final EngineOrderSender orders;
    private final ProbeTask probes;
    private final LongSupplier clock;
    private Optional<Stored> stored = Optional.empty();
    private long storedForEpoch;

    private record Stored(GroupAssignment assignment, Optional<String> version) {}

    /**
     * Creates the task.
     *
     * @param tables the tables of this daemon
     * @param controller the deciding part
     * @param news passes accepted assignments on
     * @param platform the store
     * @param writes conditional writes
     * @param orders sends orders to engines
     * @param probes reads the status of single engines
     * @param clock monotonic clock, in milliseconds
     */
    public ControllerTask(
            DaemonTables tables,
            Controller controller,
            StateDistributor news,
            PlatformClient platform,
            StoreWriter writes,
            EngineOrderSender orders,
            ProbeTask probes,
            LongSupplier clock) {
        this.tables = tables;
        this.controller = controller;
        this.news = news;
        this.platform = platform;
        this.writes = writes;
        this.orders = orders;
        this.probes = probes;
        this.clock = clock;
    }

    @Override
    public synchronized void run() {
        orders.drainAnswered(controller::recordAnswered);
        Optional<HeldLease> lease = tables.lease().heldLease(clock.getAsLong());
        if (lease.isEmpty()) {
            stored = Optional.empty();
            return;
        }
        if (!tables.vms().hasList() || !refresh(lease.get().epoch())) {
            return;
        }
        ControllerView view = new ControllerView(
                lease,
                tables.config().inForce(),
                stored.orElseThrow().assignment(),
                tables.vms().all(),
                tables.evidence().snapshot());
        for (ControllerAction action : controller.step(clock.getAsLong(), view)) {
            if (!carryOut(action)) {
                return;
            }
        }
    }

    private boolean refresh(long epoch) {
        if (stored.isPresent() && storedForEpoch == epoch) {
            return true;
        }
        stored = read();
        storedForEpoch = epoch;
        return stored.isPresent();
    }

    private Optional<Stored> read() {
        return switch (platform.read(ObjectKinds.GROUP_ASSIGNMENTS, name())) {
            case StoreResult.Ok<PlatformObject>(PlatformObject object) -> decode(object);
            case StoreResult.NotFound<PlatformObject>() ->
                Optional.of(new Stored(GroupAssignment.empty(tables.failureDomain()), Optional.empty()));
            case StoreResult<PlatformObject> other -> {
                Logger.warn("group: the assignment cannot be read: {}", other);
                yield Optional.empty();
            }
        };
    }

    private Optional<Stored> decode(PlatformObject object) {
        try {
            GroupAssignment assignment = AssignmentCodec.decode(object.spec());
            news.adoptStoredAssignment(assignment);
            return Optional.of(new Stored(assignment, Optional.of(object.resourceVersion())));
        } catch (MalformedMessageException e) {
            Logger.error("group: the assignment in the store is unreadable: {}", e.getMessage());
            return Optional.empty();
        }
    }

    private boolean carryOut(ControllerAction action) {
        return switch (action) {
            case ControllerAction.WriteAssignment(GroupAssignment assignment) -> write(assignment);
            case ControllerAction.ReadStatus(var vm) -> {
                probes.probe(vm);
                yield true;
            }
            case ControllerAction.Order order -> {
                orders.send(order);
                yield true;
            }
        };
    }

    /** After a write that is not clearly accepted the next step reads the assignment again. */
    private boolean write(GroupAssignment assignment) {
        if (!tables.lease().maySend(clock.getAsLong())) {
            return false;
        }
        StoreWriter.Outcome outcome = writes.write(
                ObjectKinds.GROUP_ASSIGNMENTS,
                name(),
                stored.orElseThrow().version(),
                token -> AssignmentCodec.encode(assignment, token));
        if (outcome instanceof StoreWriter.Outcome.Accepted(PlatformObject object)) {
            stored = Optional.of(new Stored(assignment, Optional.of(object.resourceVersion())));
            news.adoptStoredAssignment(assignment);
            return true;
        }
        Logger.warn("group: the assignment was not accepted: {}", outcome);
        stored = Optional.empty();
        return false;
    }

    /**
     * Returns the number of orders that can still take effect.
     *
     * @return the count
     */
    public synchronized int ordersInFlight() {
        orders.drainAnswered(controller::recordAnswered);
        return controller.ordersInFlight(clock.getAsLong());
    }

    private String name() {
        return tables.failureDomain().value();
    }
}
