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

/** Calls that run in another failure domain. */
public interface RemoteCalls {
    /**
     * Chooses a failure domain that can run a completion as far as is known.
     *
     * @param service the model service
     * @param tried failure domains that this request tried already
     * @return the failure domain, or empty when there is none
     */
    Optional<FailureDomain> choose(ServiceName service, ImmutableSet<FailureDomain> tried);

    /**
     * Runs one attempt of a completion in another failure domain. Blocks until the attempt has ended.
     *
     * @param target the failure domain
     * @param call the completion
     * @param deadline time left for the whole attempt
     * @param cancellation ends the attempt early
     * @param gate asked immediately before the first byte is sent
     * @param sink takes the tokens on the calling thread
     * @return how the attempt ended
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
