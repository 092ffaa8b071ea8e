package io.sesamehead.coordination.admission;

import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.RequestId;
import java.util.Optional;

/** Decision on a call that is offered to {@link Admission}. */
public sealed interface AdmissionDecision {
    /** The call runs now and holds a slot until it is released. */
    record Admit() implements AdmissionDecision {}

    /**
     * The call waits until {@link Admission#next} returns it or {@link Admission#expire} refuses it.
     *
     * @param estimatedWaitMillis expected wait, in milliseconds
     * @param displaced a waiting call that this one displaced from the queue and that must be answered now
     */
    record Queue(long estimatedWaitMillis, Optional<Refusal> displaced) implements AdmissionDecision {}

    /**
     * The call is refused.
     *
     * @param kind error kind, with a run state of not-run
     * @param retryAfterMillis time after which the caller should retry, in milliseconds; 0 if the kind has none
     */
    record Refuse(ErrorKind kind, long retryAfterMillis) implements AdmissionDecision {}

    /**
     * A waiting call that is refused.
     *
     * @param request the waiting call
     * @param refuse the answer to its caller
     */
    record Refusal(RequestId request, Refuse refuse) {}
}
