package io.sesamehead.coordination.order;

import io.sesamehead.state.IdempotencyRecord;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.WriteToken;
import java.util.Optional;

/** Next step of a keyed call. */
public sealed interface ClaimDecision {
    /**
     * Write the claim; the result goes to {@link ClaimPlanner#onClaimWritten}.
     *
     * @param objectName name of the object
     * @param claim content to write
     * @param expectedVersion resource version on which the write is conditional, or empty for create-if-absent
     */
    record WriteClaim(String objectName, IdempotencyRecord claim, Optional<String> expectedVersion)
            implements ClaimDecision {}

    /**
     * Read the object; the result goes to {@link ClaimPlanner#onReadBack}.
     *
     * @param objectName name of the object
     */
    record ReadBack(String objectName) implements ClaimDecision {}

    /**
     * Dispatch the call, once, and record its result on this claim.
     *
     * @param claim the claim in force
     * @param version its resource version
     */
    record Dispatch(IdempotencyRecord claim, String version) implements ClaimDecision {}

    /** Dispatch the call without a claim: the upstream itself refuses a repeated key. */
    record DispatchWithoutClaim() implements ClaimDecision {}

    /**
     * Answer with the recorded result.
     *
     * @param result the result
     */
    record ReplayResult(IdempotencyRecord.Result result) implements ClaimDecision {}

    /**
     * Wait for the answer of a call of this daemon.
     *
     * @param holder the call in flight
     */
    record JoinInFlight(RequestId holder) implements ClaimDecision {}

    /**
     * Ask the upstream about the key; the result goes to {@link ClaimPlanner#onKeyStatus}.
     *
     * @param key the idempotency key
     * @param claimedUnder token of the claim that was read
     */
    record QueryUpstream(String key, WriteToken claimedUnder) implements ClaimDecision {}

    /** Answer with the error kind {@code CLAIMED_ELSEWHERE}. */
    record AnswerClaimedElsewhere() implements ClaimDecision {}

    /** Answer with the error kind {@code KEY_REUSED}. */
    record AnswerKeyReused() implements ClaimDecision {}

    /** Answer with the error kind {@code STORE_UNAVAILABLE}. */
    record AnswerStoreUnavailable() implements ClaimDecision {}
}
