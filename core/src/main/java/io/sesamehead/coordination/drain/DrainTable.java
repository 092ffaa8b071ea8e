package io.sesamehead.coordination.drain;

import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.VmId;
import java.util.EnumSet;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * The upstreams that are leaving, according to two sources. An upstream is leaving from the first report of either
 * source until no source reports it. Guarded by its own monitor, which is a leaf lock: no other lock is acquired while
 * holding it.
 */
public final class DrainTable {
    private final TreeMap<VmId, LeavingEntry> leaving = new TreeMap<>();

    /** Creates a table without leaving upstreams. */
    public DrainTable() {}

    /**
     * Records the report of a source about an upstream.
     *
     * @param nowMillis time of the report, in milliseconds
     * @param vm the upstream
     * @param source source of the report
     * @param isLeaving whether the upstream is leaving according to the source
     * @return true if the upstream was not leaving before and is now
     */
    public synchronized boolean observe(long nowMillis, VmId vm, LeavingSource source, boolean isLeaving) {
        LeavingEntry entry = leaving.get(vm);
        if (isLeaving) {
            if (entry != null) {
                entry.sources.add(source);
                return false;
            }
            leaving.put(vm, new LeavingEntry(nowMillis, source));
            return true;
        }
        if (entry != null && entry.sources.remove(source) && entry.sources.isEmpty()) {
            leaving.remove(vm);
        }
        return false;
    }

    /**
     * Whether an upstream is leaving and receives no new work.
     *
     * @param vm the upstream
     * @return true if a source reports it as leaving
     */
    public synchronized boolean isLeaving(VmId vm) {
        return leaving.containsKey(vm);
    }

    /**
     * Returns the time of the first report that an upstream is leaving.
     *
     * @param vm the upstream
     * @return the time in milliseconds, or empty if it is not leaving
     */
    public synchronized OptionalLong leavingSinceMillis(VmId vm) {
        LeavingEntry entry = leaving.get(vm);
        return entry == null ? OptionalLong.empty() : OptionalLong.of(entry.sinceMillis);
    }

    /**
     * Returns all leaving upstreams.
     *
     * @return an immutable copy
     */
    public synchronized ImmutableSet<VmId> leaving() {
        return ImmutableSet.copyOf(leaving.keySet());
    }

    private static final class LeavingEntry {
        private final long sinceMillis;
        private final EnumSet<LeavingSource> sources;

        LeavingEntry(long sinceMillis, LeavingSource source) {
            this.sinceMillis = sinceMillis;
            this.sources = EnumSet.of(source);
        }
    }
}
