package io.sesamehead.coordination.admission;

import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.RequestId;
import java.util.Optional;

/** Answer of admission to an offered call. */
public sealed interface AdmissionDecision {
    /** The call runs now and holds a slot until it is released. */
    record Admit() implements AdmissionDecision {}

    /**
     * The call waits until {@code next} returns it or {@code expire} refuses it.
     *
     * @param estimatedWaitMillis expected wait, in milliseconds
     * @param displaced a waiting call that lost its place to this one and must be answered now
     */
    record Queue(long estimatedWaitMillis, Optional<Refusal> displaced) implements AdmissionDecision {}

    /**
     * The call is answered at once.
     *
     * @param kind an error kind whose run state is not-run
     * @param retryAfterMillis time after which the caller should come back, in milliseconds; 0 when the kind has none
     */
    record Refuse(ErrorKind kind, long retryAfterMillis) implements AdmissionDecision {}

    /**
     * A waiting call that is refused.
     *
     * @param request the waiting call
     * @param refuse its answer
     */
    record Refusal(RequestId request, Refuse refuse) {}
}
