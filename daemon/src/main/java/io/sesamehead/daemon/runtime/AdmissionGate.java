package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.admission.Admission;
import io.sesamehead.coordination.admission.AdmissionCall;
import io.sesamehead.coordination.admission.AdmissionDecision;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.RequestId;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;

/** Blocks calls until {@link Admission} admits or refuses them. */
public final class AdmissionGate {
    /** Interval at which a waiting call checks for queued calls whose deadline has expired. */
    private static final long EXPIRE_INTERVAL_MILLIS = 100;

    private final Admission admission;
    private final LongSupplier nowMillis;
    private final ConcurrentMap<RequestId, CompletableFuture<Optional<AdmissionDecision.Refuse>>> waiting =
            new ConcurrentHashMap<>();

    /**
     * Creates a gate with no calls.
     *
     * @param admission decides whether a call is admitted, queued or refused
     * @param nowMillis monotonic clock, in milliseconds
     */
    public AdmissionGate(Admission admission, LongSupplier nowMillis) {
        this.admission = admission;
        this.nowMillis = nowMillis;
    }

    /**
     * Blocks until a call is admitted or refused. An admitted call must be followed by {@link #leave}.
     *
     * @param call the call
     * @return empty if the call was admitted, otherwise the refusal
     */
    public Optional<AdmissionDecision.Refuse> enter(AdmissionCall call) {
        CompletableFuture<Optional<AdmissionDecision.Refuse>> pendingDecision = new CompletableFuture<>();
        if (waiting.putIfAbsent(call.request(), pendingDecision) != null) {
            return Optional.of(new AdmissionDecision.Refuse(ErrorKind.BAD_HEADER, 0));
        }
        try {
            return switch (admission.offer(call, nowMillis.getAsLong())) {
                case AdmissionDecision.Admit ignored -> Optional.empty();
                case AdmissionDecision.Refuse refuse -> Optional.of(refuse);
                case AdmissionDecision.Queue(long ignored, Optional<AdmissionDecision.Refusal> displaced) -> {
                    displaced.ifPresent(this::refuse);
                    yield await(pendingDecision);
                }
            };
        } finally {
            waiting.remove(call.request());
        }
    }

    /**
     * Releases the slot of a call and admits waiting calls.
     *
     * @param request the call
     */
    public void leave(RequestId request) {
        admission.release(request, nowMillis.getAsLong());
        admitNext();
    }

    /**
     * Returns the delay after which a caller without a response should retry.
     *
     * @param request the call
     * @return milliseconds
     */
    public long retryAfterMillis(RequestId request) {
        return admission.retryAfterMillis(request);
    }

    private Optional<AdmissionDecision.Refuse> await(
            CompletableFuture<Optional<AdmissionDecision.Refuse>> pendingDecision) {
        while (true) {
            try {
                return pendingDecision.get(EXPIRE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                admission.expire(nowMillis.getAsLong()).forEach(this::refuse);
                admitNext();
            } catch (InterruptedException | ExecutionException e) {
                throw new IllegalStateException("waiting for admission was interrupted or failed", e);
            }
        }
    }

    private void admitNext() {
        Optional<AdmissionCall> next = admission.next(nowMillis.getAsLong());
        while (next.isPresent()) {
            RequestId request = next.get().request();
            CompletableFuture<Optional<AdmissionDecision.Refuse>> pendingDecision = waiting.get(request);
            if (pendingDecision == null || !pendingDecision.complete(Optional.empty())) {
                admission.release(request, nowMillis.getAsLong());
            }
            next = admission.next(nowMillis.getAsLong());
        }
    }

    private void refuse(AdmissionDecision.Refusal refusal) {
        CompletableFuture<Optional<AdmissionDecision.Refuse>> pendingDecision = waiting.get(refusal.request());
        if (pendingDecision != null) {
            pendingDecision.complete(Optional.of(refusal.refuse()));
        }
    }
}
