package io.sesamehead.coordination.admission;

import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import java.util.Objects;

/**
 * What admission knows about one call.
 *
 * @param request identifier, unique among the daemon's open calls
 * @param account the client account that is charged
 * @param priority 0 to 9; of two calls of one account the higher runs first
 * @param tokenCost prompt tokens plus the limit of generated tokens, at least 1; 1 for a call to a plain service
 * @param deadlineMillis deadline of the call on the monotonic clock, in milliseconds
 */
public record AdmissionCall(
        RequestId request, ClientAccount account, int priority, long tokenCost, long deadlineMillis) {
    /** Lowest priority of a call. */
    public static final int LOWEST_PRIORITY = 0;

    /** Highest priority of a call. */
    public static final int HIGHEST_PRIORITY = 9;

    /** Rejects missing ids, priorities outside 0 to 9 and costs below 1. */
    public AdmissionCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(account, "account");
        if (priority < LOWEST_PRIORITY || priority > HIGHEST_PRIORITY) {
            throw new IllegalArgumentException("priority out of range: " + priority);
        }
        if (tokenCost < 1) {
            throw new IllegalArgumentException("token cost below 1: " + tokenCost);
        }
    }
}
