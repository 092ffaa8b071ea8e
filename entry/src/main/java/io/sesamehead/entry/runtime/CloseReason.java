package io.sesamehead.entry.runtime;

/** Why a caller's connection was closed. */
enum CloseReason {
    IDLE,
    ABORTED,
    /** By the caller, after the last response, or after an error. */
    OTHER
}
