package io.sesamehead.daemon.runtime;

import java.util.concurrent.TimeUnit;

/** Monotonic clock of a daemon process; each process uses a single instance. */
public final class MonotonicClock {
    private final long originNanos = System.nanoTime();

    /** Creates a clock that starts at zero. */
    public MonotonicClock() {}

    /**
     * Returns the time since the clock was created.
     *
     * @return the elapsed time in milliseconds
     */
    public long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNanos);
    }
}
