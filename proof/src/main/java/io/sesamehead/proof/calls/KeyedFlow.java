package io.sesamehead.proof.calls;

import io.sesamehead.coordination.order.ClaimDecision;
import io.sesamehead.coordination.order.ClaimPlanner;
import io.sesamehead.coordination.order.ClaimRead;
import io.sesamehead.coordination.order.ClaimTicket;
import io.sesamehead.coordination.order.KeyStatus;
import io.sesamehead.coordination.order.KeyedCall;
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
final class KeyedFlow {
    private static final int MAX_RECORD_STEPS = 20;
    private static final long RETRY_MILLIS = 200;
    private static final int DISPATCH_GAP_MILLIS = 4;

    private final CallsDaemon daemon;
    private final Call call;
    private final long deadlineMillis;
    private final Consumer<Reply> onEnd;
    private final ClaimPlanner ledger;
    private final KeyedCallSettings settings;
    private final ClaimTicket ticket;
    private Optional<Dispatch> dispatch = Optional.empty();
    private Optional<Reply> pending = Optional.empty();
    private boolean over;

    KeyedFlow(CallsDaemon daemon, Call call, long deadlineMillis, Consumer<Reply> onEnd) {
        this.daemon = daemon;
        this.call = call;
        this.deadlineMillis = deadlineMillis;
        this.onEnd = onEnd;
        this.ledger = daemon.tables().orders;
        this.settings = call.operation().service().orders();
        this.ticket = new ClaimTicket(orderCall(call), daemon.tables().nextToken());
    }

    static KeyedCall orderCall(Call call) {
        Operation operation = call.operation();
        return new KeyedCall(
                call.request(),
                operation.service().name(),
                Operation.ACCOUNT,
                operation.key().orElseThrow(),
                operation.fingerprint());
    }

    void start() {
        if (!daemon.uses(Mechanism.CLAIM_BEFORE_DISPATCH)) {
            dispatch(Optional.empty());
            return;
        }
        daemon.storePort()
                .readClaim(
                        ticket.call().objectName(),
                        read -> follow(ledger.onRead(ticket, read, Optional.empty(), settings)));
    }

    /** Answers now, at the deadline or at the exit of the daemon. */
    void close(ErrorKind beforeDispatch, ErrorKind duringRun) {
        if (over) {
            return;
        }
        if (pending.isPresent()) {
            end(pending.get());
        } else if (dispatch.isPresent()) {
            dispatch.get().close(duringRun);
            pending.ifPresent(this::end);
        } else if (ticket.withdraw()) {
            releaseLater(0);
            end(Reply.error(beforeDispatch));
        } else {
            end(Reply.error(ErrorKind.CLAIMED_ELSEWHERE));
        }
    }

    private void follow(ClaimDecision decision) {
        if (over) {
            return;
        }
        switch (decision) {
            case ClaimDecision.WriteClaim create -> claim(create);
            case ClaimDecision.ReadBack(String name) ->
                daemon.storePort().readClaim(name, read -> follow(ledger.onReadBack(ticket, read, settings)));
            case ClaimDecision.Dispatch claimed -> dispatchSoon(Optional.of(claimed));
            case ClaimDecision.DispatchWithoutClaim ignored -> dispatchSoon(Optional.empty());
            case ClaimDecision.ReplayResult(IdempotencyRecord.Result result) -> end(decode(result));
            case ClaimDecision.QueryUpstream ask ->
                daemon.askByKey(call.operation().service(), ask.key(), answer -> follow(ledger.onKeyStatus(answer)));
            case ClaimDecision.JoinInFlight ignored -> end(Reply.error(ErrorKind.CLAIMED_ELSEWHERE));
            case ClaimDecision.AnswerClaimedElsewhere ignored -> end(Reply.error(ErrorKind.CLAIMED_ELSEWHERE));
            case ClaimDecision.AnswerKeyReused ignored -> end(Reply.error(ErrorKind.KEY_REUSED));
            case ClaimDecision.AnswerStoreUnavailable ignored -> {
                releaseLater(0);
                end(Reply.error(ErrorKind.STORE_UNAVAILABLE));
            }
        }
    }

