package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Writes the response of one call to its caller. Methods do nothing once the response has ended. */
interface ResponseWriter {
    /** Sends a complete response. Aborts the response instead if another one has begun. */
    void send(HttpResponseStatus status, HttpHeaders headers, byte[] body);

    /** Sends a complete response that this daemon has made itself. */
    default void sendOwn(HttpResponseStatus status, HttpHeaders headers, byte[] body, boolean notRun) {
        send(status, headers, body);
    }

    /** Runs an action when the last write of the response has ended, at once if there is none. */
    default void whenWritten(Runnable action) {
        action.run();
    }

    /** Begins a response whose body follows in chunks. It is sent with the next {@link #flush}. */
    void begin(HttpResponseStatus status, HttpHeaders headers);

    /**
     * Writes a part of the body, which is sent with the next {@link #flush}. Returns false if the caller reads too slowly
     * and the sender should pause.
     */
    boolean write(byte[] bytes);

    /** Sends what was written. Called at the end of each read from an upstream, so that nothing is held back. */
    void flush();

    /** Ends the body, which completes the response. */
    void end();

    /** Closes the connection, so that the caller sees a response that was begun as incomplete. */
    void abort();
}
