package io.sesamehead.cli.load;

/** Provides the tokens that the engine stand-in returns for a prompt. */
@FunctionalInterface
public interface ExpectedTokens {
    /**
     * Returns one token of the expected answer.
     *
     * @param prompt the prompt
     * @param index position of the token, starting at 0
     * @return the text of the token
     */
    String token(String prompt, int index);
}
