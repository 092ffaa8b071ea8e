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

/** Blocks calls until {@link Admission} lets them run or refuses them. */
public final class AdmissionGate {
    /** A waiting call asks for expired deadlines this often, besides at its own deadline. */
    private static final long EXPIRE_INTERVAL_MILLIS = 100;

    private final Admission admission;
    private final LongSupplier nowMillis;
    private final ConcurrentMap<RequestId, CompletableFuture<Optional<AdmissionDecision.Refuse>>> waiting =
            new ConcurrentHashMap<>();

    /**
     * Creates a gate without calls.
     *
     * @param admission decides about the calls
     * @param nowMillis monotonic clock, in milliseconds
     */
    public AdmissionGate(Admission admission, LongSupplier nowMillis) {
        this.admission = admission;
        this.nowMillis = nowMillis;
    }

    /**
     * Waits until a call may run. {@link #leave} must follow when it was admitted.
     *
     * @param call the call
     * @return empty when the call runs now, otherwise its refusal
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
     * Frees the slot of a call and lets waiting calls run.
     *
     * @param request the call
     */
    public void leave(RequestId request) {
        admission.release(request, nowMillis.getAsLong());
        admitNext();
    }

    /**
     * Returns when a caller that got no answer should come back.
     *
     * @param request the call
     * @return milliseconds
     */
    public long retryAfterMillis(RequestId request) {
        return admission.retryAfterMillis(request);
    }

    private Optional<AdmissionDecision.Refuse> await(CompletableFuture<Optional<AdmissionDecision.Refuse>> pendingDecision) {
        while (true) {
            try {
                return pendingDecision.get(EXPIRE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                admission.expire(nowMillis.getAsLong()).forEach(this::refuse);
                admitNext();
            } catch (InterruptedException | ExecutionException e) {
                throw new IllegalStateException("the wait for admission was ended", e);
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
