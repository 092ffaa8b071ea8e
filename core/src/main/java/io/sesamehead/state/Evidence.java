package io.sesamehead.state;

/**
 * The last knowledge about a VM: a report, or that the VM did not answer.
 */
public sealed interface Evidence {
    /**
     * Returns when the observation was made on this daemon's monotonic clock.
     *
     * @return milliseconds
     */
    long observedAtMillis();

    /**
     * The engine answered.
     *
     * @param report what it reported
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
