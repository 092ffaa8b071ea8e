package io.sesamehead.entry.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Reads and writes the platform's headers of calls and answers. */
public interface CallTranslator {
    /**
     * Reads a caller's headers.
     *
     * @param headers the headers
     * @return what they state
     */
    CallMetadata readCall(HttpHeaders headers);

    /**
     * Turns a copy of the caller's headers into those of an attempt. Takes the key out.
     *
     * @param headers the headers to change
     * @param attempt what the upstream is told
     */
    void writeAttempt(HttpHeaders headers, AttemptMetadata attempt);

    /**
     * Reads an upstream's answer.
     *
     * @param response the head of the answer
     * @return what it states
     */
    ResponseMetadata readResponse(HttpResponse response);

    /**
     * Returns the path at which the platform asks whether the daemon takes connections.
     *
     * @return the path
     */
    String readinessPath();
}
