package io.sesamehead.coordination.catalog;

import io.sesamehead.state.Region;
import java.util.List;
import java.util.Set;

/**
 * A routing rule that maps a host and a path prefix to services.
 *
 * @param name name given by the operators
 * @param host the host it applies to, in lower case
 * @param pathPrefix prefix of the path, with a slash at both ends
 * @param kind kind of the calls, which decides whether they may be repeated
 * @param timeoutMillis maximum duration of a call, in milliseconds
 * @param objectiveMillis latency objective for the answer, or for the first event of a stream, in milliseconds
 * @param priority priority of the calls; 0 is the most urgent
 * @param backends services that run the calls, at least one
 * @param maxAttempts maximum number of upstreams that one call may be sent to
 * @param anonymous whether calls need no API key
 * @param resumable whether a stream may continue at another upstream
 * @param allowedRegions regions whose upstreams may run the calls; empty if any may
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
        boolean resumable,
        Set<Region> allowedRegions) {
    /** Copies the collections. */
    public Route {
        backends = List.copyOf(backends);
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Creates a route whose calls may run in any region.
     *
     * @param name name given by the operators
     * @param host the host it applies to, in lower case
     * @param pathPrefix prefix of the path, with a slash at both ends
     * @param kind kind of the calls, which decides whether they may be repeated
     * @param timeoutMillis maximum duration of a call, in milliseconds
     * @param objectiveMillis latency objective for the answer, or for the first event of a stream, in milliseconds
     * @param priority priority of the calls; 0 is the most urgent
     * @param backends services that run the calls, at least one
     * @param maxAttempts maximum number of upstreams that one call may be sent to
     * @param anonymous whether calls need no API key
     * @param resumable whether a stream may continue at another upstream
     */
    public Route(
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
        this(
                name,
                host,
                pathPrefix,
                kind,
                timeoutMillis,
                objectiveMillis,
                priority,
                backends,
                maxAttempts,
                anonymous,
                resumable,
                Set.of());
    }

    /**
     * Returns whether a call may run more than once.
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
