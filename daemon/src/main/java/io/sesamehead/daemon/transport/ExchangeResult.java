package io.sesamehead.daemon.transport;

/**
 * Result of one HTTP exchange, with a precise statement about whether the request may have reached the other side.
 *
 * @param <T> what the response handler returns
 */
sealed interface ExchangeResult<T> {
    /**
     * The response was handled.
     *
     * @param <T> type of the value
     * @param value the handler's result
     */
    record Completed<T>(T value) implements ExchangeResult<T> {}

    /**
     * No byte of the request reached a socket.
     *
     * @param <T> type of the value
     * @param detail what failed
     * @param connectionRefused true when nothing listens at the address
     */
    record NotSent<T>(String detail, boolean connectionRefused) implements ExchangeResult<T> {}

    /**
     * The exchange broke after at least one byte may have been sent.
     *
     * @param <T> type of the value
     * @param detail what failed
     * @param deadlinePassed true when the deadline ended the exchange
     */
    record Broken<T>(String detail, boolean deadlinePassed) implements ExchangeResult<T> {}

    /**
     * The exchange was cancelled by this process.
     *
     * @param <T> type of the value
     */
    record Cancelled<T>() implements ExchangeResult<T> {}
}
