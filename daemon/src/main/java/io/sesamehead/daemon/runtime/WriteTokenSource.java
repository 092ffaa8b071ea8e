package io.sesamehead.daemon.runtime;

import io.sesamehead.state.Incarnation;
import io.sesamehead.state.WriteToken;
import java.util.concurrent.atomic.AtomicLong;

/** Generates the write tokens of this process. Tokens are unique only with a single instance per process. */
public final class WriteTokenSource {
    private final Incarnation incarnation;
    private final AtomicLong last = new AtomicLong();

    /**
     * Creates a token source.
     *
     * @param incarnation incarnation of this process
     */
    public WriteTokenSource(Incarnation incarnation) {
        this.incarnation = incarnation;
    }

    /**
     * Generates a token.
     *
     * @return a token that this source has not returned before
     */
    public WriteToken next() {
        return new WriteToken(incarnation, last.incrementAndGet());
    }
}
