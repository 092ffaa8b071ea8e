package io.sesamehead.entry.port;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.dispatch.PromptPart;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Metadata from a caller's request headers.
 *
 * @param requestId id of this attempt, empty if not stated
 * @param remainingMillis time until the caller's deadline, in milliseconds
 * @param apiKey the caller's API key
 * @param model model that the call requires
 * @param promptTokens number of prompt tokens, 0 if not stated
 * @param sharedPromptParts parts of the prompt that other requests may contain as well, in order
 * @param lastEventId id of the last event that the caller received
 */
public record CallMetadata(
        String requestId,
        OptionalLong remainingMillis,
        Optional<String> apiKey,
        Optional<String> model,
        int promptTokens,
        ImmutableList<PromptPart> sharedPromptParts,
        Optional<String> lastEventId) {}
