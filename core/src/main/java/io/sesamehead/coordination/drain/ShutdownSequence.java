package io.sesamehead.coordination.drain;

/**
 * The phases of a stopping daemon. Each phase has a time limit, so that a peer or a store that does not answer cannot
 * hold up the stop. Guarded by its own monitor, a leaf: no other lock is acquired under it.
 */
public final class ShutdownSequence {
    /** An announcement is one frame on an open connection; a peer that takes longer learns it by the silence. */
    private static final long ANNOUNCE_TIMEOUT_MILLIS = 1_000;

    /** Past this the lease is left to expire. */
    private static final long LEASE_BACK_TIMEOUT_MILLIS = 2_000;

    private final long graceMillis;
    private ShutdownPhase phase = ShutdownPhase.RUNNING;
    private long signaledAtMillis;
    private long phaseSinceMillis;

    /**
     * Creates a running daemon.
     *
     * @param graceMillis longest time from the signal to the exit, in milliseconds
     */
    public ShutdownSequence(long graceMillis) {
        this.graceMillis = graceMillis;
    }

    /**
     * Records a stop signal. The first one starts the stop, a second one ends it.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @return the phase from now on
     */
    public synchronized ShutdownPhase signal(long nowMillis) {
        if (phase == ShutdownPhase.RUNNING) {
            signaledAtMillis = nowMillis;
            return enter(nowMillis, ShutdownPhase.ANNOUNCE);
        }
        return enter(nowMillis, ShutdownPhase.EXIT);
    }

    /**
     * Moves on where a phase is done or its time is over.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @param progress what was done so far
     * @return the phase from now on
     */
    public synchronized ShutdownPhase advance(long nowMillis, ShutdownProgress progress) {
        if (phase == ShutdownPhase.RUNNING || phase == ShutdownPhase.EXIT) {
            return phase;
        }
        if (nowMillis - signaledAtMillis >= graceMillis) {
            return enter(nowMillis, ShutdownPhase.EXIT);
        }
        long inPhaseMillis = nowMillis - phaseSinceMillis;
        if (phase == ShutdownPhase.ANNOUNCE && (progress.announced() || inPhaseMillis >= ANNOUNCE_TIMEOUT_MILLIS)) {
            enter(nowMillis, ShutdownPhase.LEASE_BACK);
            inPhaseMillis = 0;
        }
        if (phase == ShutdownPhase.LEASE_BACK
                && (progress.leaseReleased() || inPhaseMillis >= LEASE_BACK_TIMEOUT_MILLIS)) {
            enter(nowMillis, ShutdownPhase.FINISH_CALLS);
        }
        if (phase == ShutdownPhase.FINISH_CALLS && progress.callsInFlight() == 0) {
            enter(nowMillis, ShutdownPhase.EXIT);
        }
        return phase;
    }

    /**
     * Returns the present phase.
     *
     * @return the phase
     */
    public synchronized ShutdownPhase phase() {
        return phase;
    }

    private ShutdownPhase enter(long nowMillis, ShutdownPhase next) {
        phase = next;
        phaseSinceMillis = nowMillis;
        return next;
    }
}
