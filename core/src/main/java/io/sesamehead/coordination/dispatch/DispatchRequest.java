package io.sesamehead.coordination.dispatch;

/**
 * What decides where a call goes and whether it is worth sending.
 *
 * @param promptTokens tokens to read, 0 for a plain call
 * @param objectiveMillis time in which the answer or first event is on time, in milliseconds
 * @param remainingMillis time that the caller will still wait, in milliseconds
 * @param elapsedMillis time that the caller has waited at earlier tries, in milliseconds
 */
public record DispatchRequest(int promptTokens, long objectiveMillis, long remainingMillis, long elapsedMillis) {}
