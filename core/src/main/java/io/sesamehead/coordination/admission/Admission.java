package io.sesamehead.coordination.admission;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.admission.AdmissionDecision.Refusal;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import java.util.Optional;

/**
 * Controls admission: decides which calls run, wait or are refused. Client accounts share the slots by token cost,
 * weighted by the shares in the release note; the calls of one account run in order of priority, then of arrival.
 * Thread-safe: all state is in one {@link AdmissionTable}.
 *
 * <p>The daemon calls {@link #release} when a call has ended, regardless of its outcome, and then {@link #next} until
 * it returns empty. It calls {@link #expire} periodically, so that calls are refused soon after their deadline.
 */
public final class Admission {
    private final AdmissionTable table;

    /**
     * Creates an empty admission control.
     *
     * @param limits concurrency and queue limits of the daemon
     */
    public Admission(AdmissionLimits limits) {
        this.table = new AdmissionTable(limits);
    }

    /**
     * Replaces the shares of the client accounts; accounts that are not listed have a share of 1.
     *
     * @param shares relative shares, each at least 1
     */
    public void applyShares(ImmutableMap<ClientAccount, Integer> shares) {
        table.applyShares(shares);
    }

    /**
     * Admits, queues or refuses a new call.
     *
     * @param call the call
     * @param nowMillis current monotonic time, in milliseconds
     * @return the decision; a call whose ID belongs to an open call is refused as a bad header
     */
    public AdmissionDecision offer(AdmissionCall call, long nowMillis) {
        return table.offer(call, nowMillis);
    }

    /**
     * Admits a waiting call if a slot is free.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the admitted call, which now holds a slot, or empty
     */
    public Optional<AdmissionCall> next(long nowMillis) {
        return table.next(nowMillis);
    }

    /**
     * Removes the waiting calls that can no longer end before their deadline.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the removed calls with their refusals
     */
    public ImmutableList<Refusal> expire(long nowMillis) {
        return table.expire(nowMillis);
    }

    /**
     * Ends a call: frees the slot of a running call, or removes a waiting one. Releasing a call again has no effect.
     *
     * @param request the call
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if the call was open
     */
    public boolean release(RequestId request, long nowMillis) {
        return table.release(request, nowMillis);
    }

    /** Refuses all further offers because the daemon is shutting down. Waiting and running calls are kept. */
    public void close() {
        table.close();
    }

    /**
     * Returns the time after which a refused caller should retry: the expected time to drain the queue, at least one
     * second, plus a jitter derived from a hash of the request.
     *
     * @param request the refused call
     * @return the time, in milliseconds
     */
    public long retryAfterMillis(RequestId request) {
        return table.retryAfterMillis(request);
    }

    /**
     * Returns the number of calls that hold a slot.
     *
     * @return the number of running calls
     */
    public int running() {
        return table.running();
    }

    /**
     * Returns the number of waiting calls.
     *
     * @return the number of waiting calls
     */
    public int waiting() {
        return table.waiting();
    }
}
