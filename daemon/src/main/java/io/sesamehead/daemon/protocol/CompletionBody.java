package io.sesamehead.daemon.protocol;

/**
 * Body of a caller's completion call.
 *
 * @param prompt the prompt
 * @param maxTokens most tokens of the answer
 * @param stream true when the caller wants server-sent events
 */
public record CompletionBody(String prompt, int maxTokens, boolean stream) {
    private static final int DEFAULT_MAX_TOKENS = 256;

    /** Longest answer; keeps one recorded answer and one call's memory bounded. */
    private static final int MAX_TOKENS = 65_536;

    /**
     * Decodes a body.
     *
     * @param body the JSON text
     * @return the body
     * @throws MalformedMessageException if it is not JSON, or a field is missing, mistyped or out of range
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
