package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import io.sesamehead.coordination.dispatch.PeerSelector;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.coordination.membership.ReportTopology;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.DaemonEndpoint;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreResult;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.StoreRevision;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;

/** Registers this daemon's report address in the store and tracks the addresses of the other daemons. */
final class PeerDirectory {
    /** Maximum list interval, in milliseconds. Finds daemons that never report to this one. */
    private static final long MAX_LIST_INTERVAL_MILLIS = 15_000;
    /** Minimum time after a listing before a report from an unlisted daemon triggers another, in milliseconds. */
    private static final long MIN_LIST_INTERVAL_MILLIS = 1_000;
    /**
     * Initial list interval, in milliseconds; it doubles after each listing. Daemons that start together list before
     * all of them are registered, and a daemon that knows only a few others receives no reports from a relay.
     */
    private static final long INITIAL_LIST_INTERVAL_MILLIS = 1_000;
    /** Delay after a failed request, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 500;
    /** Maximum number of other daemons at which the list interval stays at its initial value. */
    private static final int FEW_PEERS = 2;

    /** Time over which the listings of all daemons after a restore of the store are spread, in milliseconds. */
    private static final int RESTORE_SPREAD_MILLIS = 2_000;
    /**
     * Time after a restore for which the known daemons and addresses count beside the listed ones, in milliseconds. All
     * daemons register again meanwhile.
     */
    private static final long RETENTION_MILLIS = 5_000;

    /** Number of calls that this daemon passes on to one peer at a time, which leaves room for the peer's own callers. */
    private static final int PASSED_ON_CALLS = 24;

    private static final String TASK = "peer-listing";

    private final EventLoopTasks tasks;
    private final Clocks clocks;
    private final EntrySettings settings;
    private final ObjectStore store;
    private final ReportTopology topology;
    private final EventLog log;
    private final Map<DaemonId, InetSocketAddress> addresses = new HashMap<>();
    private final Map<DaemonId, FailureDomain> failureDomains = new HashMap<>();
    private Future<?> nextListing;
    private long intervalMillis = INITIAL_LIST_INTERVAL_MILLIS;
    private long listedAtMillis;
    /** Revision at which this daemon was last registered. */
    private Optional<StoreRevision> registeredAt = Optional.empty();

    private long retainUntilMillis = Long.MIN_VALUE;
    private Optional<DaemonList> latestList = Optional.empty();

    /**
     * The daemons that the store lists.
     *
     * @param daemons their ids, with this daemon's if it is listed
     * @param requestedAtMillis steady time at which the list was requested
     */
    record DaemonList(Set<DaemonId> daemons, long requestedAtMillis) {}

    PeerDirectory(
            EventLoop loop,
            Clocks clocks,
            EntrySettings settings,
            ObjectStore store,
            ReportTopology topology,
            EventLog log) {
        this.tasks = new EventLoopTasks(loop, log);
        this.clocks = clocks;
        this.nextListing = loop.newSucceededFuture(null);
        this.settings = settings;
        this.store = store;
        this.topology = topology;
        this.log = log;
    }

    void start() {
        tasks.execute(TASK, this::list, this::scheduleRetry);
    }

    /** Handles a restore of the store from a copy, which may lack registrations and list former addresses. */
    void onStoreRestored() {
        retainUntilMillis = clocks.steadyMillis() + RETENTION_MILLIS;
        intervalMillis = INITIAL_LIST_INTERVAL_MILLIS;
        scheduleListing(Math.floorMod(settings.daemon().hashCode(), RESTORE_SPREAD_MILLIS));
    }

    /** Returns the report addresses of all other daemons. */
    Collection<InetSocketAddress> addresses() {
        return addresses.values();
    }

    /** Returns the IDs of all other daemons. */
    Collection<DaemonId> daemons() {
        return addresses.keySet();
    }

    /** Returns the latest list of all daemons, empty until the store has answered. */
    Optional<DaemonList> latestList() {
        return latestList;
    }

    /** Returns the report addresses of the given daemons, without those that are not listed. */
    Collection<InetSocketAddress> addresses(Collection<DaemonId> daemons) {
        return daemons.stream()
                .filter(addresses::containsKey)
                .map(addresses::get)
                .toList();
    }

    /** Returns whether an address belongs to another daemon. */
    boolean isPeer(InetAddress address) {
        return addresses.values().stream().anyMatch(peer -> address.equals(peer.getAddress()));
    }

    /** Returns the other daemons as targets that pass on calls for a service. */
    List<PeerSelector.Peer> peerTargets(ServiceName service) {
        return addresses.entrySet().stream()
                .map(entry -> new PeerSelector.Peer(
                        entry.getKey().value(), peerTarget(entry.getKey(), entry.getValue(), service)))
                .toList();
    }

