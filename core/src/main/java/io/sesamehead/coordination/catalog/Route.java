package io.sesamehead.coordination.catalog;

import java.util.List;

/**
 * A rule that maps a host and a path prefix to services.
 *
 * @param name the operators' name
 * @param host the host it applies to, in lower case
 * @param pathPrefix prefix of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a call may take, in milliseconds
 * @param objectiveMillis time within which an answer, or the first event of a stream, is on time, in milliseconds
 * @param priority urgency, 0 is the most urgent
 * @param backends services that run the calls, at least one
 * @param maxAttempts upstreams that one call may be sent to
 * @param anonymous whether calls need no key
 * @param resumable whether a stream may continue at another upstream
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        CallKind kind,
        long timeoutMillis,
        long objectiveMillis,
        int priority,
        List<Backend> backends,
        int maxAttempts,
        boolean anonymous,
        boolean resumable) {
    /** Copies the backends. */
    public Route {
        backends = List.copyOf(backends);
    }

    /**
     * Tells whether a call may run more than once.
     *
     * @return true for safe calls and for streams that can be resumed
     */
    public boolean idempotent() {
        return switch (kind) {
            case SAFE -> true;
            case UNSAFE -> false;
            case STREAM -> resumable;
        };
    }
}
