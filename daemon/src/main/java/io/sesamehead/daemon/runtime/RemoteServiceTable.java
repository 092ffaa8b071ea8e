package io.sesamehead.daemon.runtime;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Heartbeat;
import io.sesamehead.daemon.transport.PeerConnection;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.ServiceName;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Which services the connected relays of other failure domains said that they serve. */
@Singleton
public final class RemoteServiceTable {
    private final DaemonTables tables;
    private final MonotonicClock clock;
    private final Map<DaemonId, Heartbeat> heartbeats = new ConcurrentHashMap<>();

    /**
     * Creates an empty view.
     *
     * @param tables tell which daemons are live
     * @param clock monotonic clock
     */
    @Inject
    public RemoteServiceTable(DaemonTables tables, MonotonicClock clock) {
        this.tables = tables;
        this.clock = clock;
    }

    /**
     * Records the heartbeat of a daemon of another failure domain.
     *
     * @param daemon the daemon
     * @param heartbeat its heartbeat
     */
    public void record(DaemonId daemon, Heartbeat heartbeat) {
        heartbeats.put(daemon, heartbeat);
        heartbeats.keySet().removeIf(known -> tables.directory().entry(known).isEmpty());
    }

    /**
     * Tells whether a peer is live and said that it serves a service.
     *
     * @param connection connection to the peer
     * @param service the service
     * @return true when its last heartbeat named the service and it is not leaving
     */
    public boolean serves(PeerConnection connection, ServiceName service) {
        DaemonId daemon = new DaemonId(connection.peer().getDaemon());
        Heartbeat heartbeat = heartbeats.get(daemon);
        return heartbeat != null
                && !heartbeat.getLeaving()
                && heartbeat.getServingList().contains(service.value())
                && tables.directory().live(clock.millis()).stream()
                        .anyMatch(it -> it.daemon().equals(daemon));
    }
}