    private Target peerTarget(DaemonId daemon, InetSocketAddress address, ServiceName service) {
        TargetKey key = TargetKey.ofPeer(daemon);
        UpstreamEntry entry = new UpstreamEntry(
                new InstanceId(key.name()),
                0,
                0,
                service,
                new Endpoint(address.getHostString(), address.getPort()),
                failureDomains.getOrDefault(daemon, settings.failureDomain()),
                PASSED_ON_CALLS,
                false,
                "",
                List.of(),
                List.of(),
                Optional.empty());
        return new Target(key, entry, PASSED_ON_CALLS, 1, Optional.empty());
    }

    /**
     * Handles the origin of a report. An origin that is not listed belongs to a new daemon and triggers a listing.
     *
     * @param daemon the sender
     * @param origin the address that it sends from, which is also its report address
     */
    void onReport(DaemonId daemon, InetSocketAddress origin) {
        boolean due = clocks.steadyMillis() - listedAtMillis >= MIN_LIST_INTERVAL_MILLIS;
        if (due && !origin.equals(addresses.get(daemon))) {
            intervalMillis = INITIAL_LIST_INTERVAL_MILLIS;
            scheduleListing(0);
        }
    }

    private void list() {
        listedAtMillis = clocks.steadyMillis();
        store.list(ObjectKind.DAEMONS, true, tasks.callback(TASK, this::onListing, this::scheduleRetry));
    }

    private void onListing(StoreResult<Listing<DaemonEndpoint>> answer) {
        if (!(answer instanceof StoreResult.Ok<Listing<DaemonEndpoint>>(Listing<DaemonEndpoint> listing))) {
            scheduleRetry();
            return;
        }
        DaemonEndpoint own = new DaemonEndpoint(settings.peerEndpoint(), settings.failureDomain());
        Optional<StoreRevision> ownRevision = Optional.empty();
        boolean current = false;
        if (clocks.steadyMillis() >= retainUntilMillis) {
            addresses.clear();
            failureDomains.clear();
        }
        // A daemon counts even if its address cannot be read here, since others may read it.
        Set<DaemonId> daemons = new HashSet<>(addresses.keySet());
        for (StoredObject<DaemonEndpoint> object : listing.objects()) {
            if (!object.name().isBlank()) {
                daemons.add(new DaemonId(object.name()));
            }
            if (object.name().equals(settings.daemon())) {
                ownRevision = Optional.of(object.revision());
                current = object.content().filter(own::equals).isPresent();
            } else if (object.content().isPresent()) {
                DaemonId id = new DaemonId(object.name());
                Endpoint endpoint = object.content().get().reportsTo();
                addresses.putIfAbsent(id, new InetSocketAddress(endpoint.host(), endpoint.port()));
                failureDomains.putIfAbsent(id, object.content().get().failureDomain());
            }
        }
        topology.updatePeers(failureDomains);
        latestList = Optional.of(new DaemonList(daemons, listedAtMillis));
        // The listing may be older than the registration.
        boolean includesOwnWrite = registeredAt
                .map(written -> listing.revision().compareTo(written) >= 0)
                .orElse(true);
        if (!current && includesOwnWrite) {
            register(own, ownRevision);
        }
        scheduleListing(intervalMillis);
        intervalMillis = addresses.size() <= FEW_PEERS
                ? INITIAL_LIST_INTERVAL_MILLIS
                : Math.min(MAX_LIST_INTERVAL_MILLIS, 2 * intervalMillis);
    }

    private void scheduleListing(long millis) {
        nextListing.cancel(false);
        nextListing = tasks.schedule(TASK, this::list, millis, this::scheduleRetry);
    }

    private void scheduleRetry() {
        scheduleListing(RETRY_DELAY_MILLIS);
    }

    private void register(DaemonEndpoint own, Optional<StoreRevision> expected) {
        store.write(ObjectKind.DAEMONS, settings.daemon(), expected, own, answer -> {
            boolean registered = answer instanceof StoreResult.Ok<StoredObject<DaemonEndpoint>>;
            if (answer instanceof StoreResult.Ok<StoredObject<DaemonEndpoint>>(StoredObject<DaemonEndpoint> object)) {
                registeredAt = Optional.of(object.revision());
            }
            log.write(EventLog.Component.PEER, "registered", "endpoint", own.reportsTo(), "done", registered);
            if (!registered) {
                scheduleListing(INITIAL_LIST_INTERVAL_MILLIS);
            }
        });
    }
}
