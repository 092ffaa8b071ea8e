package io.sesamehead.state;

/** State that a model engine reports of itself. */
public enum EngineState {
    /** Belongs to no group. */
    IDLE,
    /** Is loading a model for a group. */
    LOADING,
    /** Is loaded and serves in its group. */
    READY,
    /** Is going away and takes no new work. */
    LEAVING
}
