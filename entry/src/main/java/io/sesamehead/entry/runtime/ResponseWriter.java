package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** The caller's side of one call. After the answer has ended, calls have no effect. */
interface ResponseWriter {
    /** Sends a whole answer. */
    void send(HttpResponseStatus status, HttpHeaders headers, byte[] body);

    /** Begins an answer whose body follows in parts. */
    void begin(HttpResponseStatus status, HttpHeaders headers);

    /** Sends a part of the body. Returns false if the caller reads too slowly to take more now. */
    boolean write(byte[] bytes);

    /** Ends the body: the answer is complete. */
    void end();

    /** Closes the connection, so that an answer that was begun is seen as incomplete. */
    void abort();
}
