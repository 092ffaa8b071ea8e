package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.protocol.UpstreamRecordCodec;
import io.sesamehead.entry.protocol.generated.StoreView;
import io.sesamehead.entry.protocol.generated.UpstreamChange;
import java.util.ArrayList;
import java.util.List;

/**
 * Builds store views from the cached configuration and registry, and passes received views to the watches. Only the
 * relay measures ages. The receiver counts them from a time on its own clock before the relay sent the view, so that
 * delivery delays make the data look older, never newer.
 */
final class CachedStoreViewExchange implements StoreViewExchange {
    private final Clocks clocks;
    private final ActiveConfig activeConfig;
    private final UpstreamRegistry registry;
    private final ConfigWatch configWatch;
    private final RegistryWatch registryWatch;
    private final EventLog log;

    CachedStoreViewExchange(
            Clocks clocks,
            ActiveConfig activeConfig,
            UpstreamRegistry registry,
            ConfigWatch configWatch,
            RegistryWatch registryWatch,
            EventLog log) {
        this.clocks = clocks;
        this.activeConfig = activeConfig;
        this.registry = registry;
        this.configWatch = configWatch;
        this.registryWatch = registryWatch;
        this.log = log;
    }

    @Override
    public StoreView view() {
        StoreView.Builder view = StoreView.newBuilder();
        activeConfig
                .table()
                .ifPresent(table -> view.setConfigVersion(table.config().version())
                        .setConfigAgeMillis(activeConfig.ageMillis(clocks.bootMillis())));
        if (registryWatch.revision() > 0) {
            RecentChanges.Delta recent = registryWatch.recentChanges();
            view.setRegistryRevision(registryWatch.revision())
                    .setRegistryAgeMillis(Math.max(0, clocks.steadyMillis() - registry.answeredAtMillis()));
            UpstreamRecordCodec.addChanges(view, recent.sinceRevision(), recent.changes());
        }
        return view.build();
    }

    @Override
    public void apply(StoreView view, long stampMillis) {
        long elapsedMillis = clocks.bootMillis() - stampMillis;
        if (elapsedMillis < 0 || view.getConfigAgeMillis() < 0 || view.getRegistryAgeMillis() < 0) {
            log.write(EventLog.Component.PEER, "impossible-age", "elapsed_ms", elapsedMillis);
            return;
        }
        if (view.getConfigVersion() > 0) {
            configWatch.onRelayedVersion(view.getConfigVersion(), stampMillis - view.getConfigAgeMillis());
        }
        if (view.getRegistryRevision() > 0) {
            List<ChangeBatch.Change<UpstreamEntry>> changes = new ArrayList<>();
            for (UpstreamChange change : view.getChangesList()) {
                try {
                    changes.add(UpstreamRecordCodec.decode(change));
                } catch (IllegalArgumentException e) {
                    // Without this change the others would leave a gap, so the store is queried instead.
                    log.write(EventLog.Component.REGISTRY, "unreadable", "entry", change.getName(), "cause", e);
                    return;
                }
            }
            registryWatch.onRelayedChanges(
                    view.getRegistryRevision(),
                    view.getRegistryAgeMillis() + elapsedMillis,
                    new RecentChanges.Delta(view.getChangesSince(), changes));
        }
    }
}
