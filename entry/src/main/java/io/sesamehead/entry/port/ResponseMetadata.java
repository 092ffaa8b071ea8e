package io.sesamehead.entry.port;

/**
 * What an upstream states about its answer.
 *
 * @param requestId the try it answers, empty if not stated
 * @param sealed whether the answer carries the mark of a complete run
 * @param notRun whether the upstream states that it did not run the call
 * @param leaving whether the upstream states that it is about to end
 */
public record ResponseMetadata(String requestId, boolean sealed, boolean notRun, boolean leaving) {}
