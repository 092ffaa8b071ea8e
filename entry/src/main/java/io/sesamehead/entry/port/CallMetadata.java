package io.sesamehead.entry.port;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller states about its call.
 *
 * @param requestId name of this try, empty if the caller gave none
 * @param remainingMillis time that the caller will wait, in milliseconds
 * @param apiKey the caller's key
 * @param model model that the call needs
 * @param promptTokens tokens to read, 0 if not stated
 * @param lastEventId last event that the caller already has
 */
public record CallMetadata(
        String requestId,
        OptionalLong remainingMillis,
        Optional<String> apiKey,
        Optional<String> model,
        int promptTokens,
        Optional<String> lastEventId) {}
