package io.sesamehead.coordination.request;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.util.Objects;

/**
 * Hash of a request's content, by which the same request is recognised when its caller sends it again.
 *
 * @param value 64 hexadecimal digits
 */
public record Fingerprint(String value) {
    /** Rejects a missing value. */
    public Fingerprint {
        Objects.requireNonNull(value, "value");
    }

    /**
     * Hashes method, path and body.
     *
     * @param method HTTP method
     * @param path path with the service's name
     * @param body the body
     * @return the fingerprint
     */
    public static Fingerprint of(String method, String path, byte[] body) {
        Hasher hasher = Hashing.sha256().newHasher();
        putText(hasher, method);
        putText(hasher, path);
        hasher.putBytes(body);
        return new Fingerprint(hasher.hash().toString());
    }

    /** The length goes first, so that two pairs of texts cannot run into the same bytes. */
    private static void putText(Hasher hasher, String text) {
        hasher.putInt(text.length()).putUnencodedChars(text);
    }

    @Override
    public String toString() {
        return value;
    }
}
