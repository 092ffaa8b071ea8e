package io.sesamehead.daemon.runtime;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Heartbeat;
import io.sesamehead.daemon.transport.PeerConnection;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.ServiceName;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Services that the connected relays of other failure domains reported in their latest heartbeats. */
@Singleton
public final class RemoteServiceTable {
    private final DaemonTables tables;
    private final MonotonicClock clock;
    private final Map<DaemonId, Heartbeat> heartbeats = new ConcurrentHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param tables tables of this daemon; the directory records which daemons are live
     * @param clock monotonic clock
     */
    @Inject
    public RemoteServiceTable(DaemonTables tables, MonotonicClock clock) {
        this.tables = tables;
        this.clock = clock;
    }

    /**
     * Records the heartbeat of a daemon in another failure domain.
     *
     * @param daemon the daemon
     * @param heartbeat latest heartbeat of the daemon
     */
    public void record(DaemonId daemon, Heartbeat heartbeat) {
        heartbeats.put(daemon, heartbeat);
        heartbeats.keySet().removeIf(known -> tables.directory().entry(known).isEmpty());
    }

    /**
     * Returns whether a peer is live and reported that it serves a service.
     *
     * @param connection connection to the peer
     * @param service the service
     * @return true if the latest heartbeat of the live peer listed the service and did not report that it is leaving
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
