package io.sesamehead.daemon.transport;

/** Receives the tokens of a completion in the order in which the engine sends them. */
public interface TokenSink {
    /**
     * Receives a token.
     *
     * @param index zero-based position in the whole completion
     * @param text text of the token
     * @return false to end the attempt
     */
    boolean accept(int index, String text);
}
