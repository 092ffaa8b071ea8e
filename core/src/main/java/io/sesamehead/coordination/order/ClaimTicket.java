package io.sesamehead.coordination.order;

import io.sesamehead.state.WriteToken;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Single-use permission to dispatch a keyed call. A ticket belongs to one call of one caller and is never reused for
 * another.
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
     * @param token token of the claim that the call writes; must be unused
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

    /** Uses the ticket for a dispatch; returns true only if it was unused. */
    boolean tryDispatch() {
        return use.compareAndSet(Use.OPEN, Use.DISPATCHED);
    }

    /**
     * Withdraws the ticket because the call is answered without a dispatch, for example at its deadline.
     *
     * @return true if the ticket was never used for a dispatch; only then may the call be answered not-run
     */
    public boolean withdraw() {
        use.compareAndSet(Use.OPEN, Use.WITHDRAWN);
        return use.get() == Use.WITHDRAWN;
    }

    /** Whether the ticket was withdrawn, which means that a claim with its token was never dispatched. */
    boolean withdrawn() {
        return use.get() == Use.WITHDRAWN;
    }
}
