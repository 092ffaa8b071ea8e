package io.sesamehead.coordination.dispatch;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.sesamehead.state.ClientAccount;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Hash of a call's path, account and body, by which a call is recognised when its caller sends it again. The query is left
 * out, since a repeat may change it.
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

    /** The length goes first, so that two pairs of texts cannot run into the same bytes. */
    private static void putText(Hasher hasher, String text) {
        hasher.putInt(text.length()).putUnencodedChars(text);
    }

    /**
     * Returns the form in logs and names.
     *
     * @return 16 hexadecimal digits
     */
    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(value);
    }
}
