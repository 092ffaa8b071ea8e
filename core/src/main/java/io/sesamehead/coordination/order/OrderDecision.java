package io.sesamehead.coordination.order;

import io.sesamehead.state.OrderRecord;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.WriteToken;
import java.util.Optional;

/** Next step of a keyed call. */
public sealed interface OrderDecision {
    /**
     * Write the claim; the result goes to {@link OrderLedger#onClaimWritten}.
     *
     * @param objectName name of the object
     * @param claim content to write
     * @param replaces resource version on which the write is conditional, or empty for create-if-absent
     */
    record CreateClaim(String objectName, OrderRecord claim, Optional<String> replaces) implements OrderDecision {}

    /**
     * Read the object; the result goes to {@link OrderLedger#onReadBack}.
     *
     * @param objectName name of the object
     */
    record ReadBack(String objectName) implements OrderDecision {}

    /**
     * Dispatch the call, once, and record its result on this claim.
     *
     * @param claim the claim in force
     * @param version its resource version
     */
    record Dispatch(OrderRecord claim, String version) implements OrderDecision {}

    /** Dispatch the call without a claim: the upstream itself refuses a repeated key. */
    record DispatchWithoutClaim() implements OrderDecision {}

    /**
     * Answer with the recorded result.
     *
     * @param result the result
     */
    record ReplayResult(OrderRecord.Result result) implements OrderDecision {}

    /**
     * Wait for the answer of a call of this daemon.
     *
     * @param holder the call in flight
     */
    record JoinInFlight(RequestId holder) implements OrderDecision {}

    /**
     * Ask the upstream about the key; the result goes to {@link OrderLedger#onUpstreamAnswer}.
     *
     * @param key the idempotency key
     * @param claimedUnder token of the claim that was read
     */
    record AskUpstream(String key, WriteToken claimedUnder) implements OrderDecision {}

    /** Answer with the error kind {@code CLAIMED_ELSEWHERE}. */
    record AnswerClaimedElsewhere() implements OrderDecision {}

    /** Answer with the error kind {@code KEY_REUSED}. */
    record AnswerKeyReused() implements OrderDecision {}

    /** Answer with the error kind {@code STORE_UNAVAILABLE}. */
    record AnswerStoreUnavailable() implements OrderDecision {}
}
