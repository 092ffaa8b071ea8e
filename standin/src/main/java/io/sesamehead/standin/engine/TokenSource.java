package io.sesamehead.standin.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Derives each token from the prompt and the token's index, so that tests and clients can verify a completion. */
public final class TokenSource {
    private static final int FINGERPRINT_BYTES = 8;

    private TokenSource() {}

    /**
     * Returns a token.
     *
     * @param prompt the prompt
     * @param index zero-based position of the token in the completion
     * @return the token text: a space and eight hexadecimal digits
     */
    public static String token(String prompt, int index) {
        // Multiplying by the 64-bit golden ratio spreads adjacent indexes over all digits.
        long mixed = (prompt.hashCode() + ((long) prompt.length() << 32)) ^ (index + 1L) * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ mixed >>> 32) * 0xD6E8FEB86659FD93L;
        return " " + HexFormat.of().toHexDigits((int) (mixed >>> 32));
    }

    /**
     * Returns a short hash of a prompt, for the list of executions.
     *
     * @param prompt the prompt
     * @return the first 16 hexadecimal digits of its SHA-256 hash
     */
    public static String fingerprint(String prompt) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(prompt.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest, 0, FINGERPRINT_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
