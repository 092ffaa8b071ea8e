package io.sesamehead.entry.transport;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the events of one request on a client connection. No event follows an end or a failure. */
public interface ExchangeListener {
    /**
     * Returns whether a response belongs to this request. An upstream may send a duplicate response to an earlier request.
     *
     * @param head response head
     * @param onlyRequest whether the connection has carried no other request
     * @return false to skip this response and wait for the next
     */
    boolean accepts(HttpResponse head, boolean onlyRequest);

    /**
     * Called when the response head is received.
     *
     * @param head response head
     */
    void onHead(HttpResponse head);

    /**
     * Called for each chunk of the response body.
     *
     * @param data body bytes; a listener that keeps the buffer must retain it
     */
    void onContent(ByteBuf data);

    /** Called at the end of a complete response. */
    void onEnd();

    /**
     * Called when the exchange fails.
     *
     * @param sent whether any byte of the request may have reached the peer
     * @param reason cause of the failure
     */
    void onFailure(boolean sent, String reason);
}
