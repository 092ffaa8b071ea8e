package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableSet;
import io.sesamehead.daemon.transport.Cancellation;
import io.sesamehead.daemon.transport.SendGate;
import io.sesamehead.daemon.transport.TokenSink;
import io.sesamehead.daemon.transport.UpstreamResult;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.ServiceName;
import java.time.Duration;
import java.util.Optional;

/** Runs completions in other failure domains. */
public interface RemoteCalls {
    /**
     * Chooses a failure domain that, according to its latest heartbeats, can run a completion.
     *
     * @param service the model service
     * @param tried failure domains that this request has already tried
     * @return the failure domain, or empty if there is none
     */
    Optional<FailureDomain> choose(ServiceName service, ImmutableSet<FailureDomain> tried);

    /**
     * Runs one attempt of a completion in another failure domain. Blocks until the attempt has ended.
     *
     * @param target the failure domain
     * @param call the completion
     * @param deadline remaining time for the whole attempt
     * @param cancellation ends the attempt early
     * @param gate checked immediately before the first byte is sent
     * @param sink receives the tokens, on the calling thread
     * @return the result of the attempt
     */
    UpstreamResult complete(
            FailureDomain target,
            ForwardedCompletion call,
            Duration deadline,
            Cancellation cancellation,
            SendGate gate,
            TokenSink sink);

    /**
     * Returns an instance for a daemon without connections to other failure domains.
     *
     * @return an instance that never finds a failure domain
     */
    static RemoteCalls none() {
        return new RemoteCalls() {
            @Override
            public Optional<FailureDomain> choose(ServiceName service, ImmutableSet<FailureDomain> tried) {
                return Optional.empty();
            }

            @Override
            public UpstreamResult complete(
                    FailureDomain target,
                    ForwardedCompletion call,
                    Duration deadline,
                    Cancellation cancellation,
                    SendGate gate,
                    TokenSink sink) {
                return new UpstreamResult.NotSent("there is no connection to other failure domains");
            }
        };
    }
}
