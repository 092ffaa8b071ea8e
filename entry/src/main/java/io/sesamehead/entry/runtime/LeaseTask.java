package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.lease.LeaseDecision;
import io.sesamehead.coordination.lease.LeaseHolder;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Incarnation;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Takes and renews the controller lease in the store. Daemons without the lease go by the holder's reports
 * and ask the store when these stop; the conditional write decides. Time is the clock that counts suspension: a lease does not outlive the
 * sleep of its holder.
 */
final class LeaseTask {
    /** Name of the lease's object. */
    static final String NAME = "controller";
    /** Interval at which a daemon without the lease looks at it, in milliseconds. */
    private static final long LOOK_MILLIS = 200;
    /** The same while another daemon holds the lease and is not heard yet, in milliseconds: four of its reports. */
    private static final long HELD_LOOK_MILLIS = 600;
    /** Silence of the holder after which the store is asked, in milliseconds: three of its reports, also through relays. */
    private static final long SILENCE_MILLIS = 700;
    /** Interval of renewals, in milliseconds: a third of the lease's time. */
    private static final long RENEW_MILLIS = 500;
    /** Pause after a failed call, in milliseconds. */
    private static final long RETRY_MILLIS = 200;

    private final EventLoop loop;
    private final Clocks clocks;
    private final ObjectStore store;
    private final LeaseHolder holder;
    private final EventLog log;
    private final RandomGenerator random;
    private final long ttlMillis;
    private Optional<StoredObject<Lease>> stored = Optional.empty();
    private long highestEpoch;
    private long heardAtMillis = Long.MIN_VALUE / 2;
    private boolean stopping;

    LeaseTask(
            EventLoop loop,
            Clocks clocks,
            ObjectStore store,
            LeaseHolder holder,
            long ttlMillis,
            EventLog log,
            RandomGenerator random) {
        this.loop = loop;
        this.clocks = clocks;
        this.store = store;
        this.holder = holder;
        this.ttlMillis = ttlMillis;
        this.log = log;
        this.random = random;
    }

    void start() {
        // Daemons that start together would all try to create the lease.
        schedule(this::look, random.nextLong(LOOK_MILLIS));
    }

    /** Returns the epoch under which orders may be sent now. */
    OptionalLong epoch() {
        return holder.epoch(clocks.bootMillis());
    }

    /** Returns the lease while this daemon may act under it, as other daemons are told. */
    Optional<Lease> held() {
        return epoch().isPresent() ? stored.flatMap(StoredObject::content) : Optional.empty();
    }

    /**
     * Takes a holder's own report. The lease counts as last renewed when its renewal was first heard of, and the store
     * need not be asked while the holder is heard.
     */
    void onHolderReport(DaemonId daemon, Incarnation incarnation, long epoch, long renewals) {
        if (epoch < highestEpoch || stopping) {
            return;
        }
        highestEpoch = epoch;
        heardAtMillis = clocks.bootMillis();
        Lease lease = new Lease(daemon, incarnation, epoch, ttlMillis, renewals);
        holder.decide(heardAtMillis, Optional.of(lease), highestEpoch);
    }

    /** Records that an upstream has seen a later holder. */
    void onFenced() {
        holder.lost();
        log.write(EventLog.Component.LEASE, "lost", "reason", "fenced");
    }

    /** Gives the lease back, so that a successor need not wait. */
    void stop(int ordersInFlight) {
        stopping = true;
        Optional<Lease> last = holder.release(ordersInFlight);
        if (last.isPresent() && stored.isPresent()) {
            log.write(EventLog.Component.LEASE, "given-back", "epoch", last.get().epoch());
            OptionalLong expected = OptionalLong.of(stored.get().revision());
            store.write(ObjectKind.CONTROLLER_LEASE, NAME, expected, last.get(), answer -> {});
        }
    }

    private void look() {
        if (stopping) {
            return;
        }
        if (clocks.bootMillis() - heardAtMillis < SILENCE_MILLIS) {
            lookAgain(LOOK_MILLIS);
            return;
        }
        store.list(ObjectKind.CONTROLLER_LEASE, false, this::onListing);
    }

    private void onListing(StoreResult<Listing<Lease>> answer) {
        if (stopping) {
            return;
        }
        if (!(answer instanceof StoreResult.Ok<Listing<Lease>>(Listing<Lease> listing))) {
            lookAgain(RETRY_MILLIS);
            return;
        }
        Optional<StoredObject<Lease>> read = listing.objects().stream()
                .filter(object -> object.name().equals(NAME))
                .findFirst();
        boolean older = read.isPresent()
                && stored.isPresent()
                && read.get().revision() < stored.get().revision();
        if (!older) {
            stored = read;
        }
        decide();
    }

    private void decide() {
        Optional<Lease> lease = stored.flatMap(StoredObject::content);
        lease.ifPresent(value -> highestEpoch = Math.max(highestEpoch, value.epoch()));
        switch (holder.decide(clocks.bootMillis(), lease, highestEpoch)) {
            case LeaseDecision.Write write -> write(write);
            case LeaseDecision.Hold hold -> schedule(this::decide, hold.renewAtMillis() - clocks.bootMillis());
            case LeaseDecision.Wait wait ->
                lookAgain(Math.clamp(wait.untilMillis() - clocks.bootMillis(), LOOK_MILLIS, HELD_LOOK_MILLIS));
        }
    }

    private void write(LeaseDecision.Write write) {
        OptionalLong expected =
                stored.isPresent() ? OptionalLong.of(stored.get().revision()) : OptionalLong.empty();
        store.write(
                ObjectKind.CONTROLLER_LEASE, NAME, expected, write.lease(), answer -> onWritten(write.kind(), answer));
    }

    private void onWritten(LeaseDecision.Kind kind, StoreResult<StoredObject<Lease>> answer) {
        if (stopping) {
            return;
        }
        switch (answer) {
            case StoreResult.Ok<StoredObject<Lease>>(StoredObject<Lease> object) -> {
                stored = Optional.of(object);
                Lease lease = object.content().orElseThrow();
                holder.accepted(clocks.bootMillis(), lease);
                if (kind == LeaseDecision.Kind.ACQUIRE) {
                    log.write(EventLog.Component.LEASE, "taken", "epoch", lease.epoch(), "revision", object.revision());
                }
                schedule(this::decide, RENEW_MILLIS);
            }
            case StoreResult.Conflict<StoredObject<Lease>> conflict -> {
                log.write(EventLog.Component.LEASE, "conflict", "kind", kind);
                holder.lost();
                stored = Optional.empty();
                lookAgain(RETRY_MILLIS);
            }
            case StoreResult.Refused<StoredObject<Lease>> refused -> lookAgain(RETRY_MILLIS);
            case StoreResult.HistoryExpired<StoredObject<Lease>> gone -> lookAgain(RETRY_MILLIS);
            case StoreResult.NoResponse<StoredObject<Lease>> none -> {
                // The write may have taken effect: read the object back with full consistency.
                log.write(EventLog.Component.LEASE, "no-answer", "kind", kind, "reason", none.reason());
                stored = Optional.empty();
                lookAgain(RETRY_MILLIS);
            }
        }
    }

    private void lookAgain(long millis) {
        schedule(this::look, millis + random.nextLong(millis / 2));
    }

    private void schedule(Runnable task, long millis) {
        loop.schedule(task, Math.max(1, millis), TimeUnit.MILLISECONDS);
    }
}
