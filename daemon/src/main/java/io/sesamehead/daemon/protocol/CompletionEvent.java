package io.sesamehead.daemon.protocol;

/** One event of an engine's completion stream. */
public sealed interface CompletionEvent {
    /**
     * One token.
     *
     * @param index position in the whole answer, from 0
     * @param text text of the token
     */
    record Token(int index, String text) implements CompletionEvent {}

    /**
     * The end marker.
     *
     * @param count tokens of the whole answer
     * @param finish finish reason
     */
    record End(int count, String finish) implements CompletionEvent {}
}
