package io.sesamehead.daemon.runtime;

import java.util.concurrent.TimeUnit;

/** The one monotonic clock of a daemon process. */
public final class MonotonicClock {
    private final long originNanos = System.nanoTime();

    /** Creates a clock that starts at zero. */
    public MonotonicClock() {}

    /**
     * Returns the time since the clock was created.
     *
     * @return monotonic milliseconds
     */
    public long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNanos);
    }
}
