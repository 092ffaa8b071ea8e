package io.sesamehead.entry.runtime;

/** Clocks of one process. */
public interface Clocks {
    /**
     * Returns steady time, which stands still while the VM is suspended. For timers.
     *
     * @return the time, in milliseconds
     */
    long steadyMillis();

    /**
     * Returns steady time that counts suspension. For the age of what is known.
     *
     * @return the time, in milliseconds
     */
    long bootMillis();
}
