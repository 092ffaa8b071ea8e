package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.admission.AdmissionCall;
import io.sesamehead.coordination.admission.AdmissionDecision;
import io.sesamehead.coordination.order.KeyStatus;
import io.sesamehead.coordination.order.KeyedCall;
import io.sesamehead.coordination.order.KeyedCallSettings;
import io.sesamehead.coordination.request.InFlightTable;
import io.sesamehead.coordination.request.RequestLifecycle;
import io.sesamehead.coordination.request.StreamSequence;
import io.sesamehead.daemon.protocol.CompletionBody;
import io.sesamehead.daemon.transport.CallContext;
import io.sesamehead.daemon.transport.CallHandler;
import io.sesamehead.daemon.transport.CallResponse;
import io.sesamehead.daemon.transport.PlainCall;
import io.sesamehead.daemon.transport.TokenSink;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.Outcome;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.RetryAdvice;
import io.sesamehead.state.ServiceSpec;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The flow of one call: open, admission, claim of its key, attempts, answer. Every slot and entry that a call takes is
 * given back whatever its end. Holds no lock during I/O.
 */
public final class CallService implements CallHandler {
    /** Rough size of a token; only the ratio of costs between calls matters. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    private static final KeyedCallSettings COMPLETION_KEY_SETTINGS = new KeyedCallSettings(false, false);

    private final ServiceCatalog catalog;
    private final InFlightTable inFlight;
    private final AdmissionGate gate;
    private final KeyedCallRunner keyed;
    private final CompletionRunner completions;
    private final PlainCallRunner plainCalls;
    private final ServiceLevelRegistry levels;
    private final LongSupplier nowMillis;
    private final ConcurrentMap<RequestId, CompletableFuture<CallResponse>> responses = new ConcurrentHashMap<>();

    /**
     * A call and how it is dispatched.
     *
     * @param call the call
     * @param cost tokens that the account is charged
     * @param repeatable true when a second execution does no harm
     * @param settings what the release note says about keyed calls
     * @param upstream asks the upstream about a key
     * @param dispatch runs the attempts
     */
    record Job(
            CallContext call,
            long cost,
            boolean repeatable,
            KeyedCallSettings settings,
            Function<String, KeyStatus> upstream,
            Supplier<CallResponse> dispatch) {}

    /**
     * Creates the service.
     *
     * @param catalog services of the release in force
     * @param inFlight open calls
     * @param gate admission
     * @param keyed claims of idempotency keys
     * @param completions attempts of completions
     * @param plainCalls attempts of plain calls
     * @param levels service-level burn
     * @param nowMillis monotonic clock, in milliseconds
     */
    public CallService(
            ServiceCatalog catalog,
            InFlightTable inFlight,
            AdmissionGate gate,
            KeyedCallRunner keyed,
            CompletionRunner completions,
            PlainCallRunner plainCalls,
            ServiceLevelRegistry levels,
            LongSupplier nowMillis) {
        this.catalog = catalog;
        this.inFlight = inFlight;
        this.gate = gate;
        this.keyed = keyed;
        this.completions = completions;
        this.plainCalls = plainCalls;
        this.levels = levels;
        this.nowMillis = nowMillis;
    }

    @Override
    public CallResponse complete(CallContext call, CompletionBody completion, TokenSink caller) {
        Optional<CallResponse> unknown = catalog.check(call.service(), ServiceSpec.ModelService.class);
        if (unknown.isPresent()) {
            return unknown.get();
        }
        boolean repeatable = call.key().isEmpty() && !call.nonIdempotent().orElse(false);
        return serve(new Job(
                call,
                cost(completion.prompt(), completion.maxTokens()),
                repeatable,
                COMPLETION_KEY_SETTINGS,
                key -> new KeyStatus.Unavailable(),
                () -> dispatch(call, completion, caller, repeatable)));
    }

