package io.sesamehead.daemon.protocol;

import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.Epoch;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.RequestId;

/**
 * A completion request that the daemon sends to the head engine of a group.
 *
 * @param requestId identifier of the caller's request
 * @param account the client account
 * @param model name of the model
 * @param prompt the prompt
 * @param maxTokens maximum number of tokens in the whole completion
 * @param group the group that the daemon selected
 * @param epoch epoch of the group
 * @param resumeFrom index of the first token to send
 * @param priority priority from 0 to 9
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
