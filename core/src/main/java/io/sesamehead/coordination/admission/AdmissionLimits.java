package io.sesamehead.coordination.admission;

/**
 * Concurrency and queue limits of a daemon's admission.
 *
 * @param concurrentCalls maximum number of calls that run concurrently, at least 1
 * @param queueLength maximum number of calls that wait, at least 0
 */
public record AdmissionLimits(int concurrentCalls, int queueLength) {
    /** Rejects limits that are out of range. */
    public AdmissionLimits {
        if (concurrentCalls < 1 || queueLength < 0) {
            throw new IllegalArgumentException("concurrent calls must be at least 1 and queue length at least 0, were "
                    + concurrentCalls + ", " + queueLength);
        }
    }
}
