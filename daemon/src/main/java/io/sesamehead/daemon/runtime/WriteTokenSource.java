package io.sesamehead.daemon.runtime;

import io.sesamehead.state.Incarnation;
import io.sesamehead.state.WriteToken;
import java.util.concurrent.atomic.AtomicLong;

/** Draws the tokens of this process's writes. One instance per process, so that no token is drawn twice. */
public final class WriteTokenSource {
    private final Incarnation incarnation;
    private final AtomicLong last = new AtomicLong();

    /**
     * Creates a source of tokens.
     *
     * @param incarnation incarnation of this process
     */
    public WriteTokenSource(Incarnation incarnation) {
        this.incarnation = incarnation;
    }

    /**
     * Draws a token.
     *
     * @return a token that was never drawn before
     */
    public WriteToken next() {
        return new WriteToken(incarnation, last.incrementAndGet());
    }
}
