package io.sesamehead.entry.port;

import io.sesamehead.coordination.dispatch.StatedRateLimit;

/**
 * Metadata from an upstream's response headers.
 *
 * @param requestId id of the attempt that it responds to, empty if not stated
 * @param sealed whether the response is marked as the result of a complete run
 * @param notRun whether the upstream reports that it did not run the call
 * @param leaving whether the upstream reports that it is about to shut down
 * @param rateLimit rate of requests that the upstream accepts from all daemons together
 */
public record ResponseMetadata(
        String requestId, boolean sealed, boolean notRun, boolean leaving, StatedRateLimit rateLimit) {}
