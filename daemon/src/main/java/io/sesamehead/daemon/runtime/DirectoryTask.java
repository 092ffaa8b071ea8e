package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.daemon.protocol.DirectoryCodec;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.protocol.MalformedMessageException;
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
 * Keeps {@code daemondirectories/<fd>}: each daemon adds itself at start, and the lease holder writes later changes in
 * one batch.
 */
public final class DirectoryTask implements Runnable {
    /** Interval of the checks. */
    static final Duration INTERVAL = Duration.ofSeconds(2);

    /** The lease holder writes at most this often. */
    private static final long BATCH_MILLIS = 10_000;

    /** A store that was restored from an old copy can have lost the entry, so it is looked for this often. */
    private static final long VERIFY_MILLIS = 60_000;

    /** Tries of one run when several daemons register at the same time. */
    private static final int TRIES = 5;

    private final DaemonTables tables;
    private final PlatformClient platform;
    private final StoreWriter writes;
    private final LongSupplier clock;
    private boolean registered;
    private long verifyDueMillis;
    private long batchDueMillis;
    private Set<DaemonId> absentBefore = Set.of();

    /**
     * Creates the task.
     *
     * @param tables the tables of this daemon
     * @param platform the store
     * @param writes conditional writes
     * @param clock monotonic clock, in milliseconds
     */
    public DirectoryTask(DaemonTables tables, PlatformClient platform, StoreWriter writes, LongSupplier clock) {
        this.tables = tables;
        this.platform = platform;
        this.writes = writes;
        this.clock = clock;
    }

    @Override
    public void run() {
        long nowMillis = clock.getAsLong();
        if (!registered || nowMillis >= verifyDueMillis) {
            verifyDueMillis = nowMillis + VERIFY_MILLIS;
            registered = false;
            for (int attempt = 0; attempt < TRIES && !registered; attempt++) {
                registered = update(entries -> entries.put(tables.self().daemon(), tables.self()));
            }
            if (registered) {
                Logger.debug("daemon: registered in the directory of {}", name());
            } else {
                Logger.debug("daemon: registration in the directory is to be tried again");
            }
            return;
        }
        if (nowMillis >= batchDueMillis && tables.lease().maySend(nowMillis)) {
            batchDueMillis = nowMillis + BATCH_MILLIS;
            update(entries -> merge(nowMillis, entries));
        }
    }

    /** A daemon that was absent in two batches is taken out; a single one can be a short silence. */
    private void merge(long nowMillis, Map<DaemonId, DaemonEntry> entries) {
        Collection<DaemonEntry> live = tables.directory().live(nowMillis, tables.failureDomain());
        live.forEach(daemon -> entries.put(daemon.daemon(), daemon));
        Set<DaemonId> absent = new HashSet<>(entries.keySet());
        live.forEach(daemon -> absent.remove(daemon.daemon()));
        entries.keySet().removeIf(daemon -> absent.contains(daemon) && absentBefore.contains(daemon));
        absentBefore = absent;
    }

    private interface Change {
        void apply(Map<DaemonId, DaemonEntry> entries);
    }

    private boolean update(Change change) {
        return switch (platform.read(ObjectKinds.DAEMON_DIRECTORIES, name())) {
            case StoreResult.Ok<PlatformObject>(PlatformObject object) -> {
                Map<DaemonId, DaemonEntry> entries = decode(object);
                entries.values().forEach(tables.directory()::recordListed);
                yield write(Optional.of(object.resourceVersion()), entries, change);
            }
            case StoreResult.NotFound<PlatformObject>() -> write(Optional.empty(), new TreeMap<>(), change);
            case StoreResult<PlatformObject> other -> false;
        };
    }

    private boolean write(Optional<String> version, Map<DaemonId, DaemonEntry> entries, Change change) {
        ImmutableList<DaemonEntry> before = ImmutableList.copyOf(entries.values());
        change.apply(entries);
        if (before.equals(ImmutableList.copyOf(entries.values()))) {
            return true;
        }
        StoreWriter.Outcome outcome = writes.write(
                ObjectKinds.DAEMON_DIRECTORIES, name(), version, token -> DirectoryCodec.encode(entries.values(), token));
        return outcome instanceof StoreWriter.Outcome.Accepted;
    }

    private static Map<DaemonId, DaemonEntry> decode(PlatformObject object) {
        Map<DaemonId, DaemonEntry> entries = new TreeMap<>();
        try {
            DirectoryCodec.decode(object.spec()).forEach(entry -> entries.put(entry.daemon(), entry));
        } catch (MalformedMessageException e) {
            Logger.error("peer: the directory of {} is unreadable and is replaced: {}", object.name(), e.getMessage());
        }
        return entries;
    }

    private String name() {
        return tables.failureDomain().value();
    }
}
