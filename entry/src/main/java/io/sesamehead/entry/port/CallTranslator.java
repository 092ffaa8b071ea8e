package io.sesamehead.entry.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Reads and writes the platform's request and response headers. */
public interface CallTranslator {
    /**
     * Reads a caller's headers.
     *
     * @param headers the headers
     * @return the metadata of the call
     */
    CallMetadata readCall(HttpHeaders headers);

    /**
     * Changes a copy of the caller's headers into those of an attempt. Removes the API key.
     *
     * @param headers the headers to change
     * @param attempt the metadata to send
     */
    void writeAttempt(HttpHeaders headers, AttemptMetadata attempt);

    /**
     * Reads the headers of an upstream's response.
     *
     * @param response response head
     * @return the metadata of the response
     */
    ResponseMetadata readResponse(HttpResponse response);

    /**
     * Returns the path of the platform's readiness probe.
     *
     * @return the path
     */
    String readinessPath();
}
