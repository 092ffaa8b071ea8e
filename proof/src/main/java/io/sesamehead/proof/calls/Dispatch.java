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
final class Dispatch {
    /** An attempt without a frame for this long is given up; its frames may still come. */
    private static final long IDLE_MILLIS = 200;

    private static final int SEND_GAP_MILLIS = 3;

    private final CallsDaemon daemon;
    private final Call call;
    private final long deadlineMillis;
    private final Consumer<Reply> onEnd;
    private final RequestLifecycle run;
    private final StreamSequence sequence = new StreamSequence();
    private final Set<UpstreamId> tried = new HashSet<>();
    private Optional<Live> live = Optional.empty();
    private long lastFrameMillis;
    private boolean over;

    /** The live attempt. */
    private record Live(AttemptId attempt, Upstream upstream, Connection connection, int channel) {}

    Dispatch(CallsDaemon daemon, Call call, long deadlineMillis, Consumer<Reply> onEnd) {
        this.daemon = daemon;
        this.call = call;
        this.deadlineMillis = deadlineMillis;
        this.onEnd = onEnd;
        this.run = new RequestLifecycle(
                call.request(),
                call.operation().repeatable(),
                deadlineMillis,
                daemon.tables().attemptNumbers.reserve());
    }

    void start() {
        daemon.tables().budget(call.operation().service().name()).recordCall(now());
        next();
    }

    /** Ends the call without a further attempt. */
    void close(ErrorKind kind) {
        if (!over) {
            endLive();
            finish(run.close(kind, ""), "");
        }
    }

    boolean streaming() {
        return live.isPresent() && sequence.nextIndex() > 0;
    }

    void connectionBroke(Connection connection) {
        if (live.isPresent() && live.get().connection() == connection) {
            ended(new AttemptOutcome.Lost("the connection broke"), "");
        }
    }

    void frame(Content content) {
        lastFrameMillis = now();
        switch (content) {
            case Content.Token(int index, String text) -> token(index, text);
            case Content.End(int count) -> end(count);
            case Content.Answer(String body) -> ended(new AttemptOutcome.Completed(), body);
            case Content.Refused ignored -> ended(new AttemptOutcome.Refused("refused"), "");
            case Content.Failed ignored -> ended(new AttemptOutcome.Failed("failed"), "");
        }
    }

    private void token(int index, String text) {
        StreamSequence.TokenVerdict verdict =
                daemon.uses(Mechanism.FRAME_MATCHING) ? sequence.accept(index) : StreamSequence.TokenVerdict.DELIVER;
        switch (verdict) {
            case DELIVER -> {
                run.markDelivered();
                call.token(text);
            }
            case GAP -> ended(new AttemptOutcome.Lost("tokens are missing"), "");
            default -> {
                // A duplicate was delivered before.
            }
        }
    }

    private void end(int count) {
        StreamSequence.EndVerdict verdict =
                daemon.uses(Mechanism.FRAME_MATCHING) ? sequence.end(count) : StreamSequence.EndVerdict.COMPLETE;
        switch (verdict) {
            case COMPLETE -> ended(new AttemptOutcome.Completed(), "");
            case MISSING -> ended(new AttemptOutcome.Lost("the stream ended early"), "");
            default -> close(ErrorKind.STREAM_TORN);
        }
    }

    private void next() {
        if (over) {
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
        AttemptId attempt = run.beginAttempt().orElseThrow();
        Optional<Connection> connection = daemon.connect(chosen.get());
        if (connection.isEmpty()) {
            daemon.tables().router.finish(chosen.get().id(), now());
            step(run.endAttempt(attempt, new AttemptOutcome.Lost("not connected"), budget(), now()), "");
            return;
        }
        int channel = daemon.open(this, attempt, connection.get());
        live = Optional.of(new Live(attempt, chosen.get(), connection.get(), channel));
        daemon.process().after(daemon.random().nextInt(SEND_GAP_MILLIS), () -> send(attempt));
    }

    private void send(AttemptId attempt) {
        if (!isLive(attempt)) {
            return;
        }
        Live present = live.get();
        if (daemon.uses(Mechanism.SENT_TRACKING) && !run.markSending(attempt)) {
            return;
        }
        daemon.mayBeStruck();
        UpstreamRequest request =
                new UpstreamRequest(call, attempt, present.connection(), present.channel(), sequence.nextIndex());
        Upstream upstream = present.upstream();
        lastFrameMillis = now();
        daemon.process().after(IDLE_MILLIS, () -> idle(attempt));
        daemon.send(upstream.name(), upstream.process().step(() -> upstream.receive(request)));
        daemon.mayBeStruck();
    }

    private void idle(AttemptId attempt) {
        if (!isLive(attempt)) {
            return;
        }
        long remaining = lastFrameMillis + IDLE_MILLIS - now();
        if (remaining > 0) {
            daemon.process().after(remaining, () -> idle(attempt));
            return;
        }
        Connection connection = live.get().connection();
        if (daemon.random().nextBoolean()) {
            daemon.connectionBroke(connection);
        } else {
            ended(new AttemptOutcome.Lost("no frame came in time"), "");
        }
    }

    private void ended(AttemptOutcome end, String body) {
        Optional<Live> ending = live;
        if (over || !endLive()) {
            return;
        }
        step(run.endAttempt(ending.get().attempt(), end, budget(), now()), body);
    }

    private void step(NextStep next, String body) {
        switch (next) {
            case NextStep.Retry ignored -> daemon.process().after(1, this::next);
            case NextStep.Finish(Outcome outcome) -> finish(outcome, body);
        }
    }

    private void finish(Outcome outcome, String body) {
        over = true;
        onEnd.accept(new Reply(outcome, outcome instanceof Outcome.Ran ? body : ""));
    }

    /** Takes the live attempt out; only the first caller gets true. */
    private boolean endLive() {
        if (live.isEmpty()) {
            return false;
        }
        Live ending = live.get();
        live = Optional.empty();
        daemon.tables().router.finish(ending.upstream().id(), now());
        return daemon.close(ending.attempt(), ending.connection(), ending.channel());
    }

    private boolean isLive(AttemptId attempt) {
        return live.isPresent() && live.get().attempt().equals(attempt);
    }

    private RetryBudget budget() {
        return daemon.tables().budget(call.operation().service().name());
    }

    private long now() {
        return daemon.process().nowMillis();
    }
}
