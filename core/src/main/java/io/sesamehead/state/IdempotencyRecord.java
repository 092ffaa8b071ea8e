package io.sesamehead.state;

import java.util.Optional;

/**
 * Content of an {@code orders} object: the claim of an idempotency key and, once known, its result.
 *
 * @param service the service called
 * @param account the client account
 * @param key the idempotency key
 * @param bodyFingerprint hash of method, path and body, to detect a key reused for another call
 * @param claimedBy daemon that holds the claim
 * @param claimant incarnation of that daemon
 * @param token token of the last write
 * @param result the recorded result, or empty while it is unknown
 */
public record IdempotencyRecord(
        ServiceName service,
        ClientAccount account,
        String key,
        String bodyFingerprint,
        DaemonId claimedBy,
        Incarnation claimant,
        WriteToken token,
        Optional<Result> result) {
    /**
     * Recorded result of a keyed call.
     *
     * @param runState whether the call was executed
     * @param status HTTP status of the upstream's answer, 0 if there is none
     * @param contentType content type of the answer, empty if there is none
     * @param body body of the answer
     * @param recordedEpochMillis wall-clock time of the record, in milliseconds since 1970; used only for retention
     */
    public record Result(RunState runState, int status, String contentType, String body, long recordedEpochMillis) {}
}
