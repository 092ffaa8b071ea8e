package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.daemon.protocol.DirectoryCodec;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.PlatformObject;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.StoreResult;
import io.sesamehead.state.DaemonId;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/**
 * Maintains {@code daemondirectories/<fd>}. Each daemon registers itself at startup; the lease holder writes later
 * changes in batches.
 */
public final class DirectoryTask implements Runnable {
    /** Interval between runs. */
    static final Duration INTERVAL = Duration.ofSeconds(2);

    /** Minimum interval between two batch writes of the lease holder. */
    private static final long BATCH_INTERVAL_MILLIS = 10_000;

    /** Interval between checks of this daemon's entry, which a store restored from an old copy may have lost. */
    private static final long VERIFY_INTERVAL_MILLIS = 60_000;

    /** Maximum write attempts per run; writes conflict when several daemons register at the same time. */
    private static final int MAX_ATTEMPTS = 5;

    private final DaemonTables tables;
    private final PlatformClient platform;
    private final StoreWriter writer;
    private final LongSupplier clock;
    private boolean registered;
    private long verifyDueMillis;
    private long batchDueMillis;
    private Set<DaemonId> previouslyAbsent = Set.of();

    /**
     * Creates the task.
     *
     * @param tables the tables of this daemon
     * @param platform the store
     * @param writer performs conditional writes
     * @param clock monotonic clock, in milliseconds
     */
    public DirectoryTask(DaemonTables tables, PlatformClient platform, StoreWriter writer, LongSupplier clock) {
        this.tables = tables;
        this.platform = platform;
        this.writer = writer;
        this.clock = clock;
    }

    @Override
    public void run() {
        long nowMillis = clock.getAsLong();
        if (!registered || nowMillis >= verifyDueMillis) {
            verifyDueMillis = nowMillis + VERIFY_INTERVAL_MILLIS;
            registered = false;
            for (int attempt = 0; attempt < MAX_ATTEMPTS && !registered; attempt++) {
                registered = update(entries -> entries.put(tables.self().daemon(), tables.self()));
            }
            if (registered) {
                Logger.debug("daemon: registered in the directory of {}", objectName());
            } else {
                Logger.debug("daemon: registration in the directory failed; retrying on the next run");
            }
            return;
        }
        if (nowMillis >= batchDueMillis && tables.lease().maySend(nowMillis)) {
            batchDueMillis = nowMillis + BATCH_INTERVAL_MILLIS;
            update(entries -> merge(nowMillis, entries));
        }
    }

    /** Removes daemons that were absent in two consecutive batches; one absence may be a brief loss of heartbeats. */
    private void merge(long nowMillis, Map<DaemonId, DaemonEntry> entries) {
        Collection<DaemonEntry> live = tables.directory().live(nowMillis, tables.failureDomain());
        live.forEach(daemon -> entries.put(daemon.daemon(), daemon));
        Set<DaemonId> absent = new HashSet<>(entries.keySet());
        live.forEach(daemon -> absent.remove(daemon.daemon()));
        entries.keySet().removeIf(daemon -> absent.contains(daemon) && previouslyAbsent.contains(daemon));
        previouslyAbsent = absent;
    }

    private interface DirectoryChange {
        void apply(Map<DaemonId, DaemonEntry> entries);
    }

    private boolean update(DirectoryChange change) {
        return switch (platform.read(ObjectKinds.DAEMON_DIRECTORIES, objectName())) {
            case StoreResult.Ok<PlatformObject>(PlatformObject object) -> {
                Map<DaemonId, DaemonEntry> entries = decode(object);
                entries.values().forEach(tables.directory()::recordListed);
                yield write(Optional.of(object.resourceVersion()), entries, change);
            }
            case StoreResult.NotFound<PlatformObject>() -> write(Optional.empty(), new TreeMap<>(), change);
            case StoreResult<PlatformObject> other -> false;
        };
    }

    private boolean write(Optional<String> version, Map<DaemonId, DaemonEntry> entries, DirectoryChange change) {
        ImmutableList<DaemonEntry> before = ImmutableList.copyOf(entries.values());
        change.apply(entries);
        if (before.equals(ImmutableList.copyOf(entries.values()))) {
            return true;
        }
        StoreWriter.Outcome outcome = writer.write(
                ObjectKinds.DAEMON_DIRECTORIES,
                objectName(),
                version,
                token -> DirectoryCodec.encode(entries.values(), token));
        return outcome instanceof StoreWriter.Outcome.Accepted;
    }

    private static Map<DaemonId, DaemonEntry> decode(PlatformObject object) {
        Map<DaemonId, DaemonEntry> entries = new TreeMap<>();
        try {
            DirectoryCodec.decode(object.spec()).forEach(entry -> entries.put(entry.daemon(), entry));
        } catch (MalformedMessageException e) {
            Logger.error("peer: cannot decode the directory of {}; replacing it: {}", object.name(), e.getMessage());
        }
        return entries;
    }

    private String objectName() {
        return tables.failureDomain().value();
    }
}
