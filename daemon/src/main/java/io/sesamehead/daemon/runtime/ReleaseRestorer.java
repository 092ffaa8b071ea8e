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
 * Merges the stored release. If the store was restored from an older copy, a relay writes the release in force back;
 * otherwise the next accepted release note would get a generation that the daemons refuse. The write is conditional on the
 * version read, so that it has no effect after a delayed watch event or a write of another relay.
 */
final class ReleaseRestorer implements Consumer<PlatformObject> {
    private final DaemonTables tables;
    private final StateDistributor distributor;
    private final PlatformClient platform;
    private final LongSupplier clock;

    /**
     * Creates a restorer.
     *
     * @param tables the tables of this daemon
     * @param distributor merges the release
     * @param platform the store
     * @param clock monotonic clock, in milliseconds
     */
    ReleaseRestorer(DaemonTables tables, StateDistributor distributor, PlatformClient platform, LongSupplier clock) {
        this.tables = tables;
        this.distributor = distributor;
        this.platform = platform;
        this.clock = clock;
    }

    @Override
    public void accept(PlatformObject object) {
        Optional<JsonNode> newer = distributor.onStoredRelease(object);
        if (newer.isPresent() && tables.isRelay(clock.getAsLong())) {
            writeBack(object.withSpec(newer.get()));
        }
    }

    private void writeBack(PlatformObject object) {
        StoreResult<PlatformObject> result = platform.update(object);
        if (result instanceof StoreResult.Ok) {
            Logger.warn("config: wrote the release in force back to the store");
        } else {
            Logger.debug("config: failed to write the release back: {}", result);
        }
    }
}
