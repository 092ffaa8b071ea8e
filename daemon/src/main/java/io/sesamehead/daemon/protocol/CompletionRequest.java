package io.sesamehead.daemon.protocol;

import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.RequestId;

/**
 * A completion as it is sent to the head of a group.
 *
 * @param requestId identifier of the caller's request
 * @param account the client account
 * @param model name of the model
 * @param prompt the prompt
 * @param maxTokens most tokens of the whole answer
 * @param group the group that the daemon chose
 * @param epoch epoch of the group
 * @param resumeFrom index of the first token wanted
 * @param priority 0 to 9
 */
public record CompletionRequest(
        RequestId requestId,
        ClientAccount account,
        String model,
        String prompt,
        int maxTokens,
        GroupId group,
        Epoch epoch,
        int resumeFrom,
        int priority) {}
