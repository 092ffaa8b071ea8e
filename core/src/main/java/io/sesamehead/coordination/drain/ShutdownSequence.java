package io.sesamehead.coordination.drain;

/**
 * Sequence of phases in which a daemon shuts down. Each phase has a timeout, so that a peer or a store that does not
 * answer cannot delay the shutdown. Guarded by its own monitor, which is a leaf lock: no other lock is acquired while
 * holding it.
 */
public final class ShutdownSequence {
    /** An announcement is one frame on an open connection. A slower peer detects the missing heartbeats instead. */
    private static final long ANNOUNCE_TIMEOUT_MILLIS = 1_000;

    /** After this time, the lease is left to expire. */
    private static final long LEASE_BACK_TIMEOUT_MILLIS = 2_000;

    private final long graceMillis;
    private ShutdownPhase phase = ShutdownPhase.RUNNING;
    private long signaledAtMillis;
    private long phaseSinceMillis;

    /**
     * Creates the sequence of a running daemon.
     *
     * @param graceMillis maximum time from the signal to the exit, in milliseconds
     */
    public ShutdownSequence(long graceMillis) {
        this.graceMillis = graceMillis;
    }

    /**
     * Records a stop signal. The first one starts the shutdown, a second one skips to {@link ShutdownPhase#EXIT}.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the new phase
     */
    public synchronized ShutdownPhase signal(long nowMillis) {
        if (phase == ShutdownPhase.RUNNING) {
            signaledAtMillis = nowMillis;
            return enter(nowMillis, ShutdownPhase.ANNOUNCE);
        }
        return enter(nowMillis, ShutdownPhase.EXIT);
    }

    /**
     * Advances to the next phase if the current one is complete or has timed out.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @param progress progress of the shutdown
     * @return the new phase
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
     * Returns the current phase.
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
