package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import io.sesamehead.coordination.lease.Lease;
import io.sesamehead.coordination.lease.LeaseDecision;
import io.sesamehead.coordination.lease.LeaseHolder;
import io.sesamehead.coordination.lease.LeaseSettings;
import io.sesamehead.coordination.replica.Membership;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.StoreRevision;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Acquires and renews the controller lease in the store. Daemons without the lease rely on the holder's reports and
 * query the store when these stop; the conditional write decides which daemon gets the lease. All times include
 * suspension of the VM, so that a lease does not outlive the suspension of its holder.
 */
final class LeaseTask {
    /**
     * Time to live of the controller lease, in milliseconds: allows three renewals, and a new holder within the
     * recovery time.
     */
    private static final long LEASE_TTL_MILLIS = 1_500;
    /** Maximum drift between two steady clocks during one lease, in milliseconds. */
    private static final long MAX_CLOCK_DRIFT_MILLIS = 100;
    /**
     * Maximum time from sending an order to its arrival, in milliseconds; later orders are rejected by the fencing
     * token.
     */
    private static final long MAX_ORDER_DELAY_MILLIS = 300;
    /** Name of the lease object in the store. */
    static final String LEASE_NAME = "controller";
    /** Interval at which a daemon without the lease checks it, in milliseconds. */
    private static final long POLL_INTERVAL_MILLIS = 200;
    /**
     * Maximum poll interval while another daemon holds the lease but has not reported yet, in milliseconds. Four report
     * intervals.
     */
    private static final long HELD_POLL_INTERVAL_MILLIS = 600;
    /**
     * Time without a holder report after which the store is queried, in milliseconds. Covers three reports, also
     * through relays.
     */
    private static final long HOLDER_TIMEOUT_MILLIS = 700;
    /** Interval of renewals, in milliseconds. One third of the lease TTL. */
    private static final long RENEWAL_INTERVAL_MILLIS = 500;
    /** Delay after a failed request, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 200;

    /** Higher epochs in the entries of upstreams are not of this system: those of its groups would exceed 2^53. */
    private static final long MAX_UPSTREAM_EPOCH = (1L << 33) - 2;

    private static final String TASK = "lease";

    private final RequestSequence sequence;
    private final Clocks clocks;
    private final ObjectStore store;
    private final LeaseHolder holder;
    private final Supplier<? extends Collection<UpstreamEntry>> upstreams;
    /** Whether this daemon does not reach the upstreams that other daemons reach. */
    private final BooleanSupplier cutOff;

    private final EventLog log;
    private final RandomGenerator random;
    private final long ttlMillis;
    private Optional<StoredObject<Lease>> stored = Optional.empty();
    private long highestEpoch;
    private long holderReportedAtMillis = Long.MIN_VALUE / 2;
    private boolean stopping;

    /** Creates the task of a daemon with the times of the controller lease. */
    static LeaseTask create(
            EventLoop loop,
            Clocks clocks,
            ObjectStore store,
            EntrySettings settings,
            Incarnation incarnation,
            Supplier<? extends Collection<UpstreamEntry>> upstreams,
            BooleanSupplier cutOff,
            EventLog log,
            RandomGenerator random) {
        LeaseSettings times = new LeaseSettings(LEASE_TTL_MILLIS, MAX_CLOCK_DRIFT_MILLIS, MAX_ORDER_DELAY_MILLIS);
        LeaseHolder holder = new LeaseHolder(new DaemonId(settings.daemon()), incarnation, times);
        return new LeaseTask(loop, clocks, store, holder, upstreams, LEASE_TTL_MILLIS, cutOff, log, random);
    }

    LeaseTask(
            EventLoop loop,
            Clocks clocks,
            ObjectStore store,
            LeaseHolder holder,
            Supplier<? extends Collection<UpstreamEntry>> upstreams,
            long ttlMillis,
            BooleanSupplier cutOff,
            EventLog log,
            RandomGenerator random) {
        this.sequence = new RequestSequence(new EventLoopTasks(loop, log), TASK, this::readAgain);
        this.clocks = clocks;
        this.store = store;
        this.holder = holder;
        this.upstreams = upstreams;
        this.ttlMillis = ttlMillis;
        this.cutOff = cutOff;
        this.log = log;
        this.random = random;
    }

    void start() {
        // Without the random delay, daemons that start together would all try to create the lease.
        schedule(this::poll, random.nextLong(POLL_INTERVAL_MILLIS));
    }

    /** Returns the epoch under which orders may currently be sent. */
    OptionalLong epoch() {
        return holder.epoch(clocks.bootMillis());
    }

    /** Returns the lease to report to other daemons, present while this daemon may send orders under it. */
    Optional<Lease> held() {
        return epoch().isPresent() ? stored.flatMap(StoredObject::content) : Optional.empty();
    }

    /**
     * Handles a report from the lease holder. The lease counts as renewed when the renewal is first reported, and the
     * store is not queried while reports arrive.
     */
    void onHolderReport(DaemonId daemon, Incarnation incarnation, long epoch, long renewals) {
        if (epoch < highestEpoch || stopping) {
            return;
        }
        highestEpoch = epoch;
        holderReportedAtMillis = clocks.bootMillis();
        Lease lease = new Lease(daemon, incarnation, epoch, ttlMillis, renewals);
        holder.decide(holderReportedAtMillis, Optional.of(lease), highestEpoch);
    }

