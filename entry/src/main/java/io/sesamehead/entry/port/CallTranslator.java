package io.sesamehead.entry.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

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
     * Changes a copy of the caller's headers into those of a call that another daemon passes on. Keeps the API key.
     *
     * @param headers the headers to change
     * @param remainingMillis time until the call's deadline, in milliseconds
     * @param lastEventId id of the last event that the caller has received, if any
     */
    void writePassedOn(HttpHeaders headers, long remainingMillis, Optional<String> lastEventId);

    /**
     * Reads the headers of an upstream's response.
     *
     * @param response response head
     * @return the metadata of the response
     */
    ResponseMetadata readResponse(HttpResponse response);

    /**
     * Returns whether the other end sends exactly one response to each request, in order, so that a response without a
     * request id belongs to the current request.
     *
     * @return false if it may send late duplicates, as upstreams do
     */
    default boolean singleResponses() {
        return false;
    }

    /**
     * Returns the path of the platform's readiness probe.
     *
     * @return the path
     */
    String readinessPath();
}
