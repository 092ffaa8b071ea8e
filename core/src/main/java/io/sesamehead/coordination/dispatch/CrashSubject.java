package io.sesamehead.coordination.dispatch;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.sesamehead.state.ClientAccount;
import java.util.HexFormat;
import java.util.Optional;

/**
 * What crashes of targets are counted against, as a hash. The path, account and body of a call identify it when its
 * caller retries it; the query is excluded because a retry may change it. A part of a prompt is known by its id.
 *
 * @param value the hash
 */
public record CrashSubject(long value) {
    private static final HashFunction HASH = Hashing.sipHash24();
    /** Prefix that no path of a call has, so that a part never has the hash of a call. */
    private static final String PROMPT_PART = "prompt part";

    /**
     * Returns the subject of a call.
     *
     * @param target path and query of the call
     * @param account the caller's account, empty for an anonymous call
     * @param body the body, possibly empty
     * @return the subject
     */
    public static CrashSubject ofCall(String target, Optional<ClientAccount> account, byte[] body) {
        int query = target.indexOf('?');
        Hasher hasher = HASH.newHasher();
        putText(hasher, query < 0 ? target : target.substring(0, query));
        putText(hasher, account.map(ClientAccount::value).orElse(""));
        hasher.putBytes(body);
        return new CrashSubject(hasher.hash().asLong());
    }

    /**
     * Returns the subject of all calls whose prompts contain a part.
     *
     * @param part the part
     * @return the subject
     */
    public static CrashSubject ofPromptPart(PromptPart part) {
        Hasher hasher = HASH.newHasher();
        putText(hasher, PROMPT_PART);
        putText(hasher, part.id());
        return new CrashSubject(hasher.hash().asLong());
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
