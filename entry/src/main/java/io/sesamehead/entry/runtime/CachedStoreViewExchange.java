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
 * Shares what daemons know of the store. Ages are measured by the relay alone and counted from a moment of the receiver
 * before the relay spoke, so that delays on the way make knowledge look older, never younger.
 */
final class CachedStoreViewExchange implements StoreViewExchange {
    private final Clocks clocks;
    private final ActiveConfig gate;
    private final UpstreamRegistry registry;
    private final ConfigWatch configWatch;
    private final RegistryWatch registryWatch;
    private final EventLog log;

    CachedStoreViewExchange(
            Clocks clocks,
            ActiveConfig gate,
            UpstreamRegistry registry,
            ConfigWatch configWatch,
            RegistryWatch registryWatch,
            EventLog log) {
        this.clocks = clocks;
        this.gate = gate;
        this.registry = registry;
        this.configWatch = configWatch;
        this.registryWatch = registryWatch;
        this.log = log;
    }

    @Override
    public StoreView view() {
        StoreView.Builder view = StoreView.newBuilder();
        gate.table()
                .ifPresent(table -> view.setConfigVersion(table.config().version())
                        .setConfigAgeMillis(gate.ageMillis(clocks.bootMillis())));
        if (registryWatch.revision() > 0) {
            RecentChanges.Delta recent = registryWatch.recentChanges();
            view.setRegistryRevision(registryWatch.revision())
                    .setRegistryAgeMillis(Math.max(0, clocks.steadyMillis() - registry.answeredAtMillis()))
                    .setChangesSince(recent.sinceRevision());
            recent.changes().forEach(change -> view.addChanges(UpstreamRecordCodec.encode(change)));
        }
        return view.build();
    }

    @Override
    public void apply(StoreView view, long stampMillis) {
        long sinceStamp = clocks.bootMillis() - stampMillis;
        if (view.getConfigVersion() > 0) {
            configWatch.relayed(view.getConfigVersion(), stampMillis - view.getConfigAgeMillis());
        }
        if (view.getRegistryRevision() > 0) {
            List<ChangeBatch.Change<UpstreamEntry>> changes = new ArrayList<>();
            for (UpstreamChange change : view.getChangesList()) {
                try {
                    changes.add(UpstreamRecordCodec.decode(change));
                } catch (IllegalArgumentException e) {
                    // Without this change the rest would leave a gap; the store is asked instead.
                    log.write(EventLog.Component.REGISTRY, "unreadable", "entry", change.getName(), "cause", e);
                    return;
                }
            }
            registryWatch.relayed(
                    view.getRegistryRevision(),
                    view.getRegistryAgeMillis() + sinceStamp,
                    new RecentChanges.Delta(view.getChangesSince(), changes));
        }
    }
}
