package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.ServiceName;

/**
 * A completion as one failure domain hands it to another.
 *
 * @param request the caller's request
 * @param service the model service
 * @param account the client account
 * @param fingerprint hash of the caller's request
 * @param prompt the prompt
 * @param maxTokens most tokens of the whole answer
 * @param resumeFrom index of the first token wanted
 * @param priority 0 to 9
 * @param repeatable true when a second execution does no harm
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
