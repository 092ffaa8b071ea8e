package io.sesamehead.proof.calls;

import io.sesamehead.coordination.order.ClaimRead;
import io.sesamehead.coordination.order.ClaimTicket;
import io.sesamehead.coordination.order.KeyStatus;
import io.sesamehead.coordination.order.KeyedCall;
import io.sesamehead.coordination.order.ClaimDecision;
import io.sesamehead.coordination.order.ClaimPlanner;
import io.sesamehead.coordination.order.KeyedCallSettings;
import io.sesamehead.coordination.order.ResultDecision;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.IdempotencyRecord;
import io.sesamehead.state.Outcome;
import io.sesamehead.state.RunState;
import java.util.Optional;
import java.util.function.Consumer;

/** Claim, dispatch and record of one keyed call, by the decisions of {@link ClaimPlanner}. */
final class KeyedCallHandler {
    private static final int MAX_RECORD_STEPS = 20;
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final int DISPATCH_DELAY_SPREAD_MILLIS = 4;

    private final SimulatedDaemon daemon;
    private final Call call;
    private final long deadlineMillis;
    private final Consumer<CallResponse> onEnd;
    private final ClaimPlanner claimPlanner;
    private final KeyedCallSettings settings;
    private final ClaimTicket ticket;
    private Optional<AttemptDispatcher> dispatch = Optional.empty();
    private Optional<CallResponse> pending = Optional.empty();
    private boolean finished;

    KeyedCallHandler(SimulatedDaemon daemon, Call call, long deadlineMillis, Consumer<CallResponse> onEnd) {
        this.daemon = daemon;
        this.call = call;
        this.deadlineMillis = deadlineMillis;
        this.onEnd = onEnd;
        this.claimPlanner = daemon.tables().claimPlanner;
        this.settings = call.operation().service().keyedCallSettings();
        this.ticket = new ClaimTicket(keyedCall(call), daemon.tables().nextToken());
    }

    static KeyedCall keyedCall(Call call) {
        Operation operation = call.operation();
        return new KeyedCall(
                call.request(),
                operation.service().name(),
                Operation.ACCOUNT,
                operation.key().orElseThrow(),
                operation.fingerprint());
    }

    void start() {
        if (!daemon.enabled(Mechanism.CLAIM_BEFORE_DISPATCH)) {
            dispatch(Optional.empty());
            return;
        }
        daemon.storeClient()
                .readClaim(
                        ticket.call().objectName(),
                        read -> apply(claimPlanner.onRead(ticket, read, Optional.empty(), settings)));
    }

    /** Answers now, at the deadline or at the exit of the daemon. */
    void close(ErrorKind beforeDispatch, ErrorKind duringRun) {
        if (finished) {
            return;
        }
        if (pending.isPresent()) {
            finish(pending.get());
        } else if (dispatch.isPresent()) {
            dispatch.get().close(duringRun);
            pending.ifPresent(this::finish);
        } else if (ticket.withdraw()) {
            releaseClaim(0);
            finish(CallResponse.error(beforeDispatch));
        } else {
            finish(CallResponse.error(ErrorKind.CLAIMED_ELSEWHERE));
        }
    }

    private void apply(ClaimDecision decision) {
        if (finished) {
            return;
        }
        switch (decision) {
            case ClaimDecision.WriteClaim create -> writeClaim(create);
            case ClaimDecision.ReadBack(String name) ->
                daemon.storeClient().readClaim(name, read -> apply(claimPlanner.onReadBack(ticket, read, settings)));
            case ClaimDecision.Dispatch claimed -> scheduleDispatch(Optional.of(claimed));
            case ClaimDecision.DispatchWithoutClaim ignored -> scheduleDispatch(Optional.empty());
            case ClaimDecision.ReplayResult(IdempotencyRecord.Result result) -> finish(decode(result));
            case ClaimDecision.QueryUpstream ask ->
                daemon.queryKeyStatus(
                        call.operation().service(), ask.key(), answer -> apply(claimPlanner.onKeyStatus(answer)));
            case ClaimDecision.JoinInFlight ignored -> finish(CallResponse.error(ErrorKind.CLAIMED_ELSEWHERE));
            case ClaimDecision.AnswerClaimedElsewhere ignored -> finish(CallResponse.error(ErrorKind.CLAIMED_ELSEWHERE));
            case ClaimDecision.AnswerKeyReused ignored -> finish(CallResponse.error(ErrorKind.KEY_REUSED));
            case ClaimDecision.AnswerStoreUnavailable ignored -> {
                releaseClaim(0);
                finish(CallResponse.error(ErrorKind.STORE_UNAVAILABLE));
            }
        }
    }

