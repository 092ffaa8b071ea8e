package io.sesamehead.proof.fleet;

import io.sesamehead.proof.EventQueue;

/** One life of a process: it can be killed or stand still, and has a monotonic clock of its own that drifts. */
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

    /** Runs an action now, or in order of arrival after the process stood still; never once it is dead. */
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

    /** Missed periods are not made up for. */
    void every(long periodMillis, Runnable action) {
        after(periodMillis, () -> {
            action.run();
            every(periodMillis, action);
        });
    }
}
