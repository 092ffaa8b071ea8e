package io.sesamehead.entry.runtime;

/** The clocks of a process. */
public interface Clocks {
    /**
     * Returns monotonic time that does not advance while the VM is suspended. Used for timers.
     *
     * @return the time, in milliseconds
     */
    long steadyMillis();

    /**
     * Returns monotonic time that advances while the VM is suspended. Used for the age of cached data.
     *
     * @return the time, in milliseconds
     */
    long bootMillis();
}
