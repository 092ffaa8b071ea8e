package io.sesamehead.coordination.request;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.Objects;

/**
 * Hash of a request's content that identifies the request when its caller retries it.
 *
 * @param value 64 hexadecimal digits
 */
public record Fingerprint(String value) {
    /** Rejects a null value. */
    public Fingerprint {
        Objects.requireNonNull(value, "value");
    }

    /**
     * Hashes the method, path and body of a request.
     *
     * @param method HTTP method
     * @param path path, including the service name
     * @param body request body
     * @return the fingerprint
     */
    public static Fingerprint of(String method, String path, byte[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        putText(hasher, method);
        putText(hasher, path);
        hasher.putBytes(body);
        return new Fingerprint(hasher.hash().toString());
    }

    /** Adds a text with a length prefix, so that adjacent fields cannot be shifted into each other and collide. */
    private static void putText(Hasher hasher, String text) {
        hasher.putInt(text.length()).putUnencodedChars(text);
    }

    @Override
    public String toString() {
        return value;
    }
}
