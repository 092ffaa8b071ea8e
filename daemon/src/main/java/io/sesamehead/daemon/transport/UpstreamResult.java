package io.sesamehead.daemon.transport;

/** How one attempt on an upstream ended. The variant states precisely what is known about execution. */
public sealed interface UpstreamResult {
    /**
     * The completion ended with its end marker.
     *
     * @param count tokens of the whole answer
     * @param finish finish reason
     */
    record Finished(int count, String finish) implements UpstreamResult {}

    /**
     * The plain service answered.
     *
     * @param status HTTP status
     * @param contentType content type, may be empty
     * @param body the whole body
     */
    record Responded(int status, String contentType, byte[] body) implements UpstreamResult {}

    /**
     * No byte of the request reached a socket.
     *
     * @param detail a sentence for the caller
     */
    record NotSent(String detail) implements UpstreamResult {}

    /**
     * The upstream refused the request before running it.
     *
     * @param detail a sentence for the caller
     */
    record Refused(String detail) implements UpstreamResult {}

    /**
     * The upstream answered with an error.
     *
     * @param status HTTP status
     * @param detail a sentence for the caller
     */
    record Failed(int status, String detail) implements UpstreamResult {}

    /**
     * The connection broke, or the answer was cut short, after at least one byte may have been sent.
     *
     * @param detail a sentence for the caller
     */
    record Lost(String detail) implements UpstreamResult {}

    /**
     * The deadline passed after at least one byte may have been sent.
     *
     * @param detail a sentence for the caller
     */
    record DeadlinePassed(String detail) implements UpstreamResult {}

    /** The daemon cancelled the attempt, because its caller is gone or its group broke. */
    record Cancelled() implements UpstreamResult {}
}
