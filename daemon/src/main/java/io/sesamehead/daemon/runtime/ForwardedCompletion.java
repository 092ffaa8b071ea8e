package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.ServiceName;

/**
 * A completion that one failure domain forwards to another.
 *
 * @param request identifier of the caller's request
 * @param service the model service
 * @param account the client account
 * @param fingerprint hash of the caller's request
 * @param prompt the prompt
 * @param maxTokens maximum number of tokens of the whole answer
 * @param resumeFrom index of the first token to send
 * @param priority priority, 0 to 9
 * @param repeatable whether a second execution is harmless
 */
public record ForwardedCompletion(
        RequestId request,
        ServiceName service,
        ClientAccount account,
        Fingerprint fingerprint,
        String prompt,
        int maxTokens,
        int resumeFrom,
        int priority,
        boolean repeatable) {}
