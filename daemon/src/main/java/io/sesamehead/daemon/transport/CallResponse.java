package io.sesamehead.daemon.transport;

import com.google.common.collect.ImmutableList;
import io.sesamehead.state.ErrorKind;
import java.util.OptionalLong;

/** Answer to a caller. */
public sealed interface CallResponse {
    /**
     * A whole completion.
     *
     * @param count tokens of the answer
     * @param finish finish reason
     * @param tokens the tokens; empty when they were all delivered as they arrived
     */
    record Completed(int count, String finish, ImmutableList<String> tokens) implements CallResponse {}

    /**
     * The whole answer of a plain service.
     *
     * @param status HTTP status
     * @param contentType content type, may be empty
     * @param body the body
     */
    record Body(int status, String contentType, byte[] body) implements CallResponse {}

    /**
     * An error.
     *
     * @param kind the error kind
     * @param detail a sentence for the caller
     * @param retryAfterMillis time after which the caller should come back, in milliseconds, when the answer has one
     */
    record Failed(ErrorKind kind, String detail, OptionalLong retryAfterMillis) implements CallResponse {}
}
