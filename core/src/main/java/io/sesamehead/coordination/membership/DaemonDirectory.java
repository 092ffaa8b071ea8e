package io.sesamehead.coordination.membership;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Incarnation;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;

/**
 * The daemons that this daemon knows, and which of them are live. Lock: one {@link ReentrantLock}, place 4 in the lock
 * order of the tables.
 */
public final class DaemonDirectory {
    /** Replaced incarnations that are remembered for each daemon; late frames of older ones do not occur in practice. */
    private static final int MAX_REPLACED_INCARNATIONS = 8;

    private final ReentrantLock lock = new ReentrantLock();
    private final TreeMap<DaemonId, KnownDaemon> known = new TreeMap<>();
    private final DaemonEntry self;
    private final long suspectAfterMillis;
    private final long remoteSuspectAfterMillis;

    /** What became of an entry that was heard or read. */
    public enum Change {
        /** The daemon was not known. */
        NEW,
        /** The daemon was known with this incarnation. */
        KNOWN,
        /** The daemon restarted: the incarnation replaced an earlier one. */
        RESTARTED,
        /** The incarnation was replaced before, or is not this process under its own name; nothing was changed. */
        REPLACED
    }

    /**
     * Creates a directory that knows only this daemon.
     *
     * @param self this daemon, which is always live
     * @param suspectAfterMillis silence after which a daemon of the same failure domain is not live, in milliseconds
     * @param remoteSuspectAfterMillis the same for other failure domains, whose heartbeats are rarer, in milliseconds
     */
    public DaemonDirectory(DaemonEntry self, long suspectAfterMillis, long remoteSuspectAfterMillis) {
        this.self = self;
        this.suspectAfterMillis = suspectAfterMillis;
        this.remoteSuspectAfterMillis = remoteSuspectAfterMillis;
    }

