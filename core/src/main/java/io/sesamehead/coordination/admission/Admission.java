package io.sesamehead.coordination.admission;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.admission.AdmissionDecision.Refusal;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import java.util.Optional;

/**
 * Decides which calls run, wait or are refused. Client accounts share the slots by token cost, weighted by the shares of
 * the release note; the calls of one account run by priority, then by arrival. Thread-safe: all state is in one
 * {@link AdmissionTable}.
 *
 * <p>The daemon calls {@link #release} once a call has ended, whatever its end, and then {@link #next} until it returns
 * empty. It calls {@link #expire} regularly, so that calls are refused soon after their deadline.
 */
public final class Admission {
    private final AdmissionTable table;

    /**
     * Creates an admission without calls.
     *
     * @param limits limits of the daemon
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
     * Decides about a new call.
     *
     * @param call the call
     * @param nowMillis present time, in milliseconds
     * @return the decision; an identifier that is already open is refused as a bad header
     */
    public AdmissionDecision offer(AdmissionCall call, long nowMillis) {
        return table.offer(call, nowMillis);
    }

    /**
     * Admits a waiting call when a slot is free.
     *
     * @param nowMillis present time, in milliseconds
     * @return the call that runs now, or empty
     */
    public Optional<AdmissionCall> next(long nowMillis) {
        return table.next(nowMillis);
    }

    /**
     * Takes out the waiting calls whose deadline has passed.
     *
     * @param nowMillis present time, in milliseconds
     * @return the calls with their answers
     */
    public ImmutableList<Refusal> expire(long nowMillis) {
        return table.expire(nowMillis);
    }

    /**
     * Ends a call: frees the slot of a running call, or takes out a waiting one. Further calls have no effect.
     *
     * @param request the call
     * @param nowMillis present time, in milliseconds
     * @return true when the call was open
     */
    public boolean release(RequestId request, long nowMillis) {
        return table.release(request, nowMillis);
    }

    /** Refuses all further offers because the daemon is shutting down; calls that wait or run are kept. */
    public void close() {
        table.close();
    }

    /**
     * Returns when a refused caller should come back: the expected time to drain the queue, at least a second, plus a
     * spread by a hash of the request.
     *
     * @param request the refused call
     * @return milliseconds
     */
    public long retryAfterMillis(RequestId request) {
        return table.retryAfterMillis(request);
    }

    /**
     * Returns how many calls hold a slot.
     *
     * @return the number of running calls
     */
    public int running() {
        return table.running();
    }

    /**
     * Returns how many calls wait.
     *
     * @return the number of waiting calls
     */
    public int waiting() {
        return table.waiting();
    }
}
