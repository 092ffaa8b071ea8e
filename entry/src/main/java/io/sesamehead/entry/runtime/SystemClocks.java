package io.sesamehead.entry.runtime;

import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.util.concurrent.TimeUnit;

/** The operating system's clocks. The JDK has none that includes suspension, so that one is read from the C library. */
public final class SystemClocks implements Clocks {
    /** ID of Linux's CLOCK_BOOTTIME. */
    private static final int CLOCK_BOOTTIME = 7;
    /** Size of a timespec, in bytes: seconds and nanoseconds, eight bytes each. */
    private static final long TIMESPEC_BYTES = 16;

    private static final long NANOS_OFFSET_BYTES = 8;

    private final MethodHandle clockGettime;
    private final MemorySegment timespec;

    /** Links the C library's {@code clock_gettime} function. */
    public SystemClocks() {
        Linker linker = Linker.nativeLinker();
        clockGettime = linker.downcallHandle(
                linker.defaultLookup().find("clock_gettime").orElseThrow(),
                FunctionDescriptor.of(ValueLayout.JAVA_INT, ValueLayout.JAVA_INT, ValueLayout.ADDRESS));
        timespec = Arena.global().allocate(TIMESPEC_BYTES, NANOS_OFFSET_BYTES);
    }

    @Override
    public long steadyMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public synchronized long bootMillis() {
        int result;
        try {
            result = (int) clockGettime.invokeExact(CLOCK_BOOTTIME, timespec);
        } catch (Throwable e) {
            throw new IllegalStateException("clock_gettime cannot be called", e);
        }
        if (result != 0) {
            throw new IllegalStateException("clock_gettime(CLOCK_BOOTTIME) failed");
        }
        long seconds = timespec.get(ValueLayout.JAVA_LONG, 0);
        long nanos = timespec.get(ValueLayout.JAVA_LONG, NANOS_OFFSET_BYTES);
        return TimeUnit.SECONDS.toMillis(seconds) + TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
