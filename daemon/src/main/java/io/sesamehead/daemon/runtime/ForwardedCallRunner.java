package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.admission.AdmissionCall;
import io.sesamehead.coordination.admission.AdmissionDecision;
import io.sesamehead.coordination.request.RequestLifecycle;
import io.sesamehead.coordination.request.StreamSequence;
import io.sesamehead.daemon.transport.Cancellation;
import io.sesamehead.daemon.transport.TokenSink;
import io.sesamehead.state.Outcome;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Runs completions that another failure domain forwarded, on the groups of this one only. The forwarder counts the call
 * and its latency.
 */
public final class ForwardedCallRunner {
    /** Rough size of a token; only the ratio of costs between calls matters. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    private final CompletionRunner completions;
    private final AdmissionGate gate;
    private final LongSupplier nowMillis;

    /**
     * How a forwarded call ended.
     *
     * @param outcome its outcome
     * @param count tokens of the whole answer
     * @param finish finish reason
     */
    public record Result(Outcome outcome, int count, String finish) {}

    /**
     * Creates the runner.
     *
     * @param completions attempts of completions
     * @param gate admission
     * @param nowMillis monotonic clock, in milliseconds
     */
    public ForwardedCallRunner(CompletionRunner completions, AdmissionGate gate, LongSupplier nowMillis) {
        this.completions = completions;
        this.gate = gate;
        this.nowMillis = nowMillis;
    }

    /**
     * Runs a call to its end; blocks.
     *
     * @param call the call
     * @param deadlineMillis deadline on the monotonic clock, in milliseconds
     * @param cancellation ends the call when the other failure domain cancels it
     * @param sink takes the tokens on the calling thread
     * @return how the call ended
     */
    public Result run(ForwardedCompletion call, long deadlineMillis, Cancellation cancellation, TokenSink sink) {
        long cost = 1L + call.prompt().length() / CHARACTERS_PER_TOKEN + call.maxTokens();
        Optional<AdmissionDecision.Refuse> refusal =
                gate.enter(new AdmissionCall(call.request(), call.account(), call.priority(), cost, deadlineMillis));
        if (refusal.isPresent()) {
            return new Result(Outcome.of(refusal.get().kind(), "the call was not admitted"), 0, "");
        }
        try {
            return runAdmitted(call, deadlineMillis, cancellation, sink);
        } finally {
            gate.leave(call.request());
        }
    }

    private Result runAdmitted(
            ForwardedCompletion call, long deadlineMillis, Cancellation cancellation, TokenSink sink) {
        RequestLifecycle lifecycle = new RequestLifecycle(call.request(), call.repeatable(), deadlineMillis);
        StreamSequence sequence = new StreamSequence();
        for (int delivered = 0; delivered < call.resumeFrom(); delivered++) {
            sequence.accept(delivered);
        }
        TokenDelivery delivery = new TokenDelivery(
                lifecycle,
                sequence,
                sink,
                new TokenDelivery.Options(false, true),
                Optional.empty(),
                nowMillis.getAsLong(),
                nowMillis);
        CompletionTask task =
                new CompletionTask(call, deadlineMillis, Optional.of(cancellation), lifecycle, sequence, delivery);
        Outcome outcome = completions.run(task);
        return new Result(outcome, sequence.nextIndex(), task.finishReason());
    }
}
