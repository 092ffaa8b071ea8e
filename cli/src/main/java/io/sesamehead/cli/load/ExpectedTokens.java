package io.sesamehead.cli.load;

/** Knows the answer that the engine stand-in gives. */
@FunctionalInterface
public interface ExpectedTokens {
    /**
     * Returns one token of the answer to a prompt.
     *
     * @param prompt the prompt
     * @param index position, from 0
     * @return text of the token
     */
    String token(String prompt, int index);
}
