package io.sesamehead.entry.transport;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;

/** Receives the events of one request on a client connection. No event but the end of a read follows an end or a failure. */
public interface ExchangeListener {
    /**
     * Returns the id of the request, by which it tells its own response from others on the same connection. A request
     * without an id, as stated by its caller, has an empty string and is sent on a new connection.
     *
     * @return the id, or empty if responses are not told apart
     */
    Optional<String> requestId();

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

    /**
     * Called after the head or body bytes of one read of the connection were received, also if the exchange has ended
     * with them.
     */
    default void onReadComplete() {}

    /** Called at the end of a complete response. */
    void onEnd();

    /**
     * Called when the exchange fails because the peer has sent what is no response, or too much of it.
     *
     * @param reason cause of the failure
     */
    default void onFaultyResponse(String reason) {
        onFailure(true, reason);
    }

    /**
     * Called when the exchange fails.
     *
     * @param sent whether any byte of the request may have reached the peer
     * @param reason cause of the failure
     */
    void onFailure(boolean sent, String reason);
}
