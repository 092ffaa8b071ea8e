package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.evacuation.Evacuations;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.coordination.store.StoreHistory;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.protocol.UpstreamRecordCodec;
import io.sesamehead.entry.protocol.generated.StoreView;
import io.sesamehead.entry.protocol.generated.UpstreamChange;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.StoreRevision;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Builds store views from the cached configuration and registry, and passes received views to the watches. Only the
 * relay measures ages. The receiver counts them from a time on its own clock before the relay sent the view, so that
 * delivery delays make the data look older, never newer.
 */
final class CachedStoreViewExchange implements StoreViewExchange {
    /** Maximum number of evacuated failure domains in a view. With more of them, each daemon asks the store. */
    private static final int MAX_EVACUATED = 64;
    /** Maximum length of their names together, in characters. A report must fit into a datagram. */
    private static final int MAX_EVACUATED_CHARS = 1_024;

    private final Clocks clocks;
    private final ActiveConfig activeConfig;
    private final ConfigWatch configWatch;
    private final RegistryWatch registryWatch;
    private final EvacuationWatch evacuationWatch;
    private final StoreHistory storeHistory;
    private final EventLog log;

    CachedStoreViewExchange(
            Clocks clocks,
            ActiveConfig activeConfig,
            ConfigWatch configWatch,
            RegistryWatch registryWatch,
            EvacuationWatch evacuationWatch,
            StoreHistory storeHistory,
            EventLog log) {
        this.clocks = clocks;
        this.activeConfig = activeConfig;
        this.configWatch = configWatch;
        this.registryWatch = registryWatch;
        this.evacuationWatch = evacuationWatch;
        this.storeHistory = storeHistory;
        this.log = log;
    }

    @Override
    public StoreView view() {
        StoreView.Builder view = StoreView.newBuilder().setStoreEra(storeHistory.era());
        activeConfig
                .table()
                .ifPresent(table -> view.setConfigVersion(table.config().version())
                        .setConfigAgeMillis(activeConfig.ageMillis(clocks.bootMillis())));
        if (registryWatch.hasBeenCurrent()) {
            RecentChanges.Delta recent = registryWatch.recentChanges();
            view.setRegistryRevision(registryWatch.revision().number())
                    .setRegistryAgeMillis(Math.max(0, registryWatch.ageMillis(clocks.steadyMillis())));
            UpstreamRecordCodec.addChanges(view, recent.sinceRevision().number(), recent.changes());
        }
        addEvacuations(view);
        return view.build();
    }

    private void addEvacuations(StoreView.Builder view) {
        Evacuations evacuations = evacuationWatch.evacuations();
        List<String> names =
                evacuations.evacuated().stream().map(FailureDomain::value).toList();
        int chars = names.stream().mapToInt(String::length).sum();
        if (evacuations.isKnown() && names.size() <= MAX_EVACUATED && chars <= MAX_EVACUATED_CHARS) {
            view.setEvacuationsKnown(true)
                    .setEvacuationsRevision(evacuations.revision().number())
                    .setEvacuationsAgeMillis(evacuationWatch.ageMillis())
                    .addAllEvacuated(names);
        }
    }

    @Override
    public void apply(StoreView view, long stampMillis) {
        long era = view.getStoreEra();
        if (era > storeHistory.era()) {
            // Only the store itself proves a restore; a wrong era from a daemon would make its answers look old for
            // good.
            registryWatch.refresh();
        }
        if (era != storeHistory.era()) {
            // What the relay knows belongs to another history of the store than what this daemon knows.
            return;
        }
        long elapsedMillis = clocks.bootMillis() - stampMillis;
        if (elapsedMillis < 0
                || view.getConfigAgeMillis() < 0
                || view.getRegistryAgeMillis() < 0
                || view.getEvacuationsAgeMillis() < 0) {
            log.write(EventLog.Component.PEER, "impossible-age", "elapsed_ms", elapsedMillis);
            return;
        }
        applyEvacuations(view, stampMillis);
        if (view.getConfigVersion() > 0) {
            configWatch.onRelayedVersion(view.getConfigVersion(), stampMillis - view.getConfigAgeMillis());
        }
        if (view.getRegistryRevision() > 0) {
            List<ChangeBatch.Change<UpstreamEntry>> changes = new ArrayList<>();
            for (UpstreamChange change : view.getChangesList()) {
                try {
                    changes.add(UpstreamRecordCodec.decode(change, era));
                } catch (IllegalArgumentException e) {
                    // Without this change the others would leave a gap, so the store is queried instead.
                    log.write(EventLog.Component.REGISTRY, "unreadable", "entry", change.getName(), "cause", e);
                    return;
                }
            }
            registryWatch.onRelayedChanges(
                    new StoreRevision(era, view.getRegistryRevision()),
                    view.getRegistryAgeMillis() + elapsedMillis,
                    new RecentChanges.Delta(new StoreRevision(era, view.getChangesSince()), changes));
        }
    }

    /** A relay of a former build states nothing of evacuations, so that the store is asked. */
    private void applyEvacuations(StoreView view, long stampMillis) {
        if (!view.getEvacuationsKnown() || view.getEvacuationsRevision() <= 0) {
            return;
        }
        if (view.getEvacuatedList().stream().anyMatch(String::isBlank)) {
            // Without this name the state is incomplete, so the store is asked instead.
            log.write(EventLog.Component.EVACUATION, "unreadable", "revision", view.getEvacuationsRevision());
            return;
        }
        evacuationWatch.onRelayedState(
                new StoreRevision(view.getStoreEra(), view.getEvacuationsRevision()),
                view.getEvacuatedList().stream().map(FailureDomain::new).collect(Collectors.toSet()),
                stampMillis - view.getEvacuationsAgeMillis());
    }
}
