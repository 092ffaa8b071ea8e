package io.sesamehead.daemon.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Takes the release that the store holds. When the store went back to an older copy, a relay writes the release in force
 * back to it; otherwise the next accepted note would get a generation that the daemons refuse. The write is conditional on
 * the version read, so that a late watch event or another relay's write makes it a conflict without effect.
 */
final class ReleaseRestorer implements Consumer<PlatformObject> {
    private final DaemonTables tables;
    private final StateDistributor news;
    private final PlatformClient platform;
    private final LongSupplier clock;

    /**
     * Creates a repair.
     *
     * @param tables the tables of this daemon
     * @param news takes the release
     * @param platform the store
     * @param clock monotonic clock, in milliseconds
     */
    ReleaseRestorer(DaemonTables tables, StateDistributor news, PlatformClient platform, LongSupplier clock) {
        this.tables = tables;
        this.news = news;
        this.platform = platform;
        this.clock = clock;
    }

    @Override
    public void accept(PlatformObject object) {
        Optional<JsonNode> newer = news.onStoredRelease(object);
        if (newer.isPresent() && tables.isRelay(clock.getAsLong())) {
            writeBack(object.withSpec(newer.get()));
        }
    }

    private void writeBack(PlatformObject object) {
        StoreResult<PlatformObject> result = platform.update(object);
        if (result instanceof StoreResult.Ok) {
            Logger.warn("config: wrote the release in force back to the store");
        } else {
            Logger.debug("config: the release was not written back: {}", result);
        }
    }
}
