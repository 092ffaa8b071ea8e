package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.group.Controller;
import io.sesamehead.coordination.group.ControllerAction;
import io.sesamehead.coordination.group.ControllerView;
import io.sesamehead.coordination.lease.HeldLease;
import io.sesamehead.daemon.protocol.AssignmentCodec;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.state.GroupAssignment;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Runs controller steps while this daemon holds the lease. Reads the assignment from the store after the lease was
 * acquired or a write was not confirmed, and executes the controller's actions in order.
 */
public final class ControllerTask implements Runnable {
    /** Interval between controller steps. */
    static final Duration INTERVAL = Duration.ofMillis(300);

    private final DaemonTables tables;
    private final Controller controller;
    private final StateDistributor distributor;
    private final PlatformClient platform;
    private final StoreWriter writer;
    private final EngineOrderSender orderSender;
    private final ProbeTask probes;
    private final LongSupplier clock;
    private Optional<StoredAssignment> stored = Optional.empty();
    private long storedEpoch;

    private record StoredAssignment(GroupAssignment assignment, Optional<String> version) {}

    /**
     * Creates the task.
     *
     * @param tables the tables of this daemon
     * @param controller decides the actions of each step
     * @param distributor distributes accepted assignments to peers
     * @param platform the store
     * @param writer performs conditional writes
     * @param orderSender sends orders to engines
     * @param probes reads the status of individual engines
     * @param clock monotonic clock, in milliseconds
     */
    public ControllerTask(
            DaemonTables tables,
            Controller controller,
            StateDistributor distributor,
            PlatformClient platform,
            StoreWriter writer,
            EngineOrderSender orderSender,
            ProbeTask probes,
            LongSupplier clock) {
        this.tables = tables;
        this.controller = controller;
        this.distributor = distributor;
        this.platform = platform;
        this.writer = writer;
        this.orderSender = orderSender;
        this.probes = probes;
        this.clock = clock;
    }

    @Override
    public synchronized void run() {
        orderSender.drainAnswered(controller::recordAnswered);
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
            if (!execute(action)) {
                return;
            }
        }
    }

    private boolean refresh(long epoch) {
        if (stored.isPresent() && storedEpoch == epoch) {
            return true;
        }
        stored = read();
        storedEpoch = epoch;
        return stored.isPresent();
    }

    private Optional<StoredAssignment> read() {
        return switch (platform.read(ObjectKinds.GROUP_ASSIGNMENTS, objectName())) {
            case StoreResult.Ok<PlatformObject>(PlatformObject object) -> decode(object);
            case StoreResult.NotFound<PlatformObject>() ->
                Optional.of(new StoredAssignment(GroupAssignment.empty(tables.failureDomain()), Optional.empty()));
            case StoreResult<PlatformObject> other -> {
                Logger.warn("group: cannot read the assignment: {}", other);
                yield Optional.empty();
            }
        };
    }

    private Optional<StoredAssignment> decode(PlatformObject object) {
        try {
            GroupAssignment assignment = AssignmentCodec.decode(object.spec());
            distributor.adoptStoredAssignment(assignment);
            return Optional.of(new StoredAssignment(assignment, Optional.of(object.resourceVersion())));
        } catch (MalformedMessageException e) {
            Logger.error("group: cannot decode the assignment in the store: {}", e.getMessage());
            return Optional.empty();
        }
    }

    private boolean execute(ControllerAction action) {
        return switch (action) {
            case ControllerAction.WriteAssignment(GroupAssignment assignment) -> write(assignment);
            case ControllerAction.ReadStatus(var vm) -> {
                probes.probe(vm);
                yield true;
            }
            case ControllerAction.Order order -> {
                orderSender.send(order);
                yield true;
            }
        };
    }

    /** Writes the assignment. If the write is not confirmed, the next step rereads the assignment. */
    private boolean write(GroupAssignment assignment) {
        if (!tables.lease().maySend(clock.getAsLong())) {
            return false;
        }
        StoreWriter.Outcome outcome = writer.write(
                ObjectKinds.GROUP_ASSIGNMENTS,
                objectName(),
                stored.orElseThrow().version(),
                token -> AssignmentCodec.encode(assignment, token));
        if (outcome instanceof StoreWriter.Outcome.Accepted(PlatformObject object)) {
            stored = Optional.of(new StoredAssignment(assignment, Optional.of(object.resourceVersion())));
            distributor.adoptStoredAssignment(assignment);
            return true;
        }
        Logger.warn("group: assignment write was not accepted: {}", outcome);
        stored = Optional.empty();
        return false;
    }

    /**
     * Returns the number of orders that can still take effect.
     *
     * @return the number of orders in flight
     */
    public synchronized int ordersInFlight() {
        orderSender.drainAnswered(controller::recordAnswered);
        return controller.ordersInFlight(clock.getAsLong());
    }

    private String objectName() {
        return tables.failureDomain().value();
    }
}
