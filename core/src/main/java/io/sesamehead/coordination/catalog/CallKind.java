package io.sesamehead.coordination.catalog;

/** Kind of a route's calls, which decides whether a call may be repeated. */
public enum CallKind {
    /** A call that may run more than once. */
    SAFE,
    /** A call that may run at most once. */
    UNSAFE,
    /** A call answered by an event stream; it may run at most once unless its route allows streams to be resumed. */
    STREAM
}
