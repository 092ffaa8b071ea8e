package io.sesamehead.proof.calls;

import io.sesamehead.coordination.request.AttemptOutcome;
import io.sesamehead.coordination.request.NextStep;
import io.sesamehead.coordination.request.RequestLifecycle;
import io.sesamehead.coordination.request.RetryBudget;
import io.sesamehead.coordination.request.StreamSequence;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.proof.calls.Frame.Content;
import io.sesamehead.state.AttemptId;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.Outcome;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** The attempts of one call, driven by {@link RequestLifecycle} and {@link StreamSequence}. */
final class AttemptDispatcher {
    /** An attempt without a frame for this long is given up; its frames may still come. */
    private static final long IDLE_TIMEOUT_MILLIS = 200;

    private static final int SEND_DELAY_SPREAD_MILLIS = 3;

    private final SimulatedDaemon daemon;
    private final Call call;
    private final long deadlineMillis;
    private final Consumer<CallResponse> onEnd;
    private final RequestLifecycle lifecycle;
    private final StreamSequence sequence = new StreamSequence();
    private final Set<UpstreamId> tried = new HashSet<>();
    private Optional<ActiveAttempt> activeAttempt = Optional.empty();
    private long lastFrameMillis;
    private boolean finished;

    /** The live attempt. */
    private record ActiveAttempt(AttemptId attempt, Upstream upstream, Connection connection, int channel) {}

    AttemptDispatcher(SimulatedDaemon daemon, Call call, long deadlineMillis, Consumer<CallResponse> onEnd) {
        this.daemon = daemon;
        this.call = call;
        this.deadlineMillis = deadlineMillis;
        this.onEnd = onEnd;
        this.lifecycle = new RequestLifecycle(
                call.request(),
                call.operation().retryable(),
                deadlineMillis,
                daemon.tables().attemptNumbers.reserve());
    }

    void start() {
        daemon.tables().retryBudget(call.operation().service().name()).recordCall(now());
        startAttempt();
    }

    /** Ends the call without a further attempt. */
    void close(ErrorKind kind) {
        if (!finished) {
            closeActiveAttempt();
            finish(lifecycle.close(kind, ""), "");
        }
    }

    boolean streaming() {
        return activeAttempt.isPresent() && sequence.nextIndex() > 0;
    }

    void onConnectionBroken(Connection connection) {
        if (activeAttempt.isPresent() && activeAttempt.get().connection() == connection) {
            endAttempt(new AttemptOutcome.Lost("the connection broke"), "");
        }
    }

    void onFrame(Content content) {
        lastFrameMillis = now();
        switch (content) {
            case Content.Token(int index, String text) -> onToken(index, text);
            case Content.End(int count) -> onStreamEnd(count);
            case Content.Answer(String body) -> endAttempt(new AttemptOutcome.Completed(), body);
            case Content.Refused ignored -> endAttempt(new AttemptOutcome.Refused("refused"), "");
            case Content.Failed ignored -> endAttempt(new AttemptOutcome.Failed("failed"), "");
        }
    }

    private void onToken(int index, String text) {
        StreamSequence.TokenVerdict verdict =
                daemon.enabled(Mechanism.FRAME_MATCHING) ? sequence.accept(index) : StreamSequence.TokenVerdict.DELIVER;
        switch (verdict) {
            case DELIVER -> {
                lifecycle.markDelivered();
                call.addToken(text);
            }
            case GAP -> endAttempt(new AttemptOutcome.Lost("tokens are missing"), "");
            default -> {
                // A duplicate was delivered before.
            }
        }
    }

    private void onStreamEnd(int count) {
        StreamSequence.EndVerdict verdict =
                daemon.enabled(Mechanism.FRAME_MATCHING) ? sequence.end(count) : StreamSequence.EndVerdict.COMPLETE;
        switch (verdict) {
            case COMPLETE -> endAttempt(new AttemptOutcome.Completed(), "");
            case MISSING -> endAttempt(new AttemptOutcome.Lost("the stream ended early"), "");
            default -> close(ErrorKind.STREAM_TORN);
        }
    }

