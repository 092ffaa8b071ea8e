package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import io.sesamehead.daemon.protocol.DirectoryCodec;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.state.Vm;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** Reads the store at start and then rarely, so that a daemon converges even when all news to it were lost. */
public final class StorePoller {
    private final DaemonTables tables;
    private final StateDistributor news;
    private final PlatformClient platform;
    private final Consumer<PlatformObject> release;

    /**
     * Creates the poll.
     *
     * @param tables the tables of this daemon
     * @param news takes what was read
     * @param platform the store
     * @param release takes the release
     */
    public StorePoller(DaemonTables tables, StateDistributor news, PlatformClient platform, Consumer<PlatformObject> release) {
        this.tables = tables;
        this.news = news;
        this.platform = platform;
        this.release = release;
    }

    /** Reads release, assignment, VM list and directories. */
    public void readAll() {
        read(ObjectKinds.RELEASES, ObjectKinds.CURRENT_RELEASE, release);
        read(ObjectKinds.GROUP_ASSIGNMENTS, tables.failureDomain().value(), news::onStoredAssignment);
        readVms();
        readDirectories();
    }

    /** Reads the platform's list of the VMs of this failure domain. */
    public void readVms() {
        if (platform.vms(tables.failureDomain()) instanceof StoreResult.Ok<ImmutableList<Vm>>(ImmutableList<Vm> vms)) {
            news.recordAnswer();
            news.onStoredVms(vms);
        }
    }

    private void read(String kind, String name, Consumer<PlatformObject> sink) {
        switch (platform.read(kind, name)) {
            case StoreResult.Ok<PlatformObject>(PlatformObject object) -> {
                news.recordAnswer();
                sink.accept(object);
            }
            case StoreResult.NotFound<PlatformObject>() -> news.recordAnswer();
            case StoreResult<PlatformObject> other -> Logger.debug("store: cannot read {}/{}: {}", kind, name, other);
        }
    }

    private void readDirectories() {
        if (platform.list(ObjectKinds.DAEMON_DIRECTORIES)
                instanceof StoreResult.Ok<ImmutableList<PlatformObject>>(ImmutableList<PlatformObject> objects)) {
            news.recordAnswer();
            objects.forEach(this::learn);
        }
    }

    private void learn(PlatformObject object) {
        try {
            DirectoryCodec.decode(object.spec()).forEach(tables.directory()::recordListed);
        } catch (MalformedMessageException e) {
            Logger.error("peer: the directory of {} is unreadable: {}", object.name(), e.getMessage());
        }
    }
}
