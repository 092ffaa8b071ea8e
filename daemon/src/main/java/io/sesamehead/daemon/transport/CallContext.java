package io.sesamehead.daemon.transport;

import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.ServiceName;
import java.util.Optional;

/**
 * What is known of a caller's request besides its body.
 *
 * @param request identifier, given by the caller or drawn by the daemon
 * @param service the service called
 * @param account the client account
 * @param key idempotency key, when the caller gave one
 * @param nonIdempotent value of the header {@code X-Non-Idempotent}, when the caller gave it
 * @param arrivedMillis arrival on the monotonic clock, in milliseconds
 * @param deadlineMillis deadline on the monotonic clock, in milliseconds
 * @param priority 0 to 9
 * @param fingerprint hash of method, path and body
 */
public record CallContext(
        RequestId request,
        ServiceName service,
        ClientAccount account,
        Optional<String> key,
        Optional<Boolean> nonIdempotent,
        long arrivedMillis,
        long deadlineMillis,
        int priority,
        Fingerprint fingerprint) {}
