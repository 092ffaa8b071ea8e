package io.sesamehead.coordination.dispatch;

import java.util.Optional;

/**
 * Properties of a call that determine its target and whether it is dispatched at all.
 *
 * @param promptTokens number of prompt tokens, 0 for a plain call
 * @param objectiveMillis latency objective for the answer or the first event, in milliseconds
 * @param remainingMillis time until the caller's deadline, in milliseconds
 * @param elapsedMillis time that the caller has already waited in earlier tries, in milliseconds
 * @param suspectedPart part of the prompt that may crash the target, empty if none is suspected
 * @param slotRule which slots the call may use
 */
public record DispatchRequest(
        int promptTokens,
        long objectiveMillis,
        long remainingMillis,
        long elapsedMillis,
        Optional<CrashSubject> suspectedPart,
        SlotRule slotRule) {
    /**
     * Creates a request whose slots are not divided among calls.
     *
     * @param promptTokens number of prompt tokens, 0 for a plain call
     * @param objectiveMillis latency objective for the answer or the first event, in milliseconds
     * @param remainingMillis time until the caller's deadline, in milliseconds
     * @param elapsedMillis time that the caller has already waited in earlier tries, in milliseconds
     * @param suspectedPart part of the prompt that may crash the target, empty if none is suspected
     */
    public DispatchRequest(
            int promptTokens,
            long objectiveMillis,
            long remainingMillis,
            long elapsedMillis,
            Optional<CrashSubject> suspectedPart) {
        this(promptTokens, objectiveMillis, remainingMillis, elapsedMillis, suspectedPart, SlotRule.RETRIED_MAY_QUEUE);
    }
}
