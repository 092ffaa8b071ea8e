package io.sesamehead.coordination.dispatch;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.sesamehead.state.ClientAccount;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Hash of a call's target, account and body, by which a call is recognised when its caller sends it again.
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
        Hasher hasher = HASH.newHasher();
        hasher.putString(target, StandardCharsets.UTF_8);
        account.ifPresent(holder -> hasher.putString(holder.value(), StandardCharsets.UTF_8));
        hasher.putBytes(body);
        return new CallFingerprint(hasher.hash().asLong());
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
