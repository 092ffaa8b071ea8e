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
final class CallHandler {
    private static final int PRIORITY = 5;

    private final SimulatedDaemon daemon;
    private final Call call;
    private final long deadlineMillis;
    private Optional<KeyedCallHandler> keyedHandler = Optional.empty();
    private Optional<AttemptDispatcher> dispatcher = Optional.empty();
    private boolean joined;
    private boolean finished;

    CallHandler(SimulatedDaemon daemon, Call call) {
        this.daemon = daemon;
        this.call = call;
        this.deadlineMillis = daemon.process().nowMillis() + call.deadlineMillis();
    }

    Call call() {
        return call;
    }

    boolean streaming() {
        return dispatcher.isPresent() && dispatcher.get().streaming();
    }

    /** Opens the call; it is answered at once, waits, or runs. */
    void open() {
        switch (daemon.tables().inFlight.open(openCall())) {
            case OpenResult.Opened ignored -> onOpened();
            case OpenResult.Joined ignored -> join();
            case OpenResult.KeyReused ignored -> call.response(CallResponse.error(ErrorKind.KEY_REUSED));
            case OpenResult.IdInUse ignored -> call.response(CallResponse.error(ErrorKind.BAD_HEADER));
            case OpenResult.Stopping ignored -> call.response(CallResponse.error(ErrorKind.SHUTTING_DOWN));
        }
    }

    /** Starts the call once it is admitted. */
    void run() {
        if (finished) {
            return;
        }
        if (call.operation().key().isPresent()) {
            KeyedCallHandler flow = new KeyedCallHandler(daemon, call, deadlineMillis, this::finish);
            keyedHandler = Optional.of(flow);
            flow.start();
        } else {
            AttemptDispatcher started = new AttemptDispatcher(daemon, call, deadlineMillis, this::finish);
            dispatcher = Optional.of(started);
            started.start();
        }
    }

    /** Ends the call with an answer. */
    void finish(CallResponse reply) {
        if (finished) {
            return;
        }
        finished = true;
        call.response(reply);
        if (!joined) {
            daemon.callFinished(call.request(), reply);
        }
    }

    /** Ends the call because the daemon exits. */
    void interrupt() {
        close(ErrorKind.SHUTTING_DOWN, ErrorKind.SHUTTING_DOWN);
    }

    private void onOpened() {
        daemon.callOpened(this);
        daemon.process().after(call.deadlineMillis(), this::onDeadline);
        AdmissionCall offered = new AdmissionCall(call.request(), Operation.ACCOUNT, PRIORITY, 1, deadlineMillis);
        switch (daemon.tables().admission.offer(offered, daemon.process().nowMillis())) {
            case AdmissionDecision.Admit ignored -> run();
            case AdmissionDecision.Queue(long ignored, Optional<AdmissionDecision.Refusal> displaced) ->
                displaced.ifPresent(daemon::callRefused);
            case AdmissionDecision.Refuse refuse -> finish(CallResponse.error(refuse.kind()));
        }
    }

    private void join() {
        joined = true;
        daemon.callJoined(this);
        daemon.process().after(call.deadlineMillis(), () -> {
            if (!finished) {
                daemon.tables().inFlight.cancel(call.request());
                finish(CallResponse.error(ErrorKind.CLAIMED_ELSEWHERE));
            }
        });
    }

    private void onDeadline() {
        close(ErrorKind.DEADLINE_BEFORE_RUN, ErrorKind.DEADLINE_DURING_RUN);
    }

    private void close(ErrorKind beforeDispatch, ErrorKind duringRun) {
        if (finished) {
            return;
        }
        if (keyedHandler.isPresent()) {
            keyedHandler.get().close(beforeDispatch, duringRun);
        } else if (dispatcher.isPresent()) {
            dispatcher.get().close(duringRun);
        } else {
            finish(CallResponse.error(beforeDispatch));
        }
    }

    private InFlightTable.OpenCall openCall() {
        Operation operation = call.operation();
        RequestId request = call.request();
        Optional<String> name =
                operation.key().map(ignored -> KeyedCallHandler.keyedCall(call)).map(KeyedCall::objectName);
        return new InFlightTable.OpenCall(
                request,
                Operation.ACCOUNT,
                operation.service().name(),
                name,
                operation.fingerprint(),
                daemon.process().nowMillis());
    }
}
