package io.sesamehead.coordination.order;

import io.sesamehead.state.WriteToken;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The right of one keyed call to be dispatched at most once. A ticket belongs to one call of one caller and is never
 * reused for another.
 */
public final class ClaimTicket {
    private final KeyedCall call;
    private final WriteToken token;
    private final AtomicReference<Use> use = new AtomicReference<>(Use.OPEN);

    private enum Use {
        OPEN,
        DISPATCHED,
        WITHDRAWN
    }

    /**
     * Creates an unused ticket.
     *
     * @param call the call
     * @param token token of the claim that the call writes, never used before
     */
    public ClaimTicket(KeyedCall call, WriteToken token) {
        this.call = Objects.requireNonNull(call, "call");
        this.token = Objects.requireNonNull(token, "token");
    }

    /**
     * Returns the call.
     *
     * @return the call
     */
    public KeyedCall call() {
        return call;
    }

    /**
     * Returns the token of the claim.
     *
     * @return the token
     */
    public WriteToken token() {
        return token;
    }

    /** Uses the ticket up for a dispatch; true for the first use only. */
    boolean tryDispatch() {
        return use.compareAndSet(Use.OPEN, Use.DISPATCHED);
    }

    /**
     * Withdraws the ticket because the call is answered without a dispatch, for example at its deadline.
     *
     * @return true when no dispatch was decided, now or earlier; only then may the call be answered not-run
     */
    public boolean withdraw() {
        use.compareAndSet(Use.OPEN, Use.WITHDRAWN);
        return use.get() == Use.WITHDRAWN;
    }

    /** Tells whether the ticket was withdrawn, so that a claim under its token was never dispatched. */
    boolean withdrawn() {
        return use.get() == Use.WITHDRAWN;
    }
}
