package io.sesamehead.daemon.transport;

/** Takes the tokens of a completion in the order in which the engine sends them. */
public interface TokenSink {
    /**
     * Takes a token.
     *
     * @param index position in the whole answer, from 0
     * @param text text of the token
     * @return false to end the attempt
     */
    boolean accept(int index, String text);
}
