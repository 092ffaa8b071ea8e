package io.sesamehead.bench.admission;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.admission.Admission;
import io.sesamehead.coordination.admission.AdmissionCall;
import io.sesamehead.coordination.admission.AdmissionDecision;
import io.sesamehead.coordination.admission.AdmissionDecision.Refusal;
import io.sesamehead.coordination.admission.AdmissionLimits;
import io.sesamehead.state.ErrorKind;
import java.util.ArrayDeque;
import java.util.Optional;

/** Admission or its baseline. */
interface CallQueue {
    AdmissionDecision offer(AdmissionCall call, long nowMillis);

    Optional<AdmissionCall> next(long nowMillis);

    ImmutableList<Refusal> expire(long nowMillis);

    void release(AdmissionCall call, long nowMillis);

    /** The real admission. */
    record Shared(Admission admission) implements CallQueue {
        @Override
        public AdmissionDecision offer(AdmissionCall call, long nowMillis) {
            return admission.offer(call, nowMillis);
        }

        @Override
        public Optional<AdmissionCall> next(long nowMillis) {
            return admission.next(nowMillis);
        }

        @Override
        public ImmutableList<Refusal> expire(long nowMillis) {
            return admission.expire(nowMillis);
        }

        @Override
        public void release(AdmissionCall call, long nowMillis) {
            admission.release(call.request(), nowMillis);
        }
    }

    /** Baseline: one queue without shares or deadlines, with a fixed come-back time. */
    final class Fifo implements CallQueue {
        private static final long RETRY_AFTER_MILLIS = 5_000;

        private final AdmissionLimits limits;
        private final ArrayDeque<AdmissionCall> waiting = new ArrayDeque<>();
        private int running;

        Fifo(AdmissionLimits limits) {
            this.limits = limits;
        }

        @Override
        public AdmissionDecision offer(AdmissionCall call, long nowMillis) {
            if (running < limits.concurrentCalls()) {
                running++;
                return new AdmissionDecision.Admit();
            }
            if (waiting.size() >= limits.queueLength()) {
                return new AdmissionDecision.Refuse(ErrorKind.OVERLOADED, RETRY_AFTER_MILLIS);
            }
            waiting.add(call);
            return new AdmissionDecision.Queue(0, Optional.empty());
        }

        @Override
        public Optional<AdmissionCall> next(long nowMillis) {
            if (running >= limits.concurrentCalls() || waiting.isEmpty()) {
                return Optional.empty();
            }
            running++;
            return Optional.of(waiting.removeFirst());
        }

        @Override
        public ImmutableList<Refusal> expire(long nowMillis) {
            return ImmutableList.of();
        }

        @Override
        public void release(AdmissionCall call, long nowMillis) {
            running--;
        }
    }
}
