package io.sesamehead.entry.port;

import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.InstanceId;
import java.util.Optional;

/**
 * Metadata sent to an upstream with an attempt, in addition to the caller's own headers.
 *
 * @param instance the intended upstream
 * @param remainingMillis time until the deadline, in milliseconds
 * @param account the caller's account
 * @param urgency from 0, the most urgent, to 9
 * @param lastEventId id of the event after which a stream resumes
 */
public record AttemptMetadata(
        InstanceId instance,
        long remainingMillis,
        Optional<ClientAccount> account,
        int urgency,
        Optional<String> lastEventId) {}
