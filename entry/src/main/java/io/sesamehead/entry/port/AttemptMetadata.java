package io.sesamehead.entry.port;

import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.InstanceId;
import java.util.Optional;

/**
 * What an upstream is told about an attempt, beside the caller's own headers.
 *
 * @param instance the upstream that is meant
 * @param remainingMillis time left, in milliseconds
 * @param account the caller's account
 * @param urgency 0 is the most urgent, at most 9
 * @param lastEventId event after which a stream is to continue
 */
public record AttemptMetadata(
        InstanceId instance,
        long remainingMillis,
        Optional<ClientAccount> account,
        int urgency,
        Optional<String> lastEventId) {}
