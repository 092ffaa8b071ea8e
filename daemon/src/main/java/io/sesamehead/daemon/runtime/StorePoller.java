package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import io.sesamehead.daemon.protocol.DirectoryCodec;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.state.Vm;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Polls the store at startup and then infrequently, so that a daemon converges even if it received no updates. */
public final class StorePoller {
    private final DaemonTables tables;
    private final StateDistributor distributor;
    private final PlatformClient platform;
    private final Consumer<PlatformObject> releaseConsumer;

    /**
     * Creates a poller.
     *
     * @param tables the tables of this daemon
     * @param distributor merges the objects read
     * @param platform the store
     * @param releaseConsumer receives the stored release
     */
    public StorePoller(
            DaemonTables tables,
            StateDistributor distributor,
            PlatformClient platform,
            Consumer<PlatformObject> releaseConsumer) {
        this.tables = tables;
        this.distributor = distributor;
        this.platform = platform;
        this.releaseConsumer = releaseConsumer;
    }

    /** Reads the release, the assignment, the VM list and the directories. */
    public void readAll() {
        read(ObjectKinds.RELEASES, ObjectKinds.CURRENT_RELEASE, releaseConsumer);
        read(ObjectKinds.GROUP_ASSIGNMENTS, tables.failureDomain().value(), distributor::onStoredAssignment);
        readVms();
        readDirectories();
    }

    /** Reads the platform's list of the VMs of this failure domain. */
    public void readVms() {
        if (platform.vms(tables.failureDomain()) instanceof StoreResult.Ok<ImmutableList<Vm>>(ImmutableList<Vm> vms)) {
            distributor.recordAnswer();
            distributor.onStoredVms(vms);
        }
    }

    private void read(String kind, String name, Consumer<PlatformObject> consumer) {
        switch (platform.read(kind, name)) {
            case StoreResult.Ok<PlatformObject>(PlatformObject object) -> {
                distributor.recordAnswer();
                consumer.accept(object);
            }
            case StoreResult.NotFound<PlatformObject>() -> distributor.recordAnswer();
            case StoreResult<PlatformObject> other -> Logger.debug("store: cannot read {}/{}: {}", kind, name, other);
        }
    }

    private void readDirectories() {
        if (platform.list(ObjectKinds.DAEMON_DIRECTORIES)
                instanceof StoreResult.Ok<ImmutableList<PlatformObject>>(ImmutableList<PlatformObject> objects)) {
            distributor.recordAnswer();
            objects.forEach(this::recordDirectory);
        }
    }

    private void recordDirectory(PlatformObject object) {
        try {
            DirectoryCodec.decode(object.spec()).forEach(tables.directory()::recordListed);
        } catch (MalformedMessageException e) {
            Logger.error("peer: cannot decode the directory of {}: {}", object.name(), e.getMessage());
        }
    }
}
