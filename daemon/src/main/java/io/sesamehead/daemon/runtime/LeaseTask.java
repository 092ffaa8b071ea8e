package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.lease.LeaseDecision;
import io.sesamehead.daemon.protocol.LeaseCodec;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.state.Evidence;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Acquires and renews the controller lease. Only the relays of the failure domain and the current holder read the lease,
 * so that the load on the store does not grow with the number of daemons.
 */
public final class LeaseTask implements Runnable {
    private static final int CHECKS_PER_TTL = 3;

    /** Long enough for two probe rounds and a digest from each peer. */
    private static final long EVIDENCE_WAIT_MILLIS = 5_000;

    private static final long EVIDENCE_CHECK_INTERVAL_MILLIS = 100;

    private final DaemonTables tables;
    private final StateDistributor distributor;
    private final PlatformClient platform;
    private final StoreWriter writer;
    private final long ttlMillis;
    private final LongSupplier clock;
    private final long createdAtMillis;
    private boolean wasHolder;
    private long nextRunMillis;

    /**
     * Creates the task.
     *
     * @param tables the tables of this daemon
     * @param distributor provides the highest controller epoch
     * @param platform the store
     * @param writer performs conditional writes
     * @param ttlMillis time to live of the lease, in milliseconds
     * @param clock monotonic clock, in milliseconds
     */
    public LeaseTask(
            DaemonTables tables,
            StateDistributor distributor,
            PlatformClient platform,
            StoreWriter writer,
            long ttlMillis,
            LongSupplier clock) {
        this.tables = tables;
        this.distributor = distributor;
        this.platform = platform;
        this.writer = writer;
        this.ttlMillis = ttlMillis;
        this.clock = clock;
        this.createdAtMillis = clock.getAsLong();
    }

    @Override
    public synchronized void run() {
        long nowMillis = clock.getAsLong();
        nextRunMillis = nowMillis + ttlMillis / CHECKS_PER_TTL;
        if (wasHolder || (tables.isRelay(nowMillis) && isReadyToAcquire(nowMillis))) {
            check();
        }
        boolean holder = tables.lease().heldLease(clock.getAsLong()).isPresent();
        if (holder != wasHolder) {
            Logger.info("lease: this daemon {} the controller of {}", holder ? "is" : "is no longer", objectName());
        }
        wasHolder = holder;
    }

    /**
     * Returns the delay before the next run.
     *
     * @return the delay in milliseconds, at least 1
     */
    public synchronized long waitMillis() {
        return Math.max(1, nextRunMillis - clock.getAsLong());
    }

    private void check() {
        switch (platform.read(ObjectKinds.CONTROLLERS, objectName())) {
            case StoreResult.Ok<PlatformObject>(PlatformObject object) -> {
                distributor.recordAnswer();
                decide(Optional.of(object));
            }
            case StoreResult.NotFound<PlatformObject>() -> {
                distributor.recordAnswer();
                decide(Optional.empty());
            }
            case StoreResult<PlatformObject> other -> Logger.debug("lease: cannot read the lease: {}", other);
        }
    }

    private void decide(Optional<PlatformObject> object) {
        Optional<Lease> read;
        try {
            read = object.isPresent()
                    ? Optional.of(LeaseCodec.decode(object.get().spec()))
                    : Optional.empty();
        } catch (MalformedMessageException e) {
            Logger.error("lease: cannot decode the lease: {}", e.getMessage());
            return;
        }
        Optional<String> version = object.map(PlatformObject::resourceVersion);
        switch (tables.lease().decide(clock.getAsLong(), read, highestEpoch())) {
            case LeaseDecision.Write(Lease lease, LeaseDecision.Kind kind) -> write(version, lease, kind);
            case LeaseDecision.Hold(long renewAtMillis) -> nextRunMillis = Math.min(nextRunMillis, renewAtMillis);
            case LeaseDecision.Wait(long untilMillis) -> nextRunMillis = Math.min(nextRunMillis, untilMillis);
        }
    }

    private void write(Optional<String> version, Lease lease, LeaseDecision.Kind kind) {
        switch (writer.write(
                ObjectKinds.CONTROLLERS, objectName(), version, token -> LeaseCodec.encode(lease, token))) {
            case StoreWriter.Outcome.Accepted accepted -> {
                tables.lease().accepted(clock.getAsLong(), lease);
                if (kind == LeaseDecision.Kind.ACQUIRE) {
                    Logger.info("lease: acquired epoch {} of {}", lease.epoch(), objectName());
                }
            }
            case StoreWriter.Outcome.Superseded overtaken -> tables.lease().lost();
            case StoreWriter.Outcome.NotWritten(String detail) -> Logger.warn("lease: {} failed: {}", kind, detail);
            case StoreWriter.Outcome.Unknown(String detail) ->
                Logger.warn("lease: outcome of {} is unknown: {}", kind, detail);
        }
    }

    /**
     * Releases the lease if this daemon holds it.
     *
     * @param ordersInFlight number of orders that can still take effect
     * @return false if the release must be retried because orders are in flight or the store did not accept it
     */
    public synchronized boolean release(int ordersInFlight) {
        Optional<Lease> released = tables.lease().release(ordersInFlight);
        if (released.isEmpty()) {
            return ordersInFlight == 0;
        }
        if (platform.read(ObjectKinds.CONTROLLERS, objectName())
                        instanceof StoreResult.Ok<PlatformObject>(PlatformObject object)
                && isHeldBySelf(object)) {
            StoreWriter.Outcome outcome = writer.write(
                    ObjectKinds.CONTROLLERS,
                    objectName(),
                    Optional.of(object.resourceVersion()),
                    token -> LeaseCodec.encode(released.get(), token));
            Logger.info(
                    "lease: release of {}: {}", objectName(), outcome.getClass().getSimpleName());
            return outcome instanceof StoreWriter.Outcome.Accepted;
        }
        return false;
    }

    private boolean isHeldBySelf(PlatformObject object) {
        try {
            return LeaseCodec.decode(object.spec())
                    .heldBy(tables.self().daemon(), tables.self().incarnation());
        } catch (MalformedMessageException e) {
            return false;
        }
    }

    /**
     * Returns whether this daemon has evidence of every engine or has waited for it long enough. Acquiring the lease
     * earlier could yield an epoch below one that engines have already accepted.
     */
    private boolean isReadyToAcquire(long nowMillis) {
        boolean evidenceComplete = tables.vms().hasList()
                && tables.evidence()
                        .snapshot()
                        .keySet()
                        .containsAll(tables.vms().ids());
        if (!evidenceComplete && nowMillis < createdAtMillis + EVIDENCE_WAIT_MILLIS) {
            nextRunMillis = nowMillis + EVIDENCE_CHECK_INTERVAL_MILLIS;
            return false;
        }
        return true;
    }

    /** Engines and assignments can carry a higher epoch than a store that was restored from an old copy. */
    private long highestEpoch() {
        long fromEngines = tables.evidence().snapshot().values().stream()
                .mapToLong(evidence -> switch (evidence) {
                    case Evidence.Reported reported -> reported.report().epoch().controllerEpoch();
                    case Evidence.Unreachable unreachable -> 0;
                })
                .max()
                .orElse(0);
        return Math.max(fromEngines, distributor.highestControllerEpoch());
    }

    private String objectName() {
        return tables.failureDomain().value();
    }
}