    /**
     * Records a message received from a daemon itself: a greeting, a heartbeat or the announcement that it leaves. The
     * leaving flag of one incarnation is never taken back.
     *
     * @param nowMillis time of the receipt, in milliseconds
     * @param entry what the daemon told
     * @return what changed
     */
    public Change recordMessage(long nowMillis, DaemonEntry entry) {
        lock.lock();
        try {
            return put(entry, OptionalLong.of(nowMillis));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Records an entry of the platform's directory object. It gives an address to connect to but does not make the
     * daemon live, and it does not replace an incarnation that was heard directly.
     *
     * @param entry the entry
     * @return what changed
     */
    public Change recordListed(DaemonEntry entry) {
        lock.lock();
        try {
            KnownDaemon current = known.get(entry.daemon());
            if (current != null && current.lastMessageMillis.isPresent()) {
                boolean same = current.entry.incarnation().equals(entry.incarnation());
                return same ? Change.KNOWN : Change.REPLACED;
            }
            return put(entry, OptionalLong.empty());
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the live daemons of a failure domain that are not leaving, with this daemon where it belongs to it.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @param failureDomain the failure domain
     * @return the daemons in the order of their names
     */
    public ImmutableList<DaemonEntry> live(long nowMillis, FailureDomain failureDomain) {
        return select(
                it -> it.entry.failureDomain().equals(failureDomain) && !it.entry.leaving() && isLive(nowMillis, it));
    }

    /**
     * Returns the ids of the live daemons of a failure domain that are not leaving.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @param failureDomain the failure domain
     * @return the ids in the order of their names
     */
    public ImmutableList<DaemonId> liveIds(long nowMillis, FailureDomain failureDomain) {
        return live(nowMillis, failureDomain).stream()
                .map(DaemonEntry::daemon)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns the live daemons of all failure domains that are not leaving.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @return the daemons in the order of their names
     */
    public ImmutableList<DaemonEntry> live(long nowMillis) {
        return select(it -> !it.entry.leaving() && isLive(nowMillis, it));
    }

    /**
     * Returns every daemon that is known, live or not, with this daemon.
     *
     * @return the daemons in the order of their names
     */
    public ImmutableList<DaemonEntry> known() {
        return select(it -> true);
    }

    /**
     * Finds a daemon.
     *
     * @param daemon the daemon
     * @return its entry, or empty
     */
    public Optional<DaemonEntry> entry(DaemonId daemon) {
        if (daemon.equals(self.daemon())) {
            return Optional.of(self);
        }
        lock.lock();
        try {
            return Optional.ofNullable(known.get(daemon)).map(it -> it.entry);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Forgets daemons that were silent for long. The caller chooses a time far above the suspicion times.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @param silentMillis silence after which a daemon is forgotten, in milliseconds
     */
    public void evictSilent(long nowMillis, long silentMillis) {
        lock.lock();
        try {
            known.values()
                    .removeIf(it -> it.lastMessageMillis.isPresent()
                            && nowMillis - it.lastMessageMillis.getAsLong() >= silentMillis);
        } finally {
            lock.unlock();
        }
    }

    private Change put(DaemonEntry entry, OptionalLong messageMillis) {
        if (entry.daemon().equals(self.daemon())) {
            return entry.incarnation().equals(self.incarnation()) ? Change.KNOWN : Change.REPLACED;
        }
        KnownDaemon current = known.get(entry.daemon());
        if (current == null) {
            known.put(entry.daemon(), new KnownDaemon(entry, messageMillis));
            return Change.NEW;
        }
        if (current.replaced.contains(entry.incarnation())) {
            return Change.REPLACED;
        }
        if (current.entry.incarnation().equals(entry.incarnation())) {
            current.update(entry, messageMillis);
            return Change.KNOWN;
        }
        current.restart(entry, messageMillis);
        return Change.RESTARTED;
    }

    private boolean isLive(long nowMillis, KnownDaemon daemon) {
        if (daemon.entry.daemon().equals(self.daemon())) {
            return true;
        }
        boolean sameDomain = daemon.entry.failureDomain().equals(self.failureDomain());
        long limitMillis = sameDomain ? suspectAfterMillis : remoteSuspectAfterMillis;
        return daemon.lastMessageMillis.isPresent() && nowMillis - daemon.lastMessageMillis.getAsLong() < limitMillis;
    }

    private ImmutableList<DaemonEntry> select(Predicate<KnownDaemon> condition) {
        lock.lock();
        try {
            TreeMap<DaemonId, DaemonEntry> result = new TreeMap<>();
            KnownDaemon own = new KnownDaemon(self, OptionalLong.empty());
            if (condition.test(own)) {
                result.put(self.daemon(), self);
            }
            for (KnownDaemon it : known.values()) {
                if (condition.test(it)) {
                    result.put(it.entry.daemon(), it.entry);
                }
            }
            return ImmutableList.copyOf(result.values());
        } finally {
            lock.unlock();
        }
    }

    private static final class KnownDaemon {
        private final ArrayDeque<Incarnation> replaced = new ArrayDeque<>();
        private DaemonEntry entry;
        private OptionalLong lastMessageMillis;

        KnownDaemon(DaemonEntry entry, OptionalLong lastMessageMillis) {
            this.entry = entry;
            this.lastMessageMillis = lastMessageMillis;
        }

        void update(DaemonEntry next, OptionalLong messageMillis) {
            boolean leaving = entry.leaving() || next.leaving();
            entry = new DaemonEntry(
                    next.daemon(), next.incarnation(), next.failureDomain(), next.peerAddress(), leaving);
            lastMessageMillis = messageMillis.isPresent() ? messageMillis : lastMessageMillis;
        }

        void restart(DaemonEntry next, OptionalLong messageMillis) {
            replaced.addLast(entry.incarnation());
            if (replaced.size() > MAX_REPLACED_INCARNATIONS) {
                replaced.removeFirst();
            }
            entry = next;
            lastMessageMillis = messageMillis;
        }
    }
}
