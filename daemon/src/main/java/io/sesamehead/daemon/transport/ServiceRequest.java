package io.sesamehead.daemon.transport;

import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import java.util.Optional;

/**
 * A request that the daemon sends to a plain service.
 *
 * @param method {@code GET}, {@code POST} or {@code PUT}
 * @param path path and query without the leading slash
 * @param contentType content type of the body, may be empty
 * @param body the body, may be empty
 * @param requestId identifier of the caller's request
 * @param account the client account
 * @param key idempotency key, if the caller sent one
 */
public record ServiceRequest(
        String method,
        String path,
        String contentType,
        byte[] body,
        RequestId requestId,
        ClientAccount account,
        Optional<String> key) {}
