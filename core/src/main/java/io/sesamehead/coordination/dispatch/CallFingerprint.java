package io.sesamehead.coordination.dispatch;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.sesamehead.state.ClientAccount;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Hash of a call's path, account and body that identifies the call when its caller retries it. The query is excluded
 * because a retry may change it.
 *
 * @param value the hash
 */
public record CallFingerprint(long value) {
    private static final HashFunction HASH = Hashing.sipHash24();

    /**
     * Hashes a call.
     *
     * @param target path and query of the call
     * @param account the caller's account, empty for an anonymous call
     * @param body the body, possibly empty
     * @return the fingerprint
     */
    public static CallFingerprint of(String target, Optional<ClientAccount> account, byte[] body) {
        int query = target.indexOf('?');
        Hasher hasher = HASH.newHasher();
        putText(hasher, query < 0 ? target : target.substring(0, query));
        putText(hasher, account.map(ClientAccount::value).orElse(""));
        hasher.putBytes(body);
        return new CallFingerprint(hasher.hash().asLong());
    }

    /** Adds a text with a length prefix, so that adjacent fields cannot be shifted into each other and collide. */
    private static void putText(Hasher hasher, String text) {
        hasher.putInt(text.length()).putUnencodedChars(text);
    }

    /**
     * Returns the form used in logs and object names.
     *
     * @return 16 hexadecimal digits
     */
    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(value);
    }
}