    private void writeClaim(ClaimDecision.WriteClaim create) {
        daemon.storeClient()
                .writeClaim(
                        create.objectName(),
                        create.expectedVersion(),
                        create.claim(),
                        result -> apply(claimPlanner.onClaimWritten(ticket, create, result, settings)));
    }

    /** A kill or a freeze can fall between the decision and the dispatch. */
    private void scheduleDispatch(Optional<ClaimDecision.Dispatch> claimed) {
        daemon.mayInjectProcessFault();
        daemon.process().after(daemon.random().nextInt(DISPATCH_DELAY_SPREAD_MILLIS), () -> dispatch(claimed));
    }

    private void dispatch(Optional<ClaimDecision.Dispatch> claimed) {
        if (finished) {
            return;
        }
        AttemptDispatcher started = new AttemptDispatcher(daemon, call, deadlineMillis, reply -> onDispatchFinished(claimed, reply));
        dispatch = Optional.of(started);
        started.start();
    }

    private void onDispatchFinished(Optional<ClaimDecision.Dispatch> claimed, CallResponse reply) {
        pending = Optional.of(reply);
        Optional<ResultDecision> record = claimed.map(
                claim -> claimPlanner.recordResult(claim, encode(reply), daemon.tables().nextToken()));
        if (record.isPresent() && record.get() instanceof ResultDecision.Write write) {
            daemon.mayInjectProcessFault();
            daemon.process().after(0, () -> recordResult(write, 0));
        } else {
            finish(reply);
        }
    }

    private void recordResult(ResultDecision decision, int steps) {
        if (steps == MAX_RECORD_STEPS) {
            return;
        }
        switch (decision) {
            case ResultDecision.Write write ->
                daemon.storeClient()
                        .writeClaim(write.objectName(), Optional.of(write.version()), write.record(), result -> {
                            pending.ifPresent(this::finish);
                            recordResult(claimPlanner.onResultWritten(write, result), steps + 1);
                        });
            case ResultDecision.ReadBack(ResultDecision.Write write) ->
                daemon.process()
                        .after(
                                RETRY_DELAY_MILLIS,
                                () -> daemon.storeClient()
                                        .readClaim(
                                                write.objectName(),
                                                read -> recordResult(claimPlanner.onResultReadBack(write, read), steps + 1)));
            case ResultDecision.RetryLater(ResultDecision.Write write) ->
                daemon.process().after(RETRY_DELAY_MILLIS, () -> recordResult(write, steps + 1));
            case ResultDecision.Recorded ignored -> {}
            case ResultDecision.GiveUp ignored -> {}
        }
    }

    private void releaseClaim(int steps) {
        daemon.storeClient().readClaim(ticket.call().objectName(), read -> {
            if (!(read instanceof ClaimRead.Unavailable)) {
                claimPlanner.releaseUndispatched(ticket, read, 0, daemon.tables().nextToken())
                        .ifPresent(write -> recordResult(write, 0));
            } else if (steps < MAX_RECORD_STEPS) {
                daemon.process().after(RETRY_DELAY_MILLIS, () -> releaseClaim(steps + 1));
            }
        });
    }

    private void finish(CallResponse reply) {
        if (!finished) {
            finished = true;
            onEnd.accept(reply);
        }
    }

    /** The state of a stream is not recorded: keyed operations of this model are plain calls. */
    private static IdempotencyRecord.Result encode(CallResponse reply) {
        String kind = "";
        for (ErrorKind candidate : ErrorKind.values()) {
            kind = reply.hasKind(candidate) ? candidate.name() : kind;
        }
        return new IdempotencyRecord.Result(reply.runState(), 0, kind, reply.body(), 0);
    }

    private static CallResponse decode(IdempotencyRecord.Result result) {
        return result.contentType().isEmpty()
                ? new CallResponse(new Outcome.Ran(), result.body())
                : CallResponse.error(ErrorKind.valueOf(result.contentType()));
    }

    static KeyStatus keyStatus(Optional<String> answer) {
        return answer.<KeyStatus>map(body -> new KeyStatus.Done(new IdempotencyRecord.Result(RunState.RAN, 0, "", body, 0)))
                .orElse(new KeyStatus.UnknownKey());
    }
}
