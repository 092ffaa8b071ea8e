package io.sesamehead.state;

/** The latest observation of a VM: a report of its engine, or that the engine did not answer. */
public sealed interface Evidence {
    /**
     * Returns the time of the observation on this daemon's monotonic clock.
     *
     * @return the time, in milliseconds
     */
    long observedAtMillis();

    /**
     * The engine answered.
     *
     * @param report the report
     * @param observedAtMillis time of the observation, in milliseconds
     */
    record Reported(MemberReport report, long observedAtMillis) implements Evidence {}

    /**
     * The engine did not answer.
     *
     * @param vm the VM
     * @param observedAtMillis time of the observation, in milliseconds
     */
    record Unreachable(VmId vm, long observedAtMillis) implements Evidence {}
}
