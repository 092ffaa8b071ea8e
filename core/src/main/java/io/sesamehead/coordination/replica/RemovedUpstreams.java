package io.sesamehead.coordination.replica;

import io.sesamehead.state.InstanceId;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the upstreams that have been removed from the registry. A store that is restored from a copy lists them
 * again as they were, although they have ended and their addresses may belong to others. Not thread-safe.
 */
public final class RemovedUpstreams {
    /** Retention of a removal, in milliseconds: longer than the age of a copy and the absence of the store. */
    private static final long RETENTION_MILLIS = 60_000;
    /** Maximum number of removals that are remembered. */
    private static final int MAX_REMOVALS = 4_096;
    /** Number of heartbeat intervals after which the store removes the entry of a silent upstream. */
    private static final int SILENT_HEARTBEATS = 3;
    /** Time that the store may take to remove such an entry, in milliseconds. */
    private static final long REMOVAL_DELAY_MILLIS = 1_000;

    private final long proofMillis;
    private final Map<InstanceId, Removal> removals = new LinkedHashMap<>();
    private long restoredAtMillis;

    private record Removal(long startedAtEpochMillis, long removedAtMillis, boolean beforeRestore) {}

    /**
     * Creates an empty record.
     *
     * @param heartbeatMillis interval at which upstreams write to the store, in milliseconds
     */
    public RemovedUpstreams(long heartbeatMillis) {
        this.proofMillis = SILENT_HEARTBEATS * heartbeatMillis + REMOVAL_DELAY_MILLIS;
    }

    /**
     * Records the removal of an upstream.
     *
     * @param last the last known entry
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void record(UpstreamEntry last, long nowMillis) {
        removals.remove(last.id());
        removals.put(last.id(), new Removal(last.startedAtEpochMillis(), nowMillis, false));
        Iterator<Removal> oldestFirst = removals.values().iterator();
        while (nowMillis - oldestFirst.next().removedAtMillis() > RETENTION_MILLIS || removals.size() > MAX_REMOVALS) {
            oldestFirst.remove();
        }
    }

    /**
     * Records that the store has been restored. From now on, being listed does not show that a removed upstream lives.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordRestore(long nowMillis) {
        restoredAtMillis = nowMillis;
        removals.replaceAll(
                (id, removal) -> new Removal(removal.startedAtEpochMillis(), removal.removedAtMillis(), true));
    }

    /**
     * Records that a removed upstream has written to the store.
     *
     * @param id the upstream
     */
    public void recordAlive(InstanceId id) {
        removals.remove(id);
    }

    /**
     * Whether a listed upstream was removed before the store was restored, and may be listed only because the copy has
     * it. The entries of silent upstreams are removed some time after the restore.
     *
     * @param listed the entry as listed
     * @param asOfMillis monotonic time at which the store listed it, in milliseconds
     * @return true if the upstream must not be used yet
     */
    public boolean isUnproven(UpstreamEntry listed, long asOfMillis) {
        Removal removal = removals.get(listed.id());
        return removal != null
                && removal.beforeRestore()
                && listed.startedAtEpochMillis() <= removal.startedAtEpochMillis()
                && asOfMillis - restoredAtMillis <= proofMillis;
    }
}
