package io.sesamehead.daemon.protocol;

/**
 * Request body of a completion call.
 *
 * @param prompt the prompt
 * @param maxTokens maximum number of tokens to generate
 * @param stream whether the caller wants server-sent events
 */
public record CompletionBody(String prompt, int maxTokens, boolean stream) {
    private static final int DEFAULT_MAX_TOKENS = 256;

    /** Maximum length of a completion; bounds the size of a recorded response and the memory of a call. */
    private static final int MAX_TOKENS = 65_536;

    /**
     * Decodes a request body.
     *
     * @param body the JSON text
     * @return the body
     * @throws MalformedMessageException if it is not JSON, or a field is missing, has the wrong type or is out of range
     */
    public static CompletionBody decode(byte[] body) throws MalformedMessageException {
        JsonFields fields = JsonFields.of(Json.parse(body));
        String prompt = fields.text("prompt");
        long maxTokens = fields.numberOr("max_tokens", DEFAULT_MAX_TOKENS);
        if (maxTokens < 1 || maxTokens > MAX_TOKENS) {
            throw new MalformedMessageException("field max_tokens must be from 1 to " + MAX_TOKENS);
        }
        return new CompletionBody(prompt, (int) maxTokens, fields.flagOr("stream", false));
    }
}
