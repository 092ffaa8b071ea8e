package io.sesamehead.entry.port;

/**
 * Metadata from an upstream's response headers.
 *
 * @param requestId id of the attempt that it responds to, empty if not stated
 * @param sealed whether the response is marked as the result of a complete run
 * @param notRun whether the upstream reports that it did not run the call
 * @param leaving whether the upstream reports that it is about to shut down
 */
public record ResponseMetadata(String requestId, boolean sealed, boolean notRun, boolean leaving) {}
