package io.sesamehead.daemon.transport;

/**
 * Result of an HTTP exchange. The variant states whether the request may have reached the server.
 *
 * @param <T> type of the result of the response handler
 */
sealed interface ExchangeResult<T> {
    /**
     * The response was received and handled.
     *
     * @param <T> type of the value
     * @param value result of the handler
     */
    record Completed<T>(T value) implements ExchangeResult<T> {}

    /**
     * No byte of the request was written to a socket.
     *
     * @param <T> type of the value
     * @param detail description of the failure
     * @param connectionRefused true if nothing is listening at the address
     */
    record NotSent<T>(String detail, boolean connectionRefused) implements ExchangeResult<T> {}

    /**
     * The exchange failed after at least one byte may have been sent.
     *
     * @param <T> type of the value
     * @param detail description of the failure
     * @param deadlinePassed true if the exchange failed because its deadline passed
     */
    record Broken<T>(String detail, boolean deadlinePassed) implements ExchangeResult<T> {}

    /**
     * The exchange was cancelled by this process.
     *
     * @param <T> type of the value
     */
    record Cancelled<T>() implements ExchangeResult<T> {}
}
