package io.sesamehead.coordination.drain;

import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.VmId;
import java.util.EnumSet;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Which upstreams are leaving. The first of two sources to report wins; an upstream stays leaving until no source
 * reports it. Guarded by its own monitor, a leaf: no other lock is acquired under it.
 */
public final class DrainTable {
    private final TreeMap<VmId, LeavingEntry> leaving = new TreeMap<>();

    /** Creates a table without leaving upstreams. */
    public DrainTable() {}

    /**
     * Records what a source says about an upstream.
     *
     * @param nowMillis time of the report, in milliseconds
     * @param vm the upstream
     * @param source who reports
     * @param isLeaving whether the upstream is leaving according to the source
     * @return true when the upstream was not leaving before and is now
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
     * Tells whether an upstream is leaving and gets no new work.
     *
     * @param vm the upstream
     * @return true when a source reports it
     */
    public synchronized boolean isLeaving(VmId vm) {
        return leaving.containsKey(vm);
    }

    /**
     * Returns when the first source reported that an upstream is leaving.
     *
     * @param vm the upstream
     * @return the time in milliseconds, or empty
     */
    public synchronized OptionalLong leavingSinceMillis(VmId vm) {
        LeavingEntry entry = leaving.get(vm);
        return entry == null ? OptionalLong.empty() : OptionalLong.of(entry.sinceMillis);
    }

    /**
     * Returns all upstreams that are leaving.
     *
     * @return a copy
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
