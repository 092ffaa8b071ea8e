package io.sesamehead.coordination.admission;

import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import java.util.Objects;

/**
 * Properties of a call that determine its admission.
 *
 * @param request request ID, unique among the daemon's open calls
 * @param account the client account that is charged
 * @param priority 0 to 9; calls with a higher value run first within an account
 * @param tokenCost prompt tokens plus the maximum number of generated tokens, at least 1; 1 for a call to a plain
 *     service
 * @param deadlineMillis deadline of the call on the monotonic clock, in milliseconds
 */
public record AdmissionCall(
        RequestId request, ClientAccount account, int priority, long tokenCost, long deadlineMillis) {
    /** Lowest priority of a call. */
    public static final int LOWEST_PRIORITY = 0;

    /** Highest priority of a call. */
    public static final int HIGHEST_PRIORITY = 9;

    /** Rejects null IDs, priorities outside 0 to 9 and token costs below 1. */
    public AdmissionCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(account, "account");
        if (priority < LOWEST_PRIORITY || priority > HIGHEST_PRIORITY) {
            throw new IllegalArgumentException("priority must be between 0 and 9, was " + priority);
        }
        if (tokenCost < 1) {
            throw new IllegalArgumentException("token cost must be at least 1, was " + tokenCost);
        }
    }
}