    @Override
    public CallResponse call(CallContext call, PlainCall plain) {
        Optional<CallResponse> unknown = catalog.check(call.service(), ServiceSpec.PlainService.class);
        if (unknown.isPresent()) {
            return unknown.get();
        }
        ServiceSpec.PlainService spec = catalog.plainService(call.service());
        boolean nonIdempotent = call.nonIdempotent().orElse(!plain.method().equals("GET") && spec.nonIdempotent());
        boolean repeatable = call.key().isEmpty() && !nonIdempotent;
        return serve(new Job(
                call,
                1,
                repeatable,
                KeyedCallSettings.of(spec),
                key -> keyed.queryUpstream(spec, key),
                () -> dispatch(call, plain, spec, repeatable)));
    }

    private CallResponse serve(Job job) {
        ServiceLevelMetrics metrics = levels.of(job.call().service(), job.call().account());
        CallResponse response = new CallResponse.Failed(ErrorKind.INTERNAL, "internal error", OptionalLong.empty());
        try {
            response = open(job);
        } finally {
            if (response instanceof CallResponse.Failed failed) {
                metrics.recordError(failed.kind());
            } else {
                metrics.recordCompleted(nowMillis.getAsLong() - job.call().arrivedMillis());
            }
        }
        return withRetryAfter(job, response);
    }

    /** Opens the call, or joins it to the open call with the same key. */
    private CallResponse open(Job job) {
        RequestId request = job.call().request();
        CompletableFuture<CallResponse> ownResponse = new CompletableFuture<>();
        while (true) {
            if (responses.putIfAbsent(request, ownResponse) != null) {
                return failed(ErrorKind.BAD_HEADER, "the request id is in use by an open call");
            }
            InFlightTable.OpenResult result = inFlight.open(openCall(job.call()));
            if (result instanceof InFlightTable.OpenResult.Opened) {
                return runOpened(job, ownResponse);
            }
            responses.remove(request, ownResponse);
            switch (result) {
                case InFlightTable.OpenResult.Joined(RequestId holder) -> {
                    Optional<CallResponse> joined = join(job, holder);
                    if (joined.isPresent()) {
                        return joined.get();
                    }
                }
                case InFlightTable.OpenResult.KeyReused ignored -> {
                    return failed(ErrorKind.KEY_REUSED, "an open call uses the key with another body");
                }
                case InFlightTable.OpenResult.IdInUse ignored -> {
                    return failed(ErrorKind.BAD_HEADER, "the request id is in use by an open call");
                }
                case InFlightTable.OpenResult.Stopping ignored -> {
                    return failed(ErrorKind.SHUTTING_DOWN, "the daemon is shutting down");
                }
                case InFlightTable.OpenResult.Opened ignored ->
                    throw new IllegalStateException("an opened call was handled above");
            }
        }
    }

    private CallResponse runOpened(Job job, CompletableFuture<CallResponse> ownResponse) {
        RequestId request = job.call().request();
        CallResponse response = failed(ErrorKind.INTERNAL, "internal error");
        try {
            response = admit(job);
            return response;
        } finally {
            ownResponse.complete(response);
            inFlight.close(request);
            responses.remove(request, ownResponse);
        }
    }

    /** Waits for the answer of the call that holds the key; empty when that call has just ended. */
    private Optional<CallResponse> join(Job job, RequestId holder) {
        CompletableFuture<CallResponse> response = responses.get(holder);
        try {
            if (response == null) {
                return Optional.empty();
            }
            long remaining = Math.max(1, job.call().deadlineMillis() - nowMillis.getAsLong());
            return Optional.of(response.get(remaining, TimeUnit.MILLISECONDS));
        } catch (TimeoutException e) {
            return Optional.of(failed(ErrorKind.CLAIMED_ELSEWHERE, "the first call with this key is still running"));
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException("the wait for the first call with this key was ended", e);
        } finally {
            inFlight.cancel(job.call().request());
        }
    }

    private CallResponse admit(Job job) {
        CallContext call = job.call();
        catalog.applyShares();
        try {
            Optional<AdmissionDecision.Refuse> refusal = gate.enter(new AdmissionCall(
                    call.request(), call.account(), call.priority(), job.cost(), call.deadlineMillis()));
            if (refusal.isPresent()) {
                return refusal(refusal.get());
            }
            if (call.key().isEmpty()) {
                return job.dispatch().get();
            }
            return keyed.run(job);
        } finally {
            gate.leave(call.request());
        }
    }

