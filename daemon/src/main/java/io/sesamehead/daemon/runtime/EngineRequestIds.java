package io.sesamehead.daemon.runtime;

import io.sesamehead.state.Incarnation;
import io.sesamehead.state.RequestId;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Names the attempts of completions towards engines. Callers choose request identifiers, so two daemons can run
 * requests with the same one on one engine; a name of its own keeps the cancellation of one attempt from ending
 * another. Thread-safe without a lock.
 */
final class EngineRequestIds {
    private final Incarnation daemon;
    private final AtomicLong attempts = new AtomicLong();

    /**
     * Creates the names of a daemon process.
     *
     * @param daemon incarnation of the daemon
     */
    EngineRequestIds(Incarnation daemon) {
        this.daemon = daemon;
    }

    /**
     * Names a new attempt.
     *
     * @param request the caller's request
     * @return a name that no other attempt of any daemon has
     */
    RequestId next(RequestId request) {
        return new RequestId(request + "." + daemon + "." + attempts.incrementAndGet());
    }
}
