package io.sesamehead.coordination.admission;

/**
 * Limits of a daemon's admission.
 *
 * @param concurrentCalls calls that may run at the same time, at least 1
 * @param queueLength calls that may wait, at least 0
 */
public record AdmissionLimits(int concurrentCalls, int queueLength) {
    /** Rejects limits under which no call could run. */
    public AdmissionLimits {
        if (concurrentCalls < 1 || queueLength < 0) {
            throw new IllegalArgumentException("limits out of range: " + concurrentCalls + ", " + queueLength);
        }
    }
}
