package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.order.ClaimDecision;
import io.sesamehead.coordination.order.ClaimTicket;
import io.sesamehead.coordination.order.KeyStatus;
import io.sesamehead.coordination.order.KeyedCall;
import io.sesamehead.daemon.transport.CallContext;
import io.sesamehead.daemon.transport.CallResponse;
import io.sesamehead.daemon.transport.KeyQueryResult;
import io.sesamehead.daemon.transport.ServiceClient;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.IdempotencyRecord;
import io.sesamehead.state.RunState;
import io.sesamehead.state.ServiceSpec;
import io.sesamehead.state.WriteToken;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.tinylog.Logger;

/** Calls that carry an idempotency key: claim, dispatch at most once, record, replay. */
public final class KeyedCallRunner {
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);
    private static final String JSON = "application/json";

    private final ClaimExecutor claimExecutor;
    private final ServiceClient services;
    private final Supplier<WriteToken> tokens;
    private final LongSupplier epochMillis;

    /**
     * Creates the flow of keyed calls.
     *
     * @param claimExecutor claims and records
     * @param services client of the plain services
     * @param tokens tokens of this process's writes
     * @param epochMillis wall clock, in milliseconds since 1970
     */
    public KeyedCallRunner(
            ClaimExecutor claimExecutor,
            ServiceClient services,
            Supplier<WriteToken> tokens,
            LongSupplier epochMillis) {
        this.claimExecutor = claimExecutor;
        this.services = services;
        this.tokens = tokens;
        this.epochMillis = epochMillis;
    }

    static KeyedCall keyedCall(CallContext call, String key) {
        return new KeyedCall(call.request(), call.service(), call.account(), key, call.fingerprint());
    }

    CallResponse run(CallService.Job job) {
        CallContext call = job.call();
        ClaimTicket ticket = new ClaimTicket(keyedCall(call, call.key().orElseThrow()), tokens.get());
        Optional<ClaimDecision> decision =
                claimExecutor.claim(ticket, job.settings(), job.upstream(), call.deadlineMillis());
        return decision.isPresent() ? applyDecision(job, ticket, decision.get()) : withdrawClaim(ticket);
    }

    /** Asks the addresses of a service about a key until one knows it. */
    KeyStatus queryUpstream(ServiceSpec.PlainService spec, String key) {
        KeyStatus last = new KeyStatus.Unavailable();
        for (ServiceSpec.ServiceAddress address : spec.addresses()) {
            switch (services.queryKey(address.address(), key, QUERY_TIMEOUT)) {
                case KeyQueryResult.Done(int status, String body) -> {
                    return new KeyStatus.Done(
                            new IdempotencyRecord.Result(RunState.RAN, status, JSON, body, epochMillis.getAsLong()));
                }
                case KeyQueryResult.Running ignored -> {
                    return new KeyStatus.Running();
                }
                case KeyQueryResult.UnknownKey ignored -> last = new KeyStatus.UnknownKey();
                case KeyQueryResult.NoResponse(String detail) ->
                    Logger.debug("order: {} does not answer: {}", address, detail);
            }
        }
        return last;
    }

    private CallResponse applyDecision(CallService.Job job, ClaimTicket ticket, ClaimDecision decision) {
        return switch (decision) {
            case ClaimDecision.Dispatch dispatch -> dispatchAndRecord(job, dispatch);
            case ClaimDecision.DispatchWithoutClaim ignored -> job.dispatch().get();
            case ClaimDecision.ReplayResult(IdempotencyRecord.Result result) -> RecordedResponseCodec.decode(result);
            case ClaimDecision.AnswerKeyReused ignored ->
                failed(ErrorKind.KEY_REUSED, "the key was used with another body");
            case ClaimDecision.AnswerStoreUnavailable ignored -> {
                claimExecutor.releaseLater(ticket);
                yield failed(ErrorKind.STORE_UNAVAILABLE, "the platform's object API does not answer");
            }
            case ClaimDecision.AnswerClaimedElsewhere ignored ->
                failed(ErrorKind.CLAIMED_ELSEWHERE, "the key is claimed and its result is not known");
            case ClaimDecision.JoinInFlight ignored ->
                failed(ErrorKind.CLAIMED_ELSEWHERE, "the first call with this key is still running");
            case ClaimDecision.WriteClaim ignored -> withdrawClaim(ticket);
            case ClaimDecision.ReadBack ignored -> withdrawClaim(ticket);
            case ClaimDecision.QueryUpstream ignored -> withdrawClaim(ticket);
        };
    }

    private CallResponse dispatchAndRecord(CallService.Job job, ClaimDecision.Dispatch dispatch) {
        CallResponse response = job.dispatch().get();
        Optional<IdempotencyRecord.Result> result = RecordedResponseCodec.encode(response, epochMillis.getAsLong());
        if (result.isEmpty()) {
            Logger.warn(
                    "order: the answer of request {} cannot be recorded; its key stays claimed",
                    job.call().request());
        }
        result.ifPresent(present -> claimExecutor.record(dispatch, present));
        return response;
    }

    private CallResponse withdrawClaim(ClaimTicket ticket) {
        if (!ticket.withdraw()) {
            return failed(ErrorKind.CLAIMED_ELSEWHERE, "the key is claimed and its result is not known");
        }
        claimExecutor.releaseLater(ticket);
        return failed(ErrorKind.DEADLINE_BEFORE_RUN, "the deadline passed before the key was claimed");
    }

    private static CallResponse failed(ErrorKind kind, String detail) {
        return new CallResponse.Failed(kind, detail, OptionalLong.empty());
    }
}
