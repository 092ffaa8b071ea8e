package io.sesamehead.coordination.order;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.ServiceName;

/**
 * A call with an idempotency key.
 *
 * @param request the call
 * @param service the service called
 * @param account the client account; keys of different accounts are independent
 * @param key the idempotency key
 * @param fingerprint hash of method, path and body
 */
public record KeyedCall(
        RequestId request, ServiceName service, ClientAccount account, String key, Fingerprint fingerprint) {
    /**
     * Returns the name of the call's {@code orders} object.
     *
     * @return {@code <service>.<hash of account and key>}
     */
    public String objectName() {
        return objectName(service, account, key);
    }

    /** Hashes the length of the account first, so that no two pairs of account and key produce the same input. */
    static String objectName(ServiceName service, ClientAccount account, String key) {
        Hasher hasher = Hashing.sha256().newHasher();
        hasher.putInt(account.value().length()).putUnencodedChars(account.value());
        hasher.putUnencodedChars(key);
        return service + "." + hasher.hash();
    }
}
