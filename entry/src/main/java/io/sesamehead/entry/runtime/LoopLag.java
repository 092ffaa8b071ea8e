package io.sesamehead.entry.runtime;

/** Notices that the event loop is behind: the process did not run, or has less processor time than it needs. */
final class LoopLag {
    /** Lateness of a tick that counts, in milliseconds: three of the intervals between ticks. */
    static final long LATE_MILLIS = 150;
    /** Time for which the loop counts as behind after a late tick, in milliseconds: several turns of a slow loop. */
    private static final long MEMORY_MILLIS = 1_000;

    private final long tickMillis;
    private long lastTickMillis;
    private long lateAtMillis = Long.MIN_VALUE / 2;

    LoopLag(long tickMillis, long nowMillis) {
        this.tickMillis = tickMillis;
        this.lastTickMillis = nowMillis;
    }

    /** Records a tick. Returns by how much it is late, or 0 if that does not count. */
    long tick(long nowMillis) {
        long late = nowMillis - lastTickMillis - tickMillis;
        lastTickMillis = nowMillis;
        if (late <= LATE_MILLIS) {
            return 0;
        }
        lateAtMillis = nowMillis;
        return late;
    }

    /** Tells whether what is read now may have waited for long in the socket. */
    boolean behind(long nowMillis) {
        boolean overdue = nowMillis - lastTickMillis - tickMillis > LATE_MILLIS;
        return overdue || nowMillis - lateAtMillis <= MEMORY_MILLIS;
    }
}
