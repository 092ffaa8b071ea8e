package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.entry.transport.HttpConnectionPool;

/** Registers the gauges of what a daemon knows and holds. */
final class DaemonGauges {
    private DaemonGauges() {}

    static void register(
            DaemonMetrics metrics,
            Clocks clocks,
            ActiveConfig activeConfig,
            UpstreamRegistry registry,
            Fleet fleet,
            TargetTable targetTable,
            CallEnvironment environment,
            CallerServer callerServer,
            HttpConnectionPool clients,
            PeerReporter peerReporter,
            LeaseTask lease,
            EventLog log) {
        metrics.gauge("config_age_ms", () -> activeConfig.ageMillis(clocks.bootMillis()));
        metrics.gauge("config_version", environment::configVersion);
        metrics.gauge("registry_age_ms", environment::registryAgeMillis);
        metrics.gauge("upstreams_listed", () -> registry.entries().size());
        metrics.gauge("targets_serving", () -> fleet.servingTargets().size());
        metrics.gauge("calls_open", environment::openCalls);
        metrics.gauge("connections_open", callerServer::openConnections);
        metrics.gauge("upstream_connections_opened", clients::openedConnections);
        metrics.gauge("peers_heard", targetTable::peerCount);
        metrics.gauge("daemons_relayed", peerReporter::relayedDaemons);
        metrics.gauge("controller", () -> lease.epoch().isPresent() ? 1 : 0);
        metrics.gauge("log_lines_dropped", log::droppedLines);
    }
}
