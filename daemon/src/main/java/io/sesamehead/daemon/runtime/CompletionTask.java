package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.coordination.request.RequestLifecycle;
import io.sesamehead.coordination.request.StreamSequence;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.daemon.transport.Cancellation;
import io.sesamehead.state.AttemptId;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.ServiceName;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Progress of one completion over its attempts. Used by one thread, apart from {@link RequestLifecycle}. */
final class CompletionTask {
    /** Finish reason of an engine that stopped a request on demand. */
    static final String CANCELLED = "cancelled";

    private final ForwardedCompletion call;
    private final long deadlineMillis;
    private final Optional<Cancellation> forwarderCancellation;
    private final RequestLifecycle lifecycle;
    private final StreamSequence sequence;
    private final TokenDelivery delivery;
    private final Set<UpstreamId> tried = new HashSet<>();
    private final Set<FailureDomain> triedDomains = new HashSet<>();
    private int attempts;
    private long noGroupSinceMillis = -1;
    private String finishReason = "";
    private OptionalLong retryAfterMillis = OptionalLong.empty();

    /**
     * Creates a task without attempts.
     *
     * @param call the completion
     * @param deadlineMillis deadline on the monotonic clock, in milliseconds
     * @param forwarderCancellation ends a call that another failure domain forwarded; empty for a call of a caller here
     * @param lifecycle the request
     * @param sequence positions of the stream
     * @param delivery takes the tokens
     */
    CompletionTask(
            ForwardedCompletion call,
            long deadlineMillis,
            Optional<Cancellation> forwarderCancellation,
            RequestLifecycle lifecycle,
            StreamSequence sequence,
            TokenDelivery delivery) {
        this.call = call;
        this.deadlineMillis = deadlineMillis;
        this.forwarderCancellation = forwarderCancellation;
        this.lifecycle = lifecycle;
        this.sequence = sequence;
        this.delivery = delivery;
    }

    RequestId request() {
        return call.request();
    }

    ServiceName service() {
        return call.service();
    }

    ClientAccount account() {
        return call.account();
    }

    Fingerprint fingerprint() {
        return call.fingerprint();
    }

    String prompt() {
        return call.prompt();
    }

    int maxTokens() {
        return call.maxTokens();
    }

    int priority() {
        return call.priority();
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    /** A forwarded call is not forwarded again. */
    boolean mayForward() {
        return forwarderCancellation.isEmpty();
    }

    Optional<Cancellation> forwarderCancellation() {
        return forwarderCancellation;
    }

    RequestLifecycle lifecycle() {
        return lifecycle;
    }

    StreamSequence sequence() {
        return sequence;
    }

    TokenDelivery delivery() {
        return delivery;
    }

    String finishReason() {
        return finishReason;
    }

    void finishReason(String reason) {
        finishReason = reason;
    }

    OptionalLong retryAfterMillis() {
        return retryAfterMillis;
    }

    void setRetryAfterMillis(OptionalLong millis) {
        retryAfterMillis = millis;
    }

    /** Returns the completion as another failure domain needs it now. */
    ForwardedCompletion forwarded() {
        return new ForwardedCompletion(
                call.request(),
                call.service(),
                call.account(),
                call.fingerprint(),
                call.prompt(),
                call.maxTokens(),
                sequence.nextIndex(),
                call.priority(),
                call.repeatable());
    }

    AttemptId nextAttempt() {
        return new AttemptId(call.request(), attempts + 1);
    }

    Optional<AttemptId> beginAttempt() {
        delivery.startAttempt();
        noGroupSinceMillis = -1;
        Optional<AttemptId> attempt = lifecycle.beginAttempt();
        attempt.ifPresent(begun -> attempts = begun.number());
        return attempt;
    }

    void markTried(UpstreamId upstream) {
        tried.add(upstream);
    }

    void markTriedDomain(FailureDomain domain) {
        triedDomains.add(domain);
    }

    ImmutableSet<FailureDomain> triedDomains() {
        return ImmutableSet.copyOf(triedDomains);
    }

    ImmutableSet<UpstreamId> untried(Set<UpstreamId> candidates) {
        return Sets.difference(candidates, tried).immutableCopy();
    }

    /** Makes upstreams that were tried eligible again; returns false when none was. */
    boolean clearTried() {
        boolean hadTried = !tried.isEmpty() || !triedDomains.isEmpty();
        tried.clear();
        triedDomains.clear();
        return hadTried;
    }

    long millisWithoutGroup(long nowMillis) {
        if (noGroupSinceMillis < 0) {
            noGroupSinceMillis = nowMillis;
        }
        return nowMillis - noGroupSinceMillis;
    }
}
