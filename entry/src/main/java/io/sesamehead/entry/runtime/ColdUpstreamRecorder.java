package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.coordination.dispatch.ColdRequestLimit;
import io.sesamehead.coordination.dispatch.ColdUpstreams;
import io.sesamehead.coordination.evacuation.Evacuations;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.EntrySettings;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.StoreRevision;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/** Passes on to {@link ColdUpstreams} what the store states, and logs the upstreams that turn cold or warm. */
final class ColdUpstreamRecorder {
    /** Interval at which upstreams that are no longer listed are evicted, in milliseconds. */
    private static final long EVICTION_INTERVAL_MILLIS = 5_000;

    private final Clocks clocks;
    private final ColdUpstreams coldUpstreams;
    private final UpstreamRegistry registry;
    private final PeerDirectory directory;
    private final boolean firstStartOfDeployment;
    private final BooleanSupplier trafficSeen;
    private final EventLog log;
    private Optional<PeerDirectory.DaemonList> recordedList = Optional.empty();
    private long evictedAtMillis;

    ColdUpstreamRecorder(
            Clocks clocks,
            ColdUpstreams coldUpstreams,
            UpstreamRegistry registry,
            PeerDirectory directory,
            EntrySettings settings,
            BooleanSupplier trafficSeen,
            EventLog log,
            DaemonMetrics metrics) {
        this.clocks = clocks;
        this.coldUpstreams = coldUpstreams;
        this.registry = registry;
        this.directory = directory;
        this.firstStartOfDeployment = settings.bootstrap();
        this.trafficSeen = trafficSeen;
        this.log = log;
        if (coldUpstreams.isLimited()) {
            registry.setObserver(this::observe);
            metrics.gauge("cold_upstreams", () -> coldUpstreams.coldCount(clocks.steadyMillis()));
            metrics.gauge("cold_requests_held_back", coldUpstreams::heldBack);
        }
    }

    /** Creates the decision that the settings ask for. */
    static ColdUpstreams coldUpstreams(EntrySettings settings) {
        return new ColdUpstreams(
                new DaemonId(settings.daemon()),
                settings.placement().coldLimit().map(limit -> new ColdRequestLimit(limit.excess(), limit.slack())),
                settings.heartbeatMillis());
    }

    private void observe(UpstreamEntry entry, StoreRevision revision) {
        // A daemon that was restarted cannot know yet whether there is traffic at the others.
        boolean duringTraffic = !firstStartOfDeployment || trafficSeen.getAsBoolean();
        coldUpstreams.observe(entry, revision, duringTraffic, clocks.steadyMillis());
    }

    /** Applies a changed configuration. */
    void onFleetChange(ServingConfig config) {
        if (coldUpstreams.isLimited()) {
            coldUpstreams.updateServices(config.services().values());
        }
    }

    /** Takes the upstreams of failure domains whose evacuation has ended for cold, before anything is sent there. */
    void recordEvacuationEnds(Evacuations evacuations) {
        registry.entries().stream()
                .map(UpstreamEntry::failureDomain)
                .distinct()
                .forEach(domain -> evacuations
                        .endedAtMillis(domain)
                        .ifPresent(endedAt -> coldUpstreams.recordEvacuationEnded(domain, endedAt)));
    }

    /** Applies a list of daemons that has been read, and logs what has changed. */
    void update() {
        if (!coldUpstreams.isLimited()) {
            return;
        }
        long now = clocks.steadyMillis();
        Optional<PeerDirectory.DaemonList> latest = directory.latestList();
        if (!latest.equals(recordedList)) {
            recordedList = latest;
            latest.ifPresent(list -> coldUpstreams.recordDaemons(list.daemons(), list.requestedAtMillis(), now));
        }
        if (now - evictedAtMillis > EVICTION_INTERVAL_MILLIS) {
            evictedAtMillis = now;
            coldUpstreams.retain(
                    registry.entries().stream().map(UpstreamEntry::incarnation).toList(), now);
        }
        coldUpstreams.takeChanges(now).forEach(this::logChange);
    }

    private void logChange(ColdUpstreams.Change change) {
        switch (change) {
            case ColdUpstreams.Change.Cold cold ->
                log.write(
                        EventLog.Component.GROUP,
                        "cold",
                        "upstream",
                        cold.upstream().upstream(),
                        "for_ms",
                        cold.forMillis(),
                        "from",
                        cold.source().toLowerCase(Locale.ROOT),
                        "permits",
                        cold.permits());
            case ColdUpstreams.Change.Warm warm ->
                log.write(
                        EventLog.Component.GROUP,
                        "warm",
                        "upstream",
                        warm.upstream().upstream());
        }
    }
}
