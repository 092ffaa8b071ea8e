package io.sesamehead.coordination.drain;

/**
 * The phases of a stopping daemon. Each phase has a time limit, so that a peer or a store that does not answer cannot
 * hold up the stop. Guarded by its own monitor, a leaf: no other lock is acquired under it.
 */
public final class Shutdown {
    /** An announcement is one frame on an open connection; a peer that takes longer learns it by the silence. */
    private static final long ANNOUNCE_LIMIT_MILLIS = 1_000;

    /** Past this the lease is left to expire. */
    private static final long LEASE_BACK_LIMIT_MILLIS = 2_000;

    private final long graceMillis;
    private StopPhase phase = StopPhase.RUNNING;
    private long stopAtMillis;
    private long phaseSinceMillis;

    /**
     * Creates a running daemon.
     *
     * @param graceMillis longest time from the signal to the exit, in milliseconds
     */
    public Shutdown(long graceMillis) {
        this.graceMillis = graceMillis;
    }

    /**
     * Records a stop signal. The first one starts the stop, a second one ends it.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @return the phase from now on
     */
    public synchronized StopPhase signal(long nowMillis) {
        if (phase == StopPhase.RUNNING) {
            stopAtMillis = nowMillis;
            return enter(nowMillis, StopPhase.ANNOUNCE);
        }
        return enter(nowMillis, StopPhase.EXIT);
    }

    /**
     * Moves on where a phase is done or its time is over.
     *
     * @param nowMillis present monotonic time, in milliseconds
     * @param progress what was done so far
     * @return the phase from now on
     */
    public synchronized StopPhase advance(long nowMillis, StopProgress progress) {
        if (phase == StopPhase.RUNNING || phase == StopPhase.EXIT) {
            return phase;
        }
        if (nowMillis - stopAtMillis >= graceMillis) {
            return enter(nowMillis, StopPhase.EXIT);
        }
        long inPhaseMillis = nowMillis - phaseSinceMillis;
        if (phase == StopPhase.ANNOUNCE && (progress.announced() || inPhaseMillis >= ANNOUNCE_LIMIT_MILLIS)) {
            enter(nowMillis, StopPhase.LEASE_BACK);
            inPhaseMillis = 0;
        }
        if (phase == StopPhase.LEASE_BACK && (progress.leaseReturned() || inPhaseMillis >= LEASE_BACK_LIMIT_MILLIS)) {
            enter(nowMillis, StopPhase.FINISH_CALLS);
        }
        if (phase == StopPhase.FINISH_CALLS && progress.callsInFlight() == 0) {
            enter(nowMillis, StopPhase.EXIT);
        }
        return phase;
    }

    /**
     * Returns the present phase.
     *
     * @return the phase
     */
    public synchronized StopPhase phase() {
        return phase;
    }

    private StopPhase enter(long nowMillis, StopPhase next) {
        phase = next;
        phaseSinceMillis = nowMillis;
        return next;
    }
}