    private void startAttempt() {
        if (finished) {
            return;
        }
        if (now() >= deadlineMillis) {
            close(ErrorKind.DEADLINE_DURING_RUN);
            return;
        }
        Optional<Upstream> chosen = daemon.route(call.operation().service(), tried);
        if (chosen.isEmpty()) {
            close(ErrorKind.NO_GROUP);
            return;
        }
        tried.add(chosen.get().id());
        AttemptId attempt = lifecycle.beginAttempt().orElseThrow();
        Optional<Connection> connection = daemon.connect(chosen.get());
        if (connection.isEmpty()) {
            daemon.tables().router.finish(chosen.get().id(), now());
            apply(lifecycle.endAttempt(attempt, new AttemptOutcome.Lost("not connected"), retryBudget(), now()), "");
            return;
        }
        int channel = daemon.openAttempt(this, attempt, connection.get());
        activeAttempt = Optional.of(new ActiveAttempt(attempt, chosen.get(), connection.get(), channel));
        daemon.process().after(daemon.random().nextInt(SEND_DELAY_SPREAD_MILLIS), () -> send(attempt));
    }

    private void send(AttemptId attempt) {
        if (!isActive(attempt)) {
            return;
        }
        ActiveAttempt present = activeAttempt.get();
        if (daemon.enabled(Mechanism.SENT_TRACKING) && !lifecycle.markSending(attempt)) {
            return;
        }
        daemon.mayInjectProcessFault();
        UpstreamRequest request =
                new UpstreamRequest(call, attempt, present.connection(), present.channel(), sequence.nextIndex());
        Upstream upstream = present.upstream();
        lastFrameMillis = now();
        daemon.process().after(IDLE_TIMEOUT_MILLIS, () -> checkIdle(attempt));
        daemon.send(upstream.name(), upstream.process().bind(() -> upstream.receive(request)));
        daemon.mayInjectProcessFault();
    }

    private void checkIdle(AttemptId attempt) {
        if (!isActive(attempt)) {
            return;
        }
        long remaining = lastFrameMillis + IDLE_TIMEOUT_MILLIS - now();
        if (remaining > 0) {
            daemon.process().after(remaining, () -> checkIdle(attempt));
            return;
        }
        Connection connection = activeAttempt.get().connection();
        if (daemon.random().nextBoolean()) {
            daemon.breakConnection(connection);
        } else {
            endAttempt(new AttemptOutcome.Lost("no frame came in time"), "");
        }
    }

    private void endAttempt(AttemptOutcome end, String body) {
        Optional<ActiveAttempt> ending = activeAttempt;
        if (finished || !closeActiveAttempt()) {
            return;
        }
        apply(lifecycle.endAttempt(ending.get().attempt(), end, retryBudget(), now()), body);
    }

    private void apply(NextStep next, String body) {
        switch (next) {
            case NextStep.Retry ignored -> daemon.process().after(1, this::startAttempt);
            case NextStep.Finish(Outcome outcome) -> finish(outcome, body);
        }
    }

    private void finish(Outcome outcome, String body) {
        finished = true;
        onEnd.accept(new CallResponse(outcome, outcome instanceof Outcome.Ran ? body : ""));
    }

    /** Takes the live attempt out; only the first caller gets true. */
    private boolean closeActiveAttempt() {
        if (activeAttempt.isEmpty()) {
            return false;
        }
        ActiveAttempt ending = activeAttempt.get();
        activeAttempt = Optional.empty();
        daemon.tables().router.finish(ending.upstream().id(), now());
        return daemon.closeAttempt(ending.attempt(), ending.connection(), ending.channel());
    }

    private boolean isActive(AttemptId attempt) {
        return activeAttempt.isPresent() && activeAttempt.get().attempt().equals(attempt);
    }

    private RetryBudget retryBudget() {
        return daemon.tables().retryBudget(call.operation().service().name());
    }

    private long now() {
        return daemon.process().nowMillis();
    }
}
