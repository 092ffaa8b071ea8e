package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import io.sesamehead.coordination.membership.ReportTopology;
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
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Lists in the store where this daemon receives reports, and follows where the others do. */
final class PeerDirectory {
    /** Interval at which the list of daemons is read, in milliseconds: for daemons that never report to this one. */
    private static final long LIST_MILLIS = 15_000;
    /** Least time between two lists, in milliseconds; a report of an unlisted daemon asks for one. */
    private static final long SHORTEST_MILLIS = 1_000;
    /**
     * The first such interval, in milliseconds; it doubles. Daemons that start together list before all of them are listed,
     * and one that knows only a few others hears no relay.
     */
    private static final long FIRST_LIST_MILLIS = 1_000;
    /** Pause after a failed call, in milliseconds. */
    private static final long RETRY_MILLIS = 500;
    /** Other daemons, up to this number, are looked for at the shorter interval. */
    private static final int FEW_PEERS = 2;

    private final EventLoop loop;
    private final Clocks clocks;
    private final EntrySettings settings;
    private final ObjectStore store;
    private final ReportTopology relays;
    private final EventLog log;
    private final Map<DaemonId, InetSocketAddress> addresses = new HashMap<>();
    private Future<?> next;
    private long interval = FIRST_LIST_MILLIS;
    private long listedAt;
    private boolean registered;

    PeerDirectory(
            EventLoop loop,
            Clocks clocks,
            EntrySettings settings,
            ObjectStore store,
            ReportTopology relays,
            EventLog log) {
        this.loop = loop;
        this.clocks = clocks;
        this.next = loop.newSucceededFuture(null);
        this.settings = settings;
        this.store = store;
        this.relays = relays;
        this.log = log;
    }

    void start() {
        loop.execute(this::list);
    }

    /** Returns where all other daemons receive reports. */
    Collection<InetSocketAddress> addresses() {
        return addresses.values();
    }

    /** Returns all other daemons. */
    Collection<DaemonId> daemons() {
        return addresses.keySet();
    }

    /** Returns where some daemons receive reports; those that are not listed are left out. */
    Collection<InetSocketAddress> addresses(Collection<DaemonId> daemons) {
        return daemons.stream()
                .filter(addresses::containsKey)
                .map(addresses::get)
                .toList();
    }

    /**
     * Takes the origin of a report. One that the list does not hold comes from a daemon that is new.
     *
     * @param daemon the sender
     * @param origin where it sends from, which is where it receives
     */
    void onReport(DaemonId daemon, InetSocketAddress origin) {
        boolean due = clocks.steadyMillis() - listedAt >= SHORTEST_MILLIS;
        if (due && !origin.equals(addresses.get(daemon))) {
            interval = FIRST_LIST_MILLIS;
            listIn(0);
        }
    }

    private void list() {
        listedAt = clocks.steadyMillis();
        store.list(ObjectKind.DAEMONS, true, this::onListing);
    }

    private void onListing(StoreResult<Listing<DaemonEndpoint>> answer) {
        if (!(answer instanceof StoreResult.Ok<Listing<DaemonEndpoint>>(Listing<DaemonEndpoint> listing))) {
            listIn(RETRY_MILLIS);
            return;
        }
        DaemonEndpoint own = new DaemonEndpoint(settings.peerEndpoint(), settings.failureDomain());
        OptionalLong ownRevision = OptionalLong.empty();
        boolean current = false;
        Map<DaemonId, FailureDomain> listed = new HashMap<>();
        addresses.clear();
        for (StoredObject<DaemonEndpoint> object : listing.objects()) {
            if (object.name().equals(settings.daemon())) {
                ownRevision = OptionalLong.of(object.revision());
                current = object.content().filter(own::equals).isPresent();
            } else if (object.content().isPresent()) {
                DaemonId id = new DaemonId(object.name());
                Endpoint endpoint = object.content().get().reportsTo();
                addresses.put(id, new InetSocketAddress(endpoint.host(), endpoint.port()));
                listed.put(id, object.content().get().failureDomain());
            }
        }
        relays.updatePeers(listed);
        if (!current && !registered) {
            register(own, ownRevision);
        }
        listIn(interval);
        interval = addresses.size() <= FEW_PEERS ? FIRST_LIST_MILLIS : Math.min(LIST_MILLIS, 2 * interval);
    }

    private void listIn(long millis) {
        next.cancel(false);
        next = loop.schedule(this::list, millis, TimeUnit.MILLISECONDS);
    }

    private void register(DaemonEndpoint own, OptionalLong expected) {
        store.write(ObjectKind.DAEMONS, settings.daemon(), expected, own, answer -> {
            registered = answer instanceof StoreResult.Ok<StoredObject<DaemonEndpoint>>;
            log.write(EventLog.Component.PEER, "registered", "endpoint", own.reportsTo(), "done", registered);
            if (!registered) {
                listIn(FIRST_LIST_MILLIS);
            }
        });
    }
}
