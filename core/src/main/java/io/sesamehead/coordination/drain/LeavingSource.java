package io.sesamehead.coordination.drain;

/** Who reports that an upstream is leaving. */
public enum LeavingSource {
    /** The platform's VM list, which lags. */
    VM_LIST,
    /** The upstream's own status. */
    UPSTREAM_STATUS
}
