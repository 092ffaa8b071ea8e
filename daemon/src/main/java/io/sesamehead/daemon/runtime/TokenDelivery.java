package io.sesamehead.daemon.runtime;

import com.google.common.collect.ImmutableList;
import io.sesamehead.coordination.request.RequestLifecycle;
import io.sesamehead.coordination.request.StreamSequence;
import io.sesamehead.daemon.transport.TokenSink;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Hands the tokens of all attempts of one completion to its caller, each once and in order. Used by one thread. */
final class TokenDelivery implements TokenSink {
    private final RequestLifecycle run;
    private final StreamSequence sequence;
    private final TokenSink caller;
    private final boolean keep;
    private final boolean endWithCaller;
    private final Optional<ServiceLevel> level;
    private final long arrivedMillis;
    private final LongSupplier nowMillis;
    private final List<String> kept = new ArrayList<>();
    private boolean callerGone;
    private boolean gap;
    private int attemptTokens;
    private long attemptFirstMillis;
    private long lastMillis = -1;

    /**
     * Creates a delivery that has delivered nothing.
     *
     * @param run the request
     * @param sequence positions of the stream
     * @param caller the caller
     * @param options how the caller wants the answer
     * @param level takes the latencies; empty when another failure domain measures them
     * @param arrivedMillis arrival of the call, in milliseconds
     * @param nowMillis monotonic clock, in milliseconds
     */
    TokenDelivery(
            RequestLifecycle run,
            StreamSequence sequence,
            TokenSink caller,
            Options options,
            Optional<ServiceLevel> level,
            long arrivedMillis,
            LongSupplier nowMillis) {
        this.run = run;
        this.sequence = sequence;
        this.caller = caller;
        this.keep = options.keep();
        this.endWithCaller = options.endWithCaller();
        this.level = level;
        this.arrivedMillis = arrivedMillis;
        this.nowMillis = nowMillis;
    }

    /**
     * How the answer is delivered.
     *
     * @param keep whether the tokens are kept for the whole answer
     * @param endWithCaller whether the call ends when its caller is gone
     */
    record Options(boolean keep, boolean endWithCaller) {}

    @Override
    public boolean accept(int index, String text) {
        return switch (sequence.accept(index)) {
            case DUPLICATE -> true;
            case GAP -> {
                gap = true;
                yield false;
            }
            case DELIVER -> deliver(index, text);
        };
    }

    void startAttempt() {
        attemptTokens = 0;
        gap = false;
    }

    boolean callerGone() {
        return callerGone;
    }

    boolean gap() {
        return gap;
    }

    ImmutableList<String> kept() {
        return ImmutableList.copyOf(kept);
    }

    /** Returns the mean time between the tokens of the present attempt, or a negative number before the second one. */
    double meanBetweenTokensMillis() {
        return attemptTokens < 2 ? -1 : (double) (lastMillis - attemptFirstMillis) / (attemptTokens - 1);
    }

    private boolean deliver(int index, String text) {
        run.markDelivered();
        measure();
        if (keep) {
            kept.add(text);
        }
        if (!callerGone && !caller.accept(index, text)) {
            callerGone = true;
        }
        return !callerGone || !endWithCaller;
    }

    private void measure() {
        long now = nowMillis.getAsLong();
        if (lastMillis < 0) {
            level.ifPresent(present -> present.firstToken(now - arrivedMillis));
        } else {
            long sinceLast = now - lastMillis;
            level.ifPresent(present -> present.betweenTokens(sinceLast));
        }
        if (attemptTokens == 0) {
            attemptFirstMillis = now;
        }
        attemptTokens++;
        lastMillis = now;
    }
}
