package io.sesamehead.coordination.catalog;

/** What may be repeated of a route's calls. */
public enum CallKind {
    /** A call that may run more than once. */
    SAFE,
    /** A call that may run at most once. */
    UNSAFE,
    /** A call answered by a series of events; it may run at most once unless its route allows resumption. */
    STREAM
}