    private CallResponse dispatch(CallContext call, CompletionBody completion, TokenSink caller, boolean repeatable) {
        ForwardedCompletion forwarded = new ForwardedCompletion(
                call.request(),
                call.service(),
                call.account(),
                call.fingerprint(),
                completion.prompt(),
                completion.maxTokens(),
                0,
                call.priority(),
                repeatable);
        boolean keyedCall = call.key().isPresent();
        RequestLifecycle run = new RequestLifecycle(call.request(), repeatable, call.deadlineMillis());
        StreamSequence sequence = new StreamSequence();
        TokenDelivery delivery = new TokenDelivery(
                run,
                sequence,
                caller,
                new TokenDelivery.Options(!completion.stream() || keyedCall, !keyedCall),
                Optional.of(levels.of(call.service(), call.account())),
                call.arrivedMillis(),
                nowMillis);
        CompletionTask task =
                new CompletionTask(forwarded, call.deadlineMillis(), Optional.empty(), run, sequence, delivery);
        Outcome outcome = completions.run(task);
        return outcome instanceof Outcome.Ran
                ? new CallResponse.Completed(sequence.nextIndex(), task.finishReason(), delivery.collectedTokens())
                : failure(outcome, task.retryAfterMillis());
    }

    private CallResponse dispatch(
            CallContext call, PlainCall plain, ServiceSpec.PlainService spec, boolean repeatable) {
        PlainCallRunner.Result result = plainCalls.run(call, plain, spec, repeatable);
        return result.response().isPresent() && result.outcome() instanceof Outcome.Ran
                ? new CallResponse.Body(
                        result.response().get().status(),
                        result.response().get().contentType(),
                        result.response().get().body())
                : failure(result.outcome(), OptionalLong.empty());
    }

    private static CallResponse failure(Outcome outcome, OptionalLong retryAfterMillis) {
        return switch (outcome) {
            case Outcome.NotRun(ErrorKind kind, String detail) ->
                new CallResponse.Failed(kind, detail, retryAfterMillis);
            case Outcome.RanWithError(ErrorKind kind, String detail) ->
                new CallResponse.Failed(kind, detail, retryAfterMillis);
            case Outcome.MayHaveRun(ErrorKind kind, String detail) ->
                new CallResponse.Failed(kind, detail, retryAfterMillis);
            case Outcome.Ran ignored -> throw new IllegalStateException("a request that ran has an answer");
        };
    }

    private static CallResponse refusal(AdmissionDecision.Refuse refuse) {
        OptionalLong retryAfterMillis =
                refuse.retryAfterMillis() > 0 ? OptionalLong.of(refuse.retryAfterMillis()) : OptionalLong.empty();
        return new CallResponse.Failed(refuse.kind(), "the call was not admitted", retryAfterMillis);
    }

    /** Adds the time to come back where the error kind has one and the call did not set it. */
    private CallResponse withRetryAfter(Job job, CallResponse response) {
        if (!(response instanceof CallResponse.Failed(ErrorKind kind, String detail, OptionalLong requested))) {
            return response;
        }
        boolean repeatable = job.repeatable() || job.call().key().isPresent();
        boolean retryAdvised = kind.retryAdvice() == RetryAdvice.ALWAYS
                || (kind.retryAdvice() == RetryAdvice.IF_REPEATABLE && repeatable);
        if (!retryAdvised) {
            return new CallResponse.Failed(kind, detail, OptionalLong.empty());
        }
        return requested.isPresent()
                ? response
                : new CallResponse.Failed(
                        kind,
                        detail,
                        OptionalLong.of(gate.retryAfterMillis(job.call().request())));
    }

    private static CallResponse failed(ErrorKind kind, String detail) {
        return new CallResponse.Failed(kind, detail, OptionalLong.empty());
    }

    private static InFlightTable.OpenCall openCall(CallContext call) {
        Optional<String> objectName =
                call.key().map(key -> KeyedCallRunner.keyedCall(call, key)).map(KeyedCall::objectName);
        return new InFlightTable.OpenCall(
                call.request(), call.account(), call.service(), objectName, call.fingerprint(), call.arrivedMillis());
    }

    private static long cost(String prompt, int maxTokens) {
        return 1L + prompt.length() / CHARACTERS_PER_TOKEN + maxTokens;
    }
}
