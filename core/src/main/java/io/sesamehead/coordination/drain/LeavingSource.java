package io.sesamehead.coordination.drain;

/** Source of a report that an upstream is leaving. */
public enum LeavingSource {
    /** The platform's VM list, which may be stale. */
    VM_LIST,
    /** The upstream's own status. */
    UPSTREAM_STATUS
}
