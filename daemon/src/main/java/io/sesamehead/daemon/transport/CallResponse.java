package io.sesamehead.daemon.transport;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.ErrorKind;
import java.util.OptionalLong;

/** Response to a caller. */
public sealed interface CallResponse {
    /**
     * A finished completion.
     *
     * @param count number of tokens in the completion
     * @param finish finish reason
     * @param tokens the tokens; empty if all of them were already streamed to the caller
     */
    record Completed(int count, String finish, ImmutableList<String> tokens) implements CallResponse {}

    /**
     * The whole response of a plain service.
     *
     * @param status HTTP status
     * @param contentType content type; may be empty
     * @param body the body
     */
    record Body(int status, String contentType, byte[] body) implements CallResponse {}

    /**
     * An error.
     *
     * @param kind the error kind
     * @param detail description for the caller
     * @param retryAfterMillis delay after which the caller should retry, in milliseconds, if the response has one
     */
    record Failed(ErrorKind kind, String detail, OptionalLong retryAfterMillis) implements CallResponse {}
}
