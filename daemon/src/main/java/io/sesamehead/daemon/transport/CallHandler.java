package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.CompletionBody;

/** Runs the calls that the caller port receives. Methods block until the call has ended. */
public interface CallHandler {
    /**
     * Runs a completion.
     *
     * @param call the call
     * @param completion its body
     * @param caller takes tokens as they arrive and returns false once the caller is gone; tokens that it did not
     *     receive are in the answer
     * @return the answer
     */
    CallResponse complete(CallContext call, CompletionBody completion, TokenSink caller);

    /**
     * Runs a call to a plain service.
     *
     * @param call the call
     * @param plain method, path and body
     * @return the answer
     */
    CallResponse call(CallContext call, PlainCall plain);
}
