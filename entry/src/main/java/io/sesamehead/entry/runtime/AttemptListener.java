package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.HttpResponse;
import io.sesamehead.entry.port.ResponseMetadata;

/** Receives the verified outcome of one attempt. */
interface AttemptListener {
    /** Receives the head of each response that belongs to the attempt, before it is known to be complete. */
    void onResponseHead(HttpResponse head, ResponseMetadata facts);

    /** Receives the head of a verified event stream. Returns false if the stream is no longer wanted. */
    boolean onStreamStart(HttpResponse head);

    /** Receives bytes of the stream. */
    void onStreamData(byte[] bytes);

    /** Called after the bytes of the stream that had arrived were received. */
    void onReadComplete();

    /**
     * Called when the stream has ended.
     *
     * @param framed whether a length or chunks show that the stream is complete; otherwise it ended with its connection
     */
    void onStreamEnd(boolean framed);

    /** Receives a complete response from an upstream that ran the call. */
    void onResponse(HttpResponse head, byte[] body);

    /** Called when the upstream states that it did not run the call. */
    void onNotRun(HttpResponse head);

    /**
     * Called when the upstream has sent what is no valid response, so that the attempt is lost and the upstream goes on.
     *
     * @param reason what went wrong, for the log
     */
    void onFaultyResponse(String reason);

    /**
     * Called when the upstream has sent more than a response may have, or than there is memory for. The attempt is lost.
     *
     * @param reason what went wrong, for the log
     */
    void onOversizedResponse(String reason);

    /**
     * Called when the attempt is lost.
     *
     * @param sent whether any byte of the request may have reached the upstream
     * @param reason what went wrong, for the log
     */
    void onFailure(boolean sent, String reason);
}
