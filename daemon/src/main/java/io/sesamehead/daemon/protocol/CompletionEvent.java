package io.sesamehead.daemon.protocol;

/** An event of an engine's completion stream. */
public sealed interface CompletionEvent {
    /**
     * A generated token.
     *
     * @param index zero-based position in the whole completion
     * @param text text of the token
     */
    record Token(int index, String text) implements CompletionEvent {}

    /**
     * The end marker.
     *
     * @param count number of tokens in the whole completion
     * @param finish finish reason
     */
    record End(int count, String finish) implements CompletionEvent {}
}
