package io.sesamehead.daemon.runtime;

import io.sesamehead.state.Incarnation;
import io.sesamehead.state.RequestId;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates the request identifiers that engines receive, one for each attempt of a completion. Callers choose request
 * identifiers, so two daemons can run requests with the same identifier on one engine; a unique identifier keeps the
 * cancellation of one attempt from ending another. Lock-free and thread-safe.
 */
final class EngineRequestIds {
    private final Incarnation daemon;
    private final AtomicLong attempts = new AtomicLong();

    /**
     * Creates a generator for one daemon process.
     *
     * @param daemon incarnation of the daemon
     */
    EngineRequestIds(Incarnation daemon) {
        this.daemon = daemon;
    }

    /**
     * Returns the identifier of a new attempt.
     *
     * @param request identifier chosen by the caller
     * @return an identifier that no other attempt of any daemon has
     */
    RequestId next(RequestId request) {
        return new RequestId(request + "." + daemon + "." + attempts.incrementAndGet());
    }
}
