package io.sesamehead.state;

/** State reported by a model engine. */
public enum EngineState {
    /** The engine belongs to no group. */
    IDLE,
    /** The engine is loading a model for a group. */
    LOADING,
    /** The engine has loaded the model and serves in its group. */
    READY,
    /** The engine is shutting down and accepts no new work. */
    LEAVING
}
