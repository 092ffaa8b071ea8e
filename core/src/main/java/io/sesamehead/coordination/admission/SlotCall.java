package io.sesamehead.coordination.admission;

/**
 * Properties of a call that decide whether it gets one of scarce slots.
 *
 * @param pool hash of its service and model
 * @param rank its rank, 0 is the most urgent
 * @param account hash of its account
 * @param identity hash that is the same for all tries of the call
 * @param promptTokens number of prompt tokens, 0 for a plain call
 * @param objectiveMillis latency objective for the answer or the first event, in milliseconds
 * @param remainingMillis time until the caller's deadline, in milliseconds
 * @param elapsedMillis time that the caller has already waited in earlier tries, in milliseconds
 */
public record SlotCall(
        int pool,
        int rank,
        int account,
        long identity,
        int promptTokens,
        long objectiveMillis,
        long remainingMillis,
        long elapsedMillis) {}