    /** Handles a restore of the store from a copy: orders need a new proof of the lease. */
    void onStoreRestored() {
        boolean held = holder.recordRestore(clocks.bootMillis());
        stored = Optional.empty();
        if (held) {
            sequence.restart(this::read);
        } else {
            sequence.restart(() -> schedulePoll(POLL_INTERVAL_MILLIS));
        }
    }

    /** Records that an upstream has seen a later lease holder. */
    void onFenced() {
        holder.lost();
        log.write(EventLog.Component.LEASE, "lost", "reason", "fenced");
    }

    /** Releases the lease, so that a successor does not have to wait for it to expire. */
    void stop(int ordersInFlight) {
        stopping = true;
        Optional<Lease> last = holder.release(ordersInFlight);
        if (last.isPresent() && stored.isPresent()) {
            log.write(
                    EventLog.Component.LEASE, "given-back", "epoch", last.get().epoch());
            Optional<StoreRevision> expected = Optional.of(stored.get().revision());
            store.write(ObjectKind.CONTROLLER_LEASE, LEASE_NAME, expected, last.get(), answer -> {});
        }
    }

    private void poll() {
        if (stopping) {
            return;
        }
        if (clocks.bootMillis() - holderReportedAtMillis < HOLDER_TIMEOUT_MILLIS) {
            schedulePoll(POLL_INTERVAL_MILLIS);
            return;
        }
        read();
    }

    private void read() {
        store.list(ObjectKind.CONTROLLER_LEASE, false, sequence.callback(this::onListing));
    }

    private void onListing(StoreResult<Listing<Lease>> answer) {
        if (stopping) {
            return;
        }
        if (!(answer instanceof StoreResult.Ok<Listing<Lease>>(Listing<Lease> listing))) {
            schedulePoll(RETRY_DELAY_MILLIS);
            return;
        }
        holder.recordEra(listing.revision().era());
        Optional<StoredObject<Lease>> read = listing.objects().stream()
                .filter(object -> object.name().equals(LEASE_NAME))
                .findFirst();
        boolean older = read.isPresent()
                && stored.isPresent()
                && read.get().revision().compareTo(stored.get().revision()) < 0;
        if (!older) {
            stored = read;
        }
        decide();
    }

    private void decide() {
        Optional<Lease> lease = stored.flatMap(StoredObject::content);
        lease.ifPresent(value -> highestEpoch = Math.max(highestEpoch, value.epoch()));
        if (cutOff.getAsBoolean()) {
            giveUp();
            return;
        }
        switch (holder.decide(clocks.bootMillis(), lease, highestEpoch, upstreamEpoch())) {
            case LeaseDecision.Write write -> write(write);
            case LeaseDecision.Hold hold -> schedule(this::decide, hold.renewAtMillis() - clocks.bootMillis());
            case LeaseDecision.Wait wait ->
                schedulePoll(Math.clamp(
                        wait.untilMillis() - clocks.bootMillis(), POLL_INTERVAL_MILLIS, HELD_POLL_INTERVAL_MILLIS));
        }
    }

    /** Lets the lease expire, so that a daemon that reaches the upstreams takes it. */
    private void giveUp() {
        if (epoch().isPresent()) {
            holder.lost();
            log.write(EventLog.Component.LEASE, "lost", "reason", "cut-off");
        }
        schedulePoll(HELD_POLL_INTERVAL_MILLIS);
    }

    /** Returns the highest controller epoch in the entries of upstreams, of those that name a group of this system. */
    private long upstreamEpoch() {
        return upstreams.get().stream()
                .flatMap(upstream -> upstream.membership().stream())
                .map(Membership::replica)
                .filter(replica -> replica.model().isPresent())
                .mapToLong(replica -> new Epoch(replica.epoch()).controllerEpoch())
                .filter(epoch -> epoch <= MAX_UPSTREAM_EPOCH)
                .max()
                .orElse(0);
    }

    private void write(LeaseDecision.Write write) {
        Optional<StoreRevision> expected = stored.map(StoredObject::revision);
        store.write(
                ObjectKind.CONTROLLER_LEASE,
                LEASE_NAME,
                expected,
                write.lease(),
                sequence.callback((StoreResult<StoredObject<Lease>> answer) -> onWritten(write.kind(), answer)));
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
                    log.write(
                            EventLog.Component.LEASE,
                            "taken",
                            "epoch",
                            lease.epoch(),
                            "revision",
                            object.revision().number());
                }
                schedule(this::decide, RENEWAL_INTERVAL_MILLIS);
            }
            case StoreResult.Conflict<StoredObject<Lease>> conflict -> {
                log.write(EventLog.Component.LEASE, "conflict", "kind", kind);
                holder.lost();
                stored = Optional.empty();
                schedulePoll(RETRY_DELAY_MILLIS);
            }
            case StoreResult.Refused<StoredObject<Lease>> refused -> schedulePoll(RETRY_DELAY_MILLIS);
            case StoreResult.HistoryExpired<StoredObject<Lease>> gone -> schedulePoll(RETRY_DELAY_MILLIS);
            case StoreResult.NoResponse<StoredObject<Lease>> none -> {
                log.write(EventLog.Component.LEASE, "no-answer", "kind", kind, "reason", none.reason());
                readAgain();
            }
        }
    }

    private void schedulePoll(long millis) {
        schedule(this::poll, millis + random.nextLong(millis / 2));
    }

    private void schedule(Runnable task, long millis) {
        sequence.schedule(task, Math.max(1, millis));
    }

    /** Reads the lease with full consistency after a request whose effect is unknown. */
    private void readAgain() {
        stored = Optional.empty();
        schedulePoll(RETRY_DELAY_MILLIS);
    }
}
