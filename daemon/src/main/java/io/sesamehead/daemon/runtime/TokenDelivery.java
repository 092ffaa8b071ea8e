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
    private final RequestLifecycle lifecycle;
    private final StreamSequence sequence;
    private final TokenSink caller;
    private final boolean collectTokens;
    private final boolean cancelOnDisconnect;
    private final Optional<ServiceLevelMetrics> metrics;
    private final long arrivedMillis;
    private final LongSupplier nowMillis;
    private final List<String> collected = new ArrayList<>();
    private boolean callerDisconnected;
    private boolean gap;
    private int attemptTokens;
    private long attemptFirstMillis;
    private long lastMillis = -1;

    /**
     * Creates a delivery that has delivered nothing.
     *
     * @param lifecycle the request
     * @param sequence positions of the stream
     * @param caller the caller
     * @param options how the caller wants the answer
     * @param metrics takes the latencies; empty when another failure domain measures them
     * @param arrivedMillis arrival of the call, in milliseconds
     * @param nowMillis monotonic clock, in milliseconds
     */
    TokenDelivery(
            RequestLifecycle lifecycle,
            StreamSequence sequence,
            TokenSink caller,
            Options options,
            Optional<ServiceLevelMetrics> metrics,
            long arrivedMillis,
            LongSupplier nowMillis) {
        this.lifecycle = lifecycle;
        this.sequence = sequence;
        this.caller = caller;
        this.collectTokens = options.collectTokens();
        this.cancelOnDisconnect = options.cancelOnDisconnect();
        this.metrics = metrics;
        this.arrivedMillis = arrivedMillis;
        this.nowMillis = nowMillis;
    }

    /**
     * How the answer is delivered.
     *
     * @param collectTokens whether the tokens are kept for the whole answer
     * @param cancelOnDisconnect whether the call ends when its caller is gone
     */
    record Options(boolean collectTokens, boolean cancelOnDisconnect) {}

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

    boolean callerDisconnected() {
        return callerDisconnected;
    }

    boolean gap() {
        return gap;
    }

    ImmutableList<String> collectedTokens() {
        return ImmutableList.copyOf(collected);
    }

    /** Returns the mean time between the tokens of the present attempt, or a negative number before the second one. */
    double meanBetweenTokensMillis() {
        return attemptTokens < 2 ? -1 : (double) (lastMillis - attemptFirstMillis) / (attemptTokens - 1);
    }

    private boolean deliver(int index, String text) {
        lifecycle.markDelivered();
        recordLatency();
        if (collectTokens) {
            collected.add(text);
        }
        if (!callerDisconnected && !caller.accept(index, text)) {
            callerDisconnected = true;
        }
        return !callerDisconnected || !cancelOnDisconnect;
    }

    private void recordLatency() {
        long now = nowMillis.getAsLong();
        if (lastMillis < 0) {
            metrics.ifPresent(present -> present.recordFirstToken(now - arrivedMillis));
        } else {
            long sinceLast = now - lastMillis;
            metrics.ifPresent(present -> present.recordTokenInterval(sinceLast));
        }
        if (attemptTokens == 0) {
            attemptFirstMillis = now;
        }
        attemptTokens++;
        lastMillis = now;
    }
}
