package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.CompletionBody;

/** Runs the calls that the caller port receives. Methods block until the call has finished. */
public interface CallHandler {
    /**
     * Runs a completion.
     *
     * @param call metadata of the call
     * @param completion the request body
     * @param caller receives tokens as they arrive and returns false once the caller has disconnected; tokens that were
     *     not passed to it are in the response
     * @return the response to the caller
     */
    CallResponse complete(CallContext call, CompletionBody completion, TokenSink caller);

    /**
     * Runs a call to a plain service.
     *
     * @param call metadata of the call
     * @param plain method, path and body of the call
     * @return the response to the caller
     */
    CallResponse call(CallContext call, PlainCall plain);
}
