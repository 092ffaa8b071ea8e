package io.sesamehead.daemon.runtime;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The one monotonic clock of a daemon process. */
public final class MonotonicClock implements LongSupplier {
    private final long originNanos = System.nanoTime();

    /** Creates a clock that starts at zero. */
    public MonotonicClock() {}

    @Override
    public long getAsLong() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNanos);
    }
}
