package io.sesamehead.daemon.transport;

/** Result of an attempt on an upstream. The variant states what is known about whether the request was run. */
public sealed interface UpstreamResult {
    /**
     * The completion was received up to its end marker.
     *
     * @param count number of tokens in the whole completion
     * @param finish finish reason
     */
    record Finished(int count, String finish) implements UpstreamResult {}

    /**
     * The plain service responded.
     *
     * @param status HTTP status
     * @param contentType content type, may be empty
     * @param body the whole body
     */
    record Responded(int status, String contentType, byte[] body) implements UpstreamResult {}

    /**
     * No byte of the request was written to a socket.
     *
     * @param detail description for the caller
     */
    record NotSent(String detail) implements UpstreamResult {}

    /**
     * The upstream refused the request before running it.
     *
     * @param detail description for the caller
     */
    record Refused(String detail) implements UpstreamResult {}

    /**
     * The upstream responded with an error.
     *
     * @param status HTTP status
     * @param detail description for the caller
     */
    record Failed(int status, String detail) implements UpstreamResult {}

    /**
     * The connection was lost, or the response was truncated, after at least one byte may have been sent.
     *
     * @param detail description for the caller
     */
    record Lost(String detail) implements UpstreamResult {}

    /**
     * The deadline passed after at least one byte may have been sent.
     *
     * @param detail description for the caller
     */
    record DeadlinePassed(String detail) implements UpstreamResult {}

    /** The daemon cancelled the attempt because its caller disconnected or its group broke. */
    record Cancelled() implements UpstreamResult {}
}
