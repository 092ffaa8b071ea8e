package io.sesamehead.entry.transport;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Takes what happens to one request on a client connection. After an end or a failure nothing more comes. */
public interface ExchangeListener {
    /**
     * Tells whether an answer belongs to this request. An upstream may send a second answer to an earlier one.
     *
     * @param head the answer's head
     * @return false to skip the answer and wait for the next
     */
    boolean accepts(HttpResponse head);

    /**
     * Takes the head of the answer.
     *
     * @param head the head
     */
    void onHead(HttpResponse head);

    /**
     * Takes a part of the body.
     *
     * @param data the bytes; the listener retains what it keeps
     */
    void onContent(ByteBuf data);

    /** Takes the end of a complete answer. */
    void onEnd();

    /**
     * Takes a failure.
     *
     * @param sent whether any byte of the request can have reached the peer
     * @param reason what happened
     */
    void onFailure(boolean sent, String reason);
}
