package io.sesamehead.entry.port;

import io.netty.handler.codec.http.HttpHeaders;

/** Writes the platform's headers of calls and responses that a daemon sends to itself. */
public interface SampleHeaders {
    /**
     * Writes the headers of a caller, as {@link CallTranslator#readCall} reads them.
     *
     * @param headers the headers to change
     * @param call the metadata of the call
     */
    void writeCall(HttpHeaders headers, CallMetadata call);

    /**
     * Writes the headers of the successful response of an upstream, as {@link CallTranslator#readResponse} reads them.
     *
     * @param headers the headers to change
     * @param requestId id of the call
     */
    void writeResponse(HttpHeaders headers, String requestId);
}
