package io.sesamehead.proof.calls;

import io.sesamehead.coordination.admission.AdmissionCall;
import io.sesamehead.coordination.admission.AdmissionDecision;
import io.sesamehead.coordination.order.KeyedCall;
import io.sesamehead.coordination.request.InFlightTable;
import io.sesamehead.coordination.request.InFlightTable.OpenResult;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.RequestId;
import java.util.Optional;

/** One call within a daemon: open, admission, claim of its key, attempts, answer. */
final class CallFlow {
    private static final int PRIORITY = 5;

    private final CallsDaemon daemon;
    private final Call call;
    private final long deadlineMillis;
    private Optional<KeyedFlow> keyed = Optional.empty();
    private Optional<Dispatch> dispatch = Optional.empty();
    private boolean joined;
    private boolean over;

    CallFlow(CallsDaemon daemon, Call call) {
        this.daemon = daemon;
        this.call = call;
        this.deadlineMillis = daemon.process().nowMillis() + call.deadlineMillis();
    }

    Call call() {
        return call;
    }

    boolean streaming() {
        return dispatch.isPresent() && dispatch.get().streaming();
    }

    /** Opens the call; it is answered at once, waits, or runs. */
    void open() {
        switch (daemon.tables().inFlight.open(openCall())) {
            case OpenResult.Opened ignored -> opened();
            case OpenResult.Joined ignored -> join();
            case OpenResult.KeyReused ignored -> call.reply(Reply.error(ErrorKind.KEY_REUSED));
            case OpenResult.IdInUse ignored -> call.reply(Reply.error(ErrorKind.BAD_HEADER));
            case OpenResult.Stopping ignored -> call.reply(Reply.error(ErrorKind.SHUTTING_DOWN));
        }
    }

    /** Starts the call once it is admitted. */
    void run() {
        if (over) {
            return;
        }
        if (call.operation().key().isPresent()) {
            KeyedFlow flow = new KeyedFlow(daemon, call, deadlineMillis, this::end);
            keyed = Optional.of(flow);
            flow.start();
        } else {
            Dispatch started = new Dispatch(daemon, call, deadlineMillis, this::end);
            dispatch = Optional.of(started);
            started.start();
        }
    }

    /** Ends the call with an answer. */
    void end(Reply reply) {
        if (over) {
            return;
        }
        over = true;
        call.reply(reply);
        if (!joined) {
            daemon.ended(call.request(), reply);
        }
    }

    /** Ends the call because the daemon exits. */
    void interrupt() {
        close(ErrorKind.SHUTTING_DOWN, ErrorKind.SHUTTING_DOWN);
    }

    private void opened() {
        daemon.opened(this);
        daemon.process().after(call.deadlineMillis(), this::deadline);
        AdmissionCall offered = new AdmissionCall(call.request(), Operation.ACCOUNT, PRIORITY, 1, deadlineMillis);
        switch (daemon.tables().admission.offer(offered, daemon.process().nowMillis())) {
            case AdmissionDecision.Admit ignored -> run();
            case AdmissionDecision.Queue(long ignored, Optional<AdmissionDecision.Refusal> displaced) ->
                displaced.ifPresent(daemon::refused);
            case AdmissionDecision.Refuse refuse -> end(Reply.error(refuse.kind()));
        }
    }

    private void join() {
        joined = true;
        daemon.joined(this);
        daemon.process().after(call.deadlineMillis(), () -> {
            if (!over) {
                daemon.tables().inFlight.cancel(call.request());
                end(Reply.error(ErrorKind.CLAIMED_ELSEWHERE));
            }
        });
    }

    private void deadline() {
        close(ErrorKind.DEADLINE_BEFORE_RUN, ErrorKind.DEADLINE_DURING_RUN);
    }

    private void close(ErrorKind beforeDispatch, ErrorKind duringRun) {
        if (over) {
            return;
        }
        if (keyed.isPresent()) {
            keyed.get().close(beforeDispatch, duringRun);
        } else if (dispatch.isPresent()) {
            dispatch.get().close(duringRun);
        } else {
            end(Reply.error(beforeDispatch));
        }
    }

    private InFlightTable.OpenCall openCall() {
        Operation operation = call.operation();
        RequestId request = call.request();
        Optional<String> name =
                operation.key().map(ignored -> KeyedFlow.orderCall(call)).map(KeyedCall::objectName);
        return new InFlightTable.OpenCall(
                request,
                Operation.ACCOUNT,
                operation.service().name(),
                name,
                operation.fingerprint(),
                daemon.process().nowMillis());
    }
}