    private void claim(ClaimDecision.WriteClaim create) {
        daemon.storePort()
                .writeClaim(
                        create.objectName(),
                        create.expectedVersion(),
                        create.claim(),
                        result -> follow(ledger.onClaimWritten(ticket, create, result, settings)));
    }

    /** A kill or a freeze can fall between the decision and the dispatch. */
    private void dispatchSoon(Optional<ClaimDecision.Dispatch> claimed) {
        daemon.mayBeStruck();
        daemon.process().after(daemon.random().nextInt(DISPATCH_GAP_MILLIS), () -> dispatch(claimed));
    }

    private void dispatch(Optional<ClaimDecision.Dispatch> claimed) {
        if (over) {
            return;
        }
        Dispatch started = new Dispatch(daemon, call, deadlineMillis, reply -> dispatched(claimed, reply));
        dispatch = Optional.of(started);
        started.start();
    }

    private void dispatched(Optional<ClaimDecision.Dispatch> claimed, Reply reply) {
        pending = Optional.of(reply);
        Optional<ResultDecision> record = claimed.map(claim ->
                ledger.recordResult(claim, encode(reply), daemon.tables().nextToken()));
        if (record.isPresent() && record.get() instanceof ResultDecision.Write write) {
            daemon.mayBeStruck();
            daemon.process().after(0, () -> record(write, 0));
        } else {
            end(reply);
        }
    }

    private void record(ResultDecision decision, int steps) {
        if (steps == MAX_RECORD_STEPS) {
            return;
        }
        switch (decision) {
            case ResultDecision.Write write ->
                daemon.storePort()
                        .writeClaim(write.objectName(), Optional.of(write.version()), write.record(), result -> {
                            pending.ifPresent(this::end);
                            record(ledger.onResultWritten(write, result), steps + 1);
                        });
            case ResultDecision.ReadBack(ResultDecision.Write write) ->
                daemon.process()
                        .after(
                                RETRY_MILLIS,
                                () -> daemon.storePort()
                                        .readClaim(
                                                write.objectName(),
                                                read -> record(ledger.onResultReadBack(write, read), steps + 1)));
            case ResultDecision.RetryLater(ResultDecision.Write write) ->
                daemon.process().after(RETRY_MILLIS, () -> record(write, steps + 1));
            case ResultDecision.Recorded ignored -> {}
            case ResultDecision.GiveUp ignored -> {}
        }
    }

    private void releaseLater(int steps) {
        daemon.storePort().readClaim(ticket.call().objectName(), read -> {
            if (!(read instanceof ClaimRead.Unavailable)) {
                ledger.releaseUndispatched(ticket, read, 0, daemon.tables().nextToken())
                        .ifPresent(write -> record(write, 0));
            } else if (steps < MAX_RECORD_STEPS) {
                daemon.process().after(RETRY_MILLIS, () -> releaseLater(steps + 1));
            }
        });
    }

    private void end(Reply reply) {
        if (!over) {
            over = true;
            onEnd.accept(reply);
        }
    }

    /** The state of a stream is not recorded: keyed operations of this model are plain calls. */
    private static IdempotencyRecord.Result encode(Reply reply) {
        String kind = "";
        for (ErrorKind candidate : ErrorKind.values()) {
            kind = reply.hasKind(candidate) ? candidate.name() : kind;
        }
        return new IdempotencyRecord.Result(reply.runState(), 0, kind, reply.body(), 0);
    }

    private static Reply decode(IdempotencyRecord.Result result) {
        return result.contentType().isEmpty()
                ? new Reply(new Outcome.Ran(), result.body())
                : Reply.error(ErrorKind.valueOf(result.contentType()));
    }

    static KeyStatus known(Optional<String> answer) {
        return answer.<KeyStatus>map(
                        body -> new KeyStatus.Done(new IdempotencyRecord.Result(RunState.RAN, 0, "", body, 0)))
                .orElse(new KeyStatus.UnknownKey());
    }
}
