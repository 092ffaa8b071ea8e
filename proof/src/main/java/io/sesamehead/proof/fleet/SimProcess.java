package io.sesamehead.proof.fleet;

import io.sesamehead.proof.EventQueue;

/** One incarnation of a process, which can be killed or frozen and has its own drifting monotonic clock. */
final class SimProcess {
    private final EventQueue queue;
    private final double clockRate;
    private final long clockOffsetMillis;
    private boolean dead;
    private long frozenUntilMillis;

    SimProcess(EventQueue queue, double clockRate, long clockOffsetMillis) {
        this.queue = queue;
        this.clockRate = clockRate;
        this.clockOffsetMillis = clockOffsetMillis;
    }

    long clock() {
        return clockOffsetMillis + (long) (queue.nowMillis() * clockRate);
    }

    boolean dead() {
        return dead;
    }

    boolean running() {
        return !dead && queue.nowMillis() >= frozenUntilMillis;
    }

    void kill() {
        dead = true;
    }

    void freeze(long millis) {
        frozenUntilMillis = Math.max(frozenUntilMillis, queue.nowMillis() + millis);
    }

    /**
     * Runs an action immediately, or in order of arrival once the process is no longer frozen. Dead processes run none.
     */
    void run(Runnable action) {
        if (dead) {
            return;
        }
        long waitMillis = frozenUntilMillis - queue.nowMillis();
        if (waitMillis > 0) {
            queue.after(waitMillis, () -> run(action));
            return;
        }
        action.run();
    }

    void after(long delayMillis, Runnable action) {
        queue.after(delayMillis, () -> run(action));
    }

    /** Runs an action periodically. Missed periods are not made up for. */
    void every(long periodMillis, Runnable action) {
        after(periodMillis, () -> {
            action.run();
            every(periodMillis, action);
        });
    }
}
