package io.sesamehead.entry.runtime;

import io.netty.channel.EventLoop;
import io.sesamehead.coordination.membership.ReportRelays;
import io.sesamehead.entry.port.DaemonEndpoint;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.entry.port.Listing;
import io.sesamehead.entry.port.ObjectKind;
import io.sesamehead.entry.port.ObjectStore;
import io.sesamehead.entry.port.StoreAnswer;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Lists in the store where this daemon receives reports, and follows where the others do. */
final class PeerDirectory {
    /** Interval at which the list of daemons is read, in milliseconds; a changed VM is known to all after two. */
    private static final long LIST_MILLIS = 4_000;
    /** The same while few other daemons are known, in milliseconds. */
    private static final long FIRST_LIST_MILLIS = 1_000;
    /** Pause after a failed call, in milliseconds. */
    private static final long RETRY_MILLIS = 500;
    /** Other daemons, up to this number, are looked for at the shorter interval. */
    private static final int FEW_PEERS = 2;

    private final EventLoop loop;
    private final EntrySettings settings;
    private final ObjectStore store;
    private final ReportRelays relays;
    private final EventLog log;
    private final Map<DaemonId, InetSocketAddress> addresses = new HashMap<>();
    private boolean registered;

    PeerDirectory(EventLoop loop, EntrySettings settings, ObjectStore store, ReportRelays relays, EventLog log) {
        this.loop = loop;
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

    /** Returns where some daemons receive reports; those that are not listed are left out. */
    Collection<InetSocketAddress> addresses(Collection<DaemonId> daemons) {
        return daemons.stream()
                .filter(addresses::containsKey)
                .map(addresses::get)
                .toList();
    }

    private void list() {
        store.list(ObjectKind.DAEMONS, true, this::onListing);
    }

    private void onListing(StoreAnswer<Listing<DaemonEndpoint>> answer) {
        if (!(answer instanceof StoreAnswer.Done<Listing<DaemonEndpoint>>(Listing<DaemonEndpoint> listing))) {
            loop.schedule(this::list, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        DaemonEndpoint own = new DaemonEndpoint(settings.peers(), settings.failureDomain());
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
        relays.listed(listed);
        if (!current && !registered) {
            register(own, ownRevision);
        }
        long next = addresses.size() <= FEW_PEERS ? FIRST_LIST_MILLIS : LIST_MILLIS;
        loop.schedule(this::list, next, TimeUnit.MILLISECONDS);
    }

    private void register(DaemonEndpoint own, OptionalLong expected) {
        store.write(ObjectKind.DAEMONS, settings.daemon(), expected, own, answer -> {
            registered = answer instanceof StoreAnswer.Done<StoredObject<DaemonEndpoint>>;
            log.write(EventLog.Part.PEER, "registered", "endpoint", own.reportsTo(), "done", registered);
        });
    }
}
