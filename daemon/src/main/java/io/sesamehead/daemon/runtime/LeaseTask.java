package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.lease.LeaseDecision;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.LeaseCodec;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.state.Evidence;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Takes and renews the controller lease. Only the relays of the failure domain and the present holder read the lease,
 * so that the store's load does not grow with the number of daemons.
 */
public final class LeaseTask implements Runnable {
    private static final int CHECKS_PER_TTL = 3;

    /** Two rounds of probes and a digest of each peer fit into this time. */
    private static final long LOOK_MILLIS = 5_000;

    private static final long LOOK_STEP_MILLIS = 100;

    private final DaemonTables tables;
    private final StateDistributor news;
    private final PlatformClient platform;
    private final StoreWriter writes;
    private final long ttlMillis;
    private final LongSupplier clock;
    private final long firstRunMillis;
    private boolean wasHolder;
    private long nextMillis;

    /**
     * Creates the task.
     *
     * @param tables the tables of this daemon
     * @param news knows the highest controller epoch
     * @param platform the store
     * @param writes conditional writes
     * @param ttlMillis time to live of the lease, in milliseconds
     * @param clock monotonic clock, in milliseconds
     */
    public LeaseTask(
            DaemonTables tables,
            StateDistributor news,
            PlatformClient platform,
            StoreWriter writes,
            long ttlMillis,
            LongSupplier clock) {
        this.tables = tables;
        this.news = news;
        this.platform = platform;
        this.writes = writes;
        this.ttlMillis = ttlMillis;
        this.clock = clock;
        this.firstRunMillis = clock.getAsLong();
    }

    @Override
    public synchronized void run() {
        long nowMillis = clock.getAsLong();
        nextMillis = nowMillis + ttlMillis / CHECKS_PER_TTL;
        if (wasHolder || (tables.isRelay(nowMillis) && hasLooked(nowMillis))) {
            check();
        }
        boolean holder = tables.lease().heldLease(clock.getAsLong()).isPresent();
        if (holder != wasHolder) {
            Logger.info("lease: this daemon {} the controller of {}", holder ? "is" : "is no longer", name());
        }
        wasHolder = holder;
    }

    /**
     * Returns the wait until the next run.
     *
     * @return milliseconds
     */
    public synchronized long waitMillis() {
        return Math.max(1, nextMillis - clock.getAsLong());
    }

    private void check() {
        switch (platform.read(ObjectKinds.CONTROLLERS, name())) {
            case StoreResult.Ok<PlatformObject>(PlatformObject object) -> {
                news.recordAnswer();
                decide(Optional.of(object));
            }
            case StoreResult.NotFound<PlatformObject>() -> {
                news.recordAnswer();
                decide(Optional.empty());
            }
            case StoreResult<PlatformObject> other -> Logger.debug("lease: cannot be read: {}", other);
        }
    }

    private void decide(Optional<PlatformObject> object) {
        Optional<Lease> read;
        try {
            read = object.isPresent()
                    ? Optional.of(LeaseCodec.decode(object.get().spec()))
                    : Optional.empty();
        } catch (MalformedMessageException e) {
            Logger.error("lease: the object is unreadable: {}", e.getMessage());
            return;
        }
        Optional<String> version = object.map(PlatformObject::resourceVersion);
        switch (tables.lease().decide(clock.getAsLong(), read, highestEpoch())) {
            case LeaseDecision.Write(Lease lease, LeaseDecision.Kind kind) -> write(version, lease, kind);
            case LeaseDecision.Hold(long renewAtMillis) -> nextMillis = Math.min(nextMillis, renewAtMillis);
            case LeaseDecision.Wait(long untilMillis) -> nextMillis = Math.min(nextMillis, untilMillis);
        }
    }

    private void write(Optional<String> version, Lease lease, LeaseDecision.Kind kind) {
        switch (writes.write(ObjectKinds.CONTROLLERS, name(), version, token -> LeaseCodec.encode(lease, token))) {
            case StoreWriter.Outcome.Accepted accepted -> {
                tables.lease().accepted(clock.getAsLong(), lease);
                if (kind == LeaseDecision.Kind.ACQUIRE) {
                    Logger.info("lease: took epoch {} of {}", lease.epoch(), name());
                }
            }
            case StoreWriter.Outcome.Superseded overtaken -> tables.lease().lost();
            case StoreWriter.Outcome.NotWritten(String detail) -> Logger.warn("lease: {} failed: {}", kind, detail);
            case StoreWriter.Outcome.Unknown(String detail) ->
                Logger.warn("lease: outcome of {} is not known: {}", kind, detail);
        }
    }

    /**
     * Gives the lease back if this daemon holds it.
     *
     * @param ordersInFlight orders that can still take effect
     * @return false when it is to be tried again, because orders are in flight or the store did not answer
     */
    public synchronized boolean release(int ordersInFlight) {
        Optional<Lease> released = tables.lease().release(ordersInFlight);
        if (released.isEmpty()) {
            return ordersInFlight == 0;
        }
        if (platform.read(ObjectKinds.CONTROLLERS, name()) instanceof StoreResult.Ok<PlatformObject>(PlatformObject object)
                && stillOurs(object)) {
            StoreWriter.Outcome outcome = writes.write(
                    ObjectKinds.CONTROLLERS,
                    name(),
                    Optional.of(object.resourceVersion()),
                    token -> LeaseCodec.encode(released.get(), token));
            Logger.info("lease: gave {} back: {}", name(), outcome.getClass().getSimpleName());
            return outcome instanceof StoreWriter.Outcome.Accepted;
        }
        return false;
    }

    private boolean stillOurs(PlatformObject object) {
        try {
            return LeaseCodec.decode(object.spec())
                    .heldBy(tables.self().daemon(), tables.self().incarnation());
        } catch (MalformedMessageException e) {
            return false;
        }
    }

    /**
     * Tells whether this daemon has seen every engine once or has tried for long enough. Before that it could take an
     * epoch below one that engines already obey.
     */
    private boolean hasLooked(long nowMillis) {
        boolean seen = tables.vms().hasList()
                && tables.evidence()
                        .snapshot()
                        .keySet()
                        .containsAll(tables.vms().ids());
        if (!seen && nowMillis < firstRunMillis + LOOK_MILLIS) {
            nextMillis = nowMillis + LOOK_STEP_MILLIS;
            return false;
        }
        return true;
    }

    /** Engines and assignments can know a higher epoch than a store that was restored from an old copy. */
    private long highestEpoch() {
        long fromEngines = tables.evidence().snapshot().values().stream()
                .mapToLong(evidence -> switch (evidence) {
                    case Evidence.Reported reported -> reported.report().epoch().controllerEpoch();
                    case Evidence.Unreachable unreachable -> 0;
                })
                .max()
                .orElse(0);
        return Math.max(fromEngines, news.highestControllerEpoch());
    }

    private String name() {
        return tables.failureDomain().value();
    }
}
