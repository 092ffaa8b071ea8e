package io.sesamehead.daemon.runtime;

import com.codahale.metrics.Counter;
import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.state.ErrorKind;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Service-level burn of one service and client account. */
public final class ServiceLevelMetrics {
    /** Objective for the first token. */
    static final long FIRST_TOKEN_OBJECTIVE_MILLIS = 1_300;

    /** Objective for the time between two tokens. */
    static final long BETWEEN_TOKENS_OBJECTIVE_MILLIS = 50;

    /** Samples of a histogram; bounds its memory, as there is one for each service and account. */
    private static final int RESERVOIR_SIZE = 256;

    private static final double RESERVOIR_DECAY = 0.015;
    private static final double P95 = 0.95;

    private final Counter completed;
    private final Map<ErrorKind, Counter> errors = new EnumMap<>(ErrorKind.class);
    private final Counter lateFirstTokens;
    private final Counter lateTokens;
    private final Histogram firstToken;
    private final Histogram betweenTokens;
    private final Histogram callMillis;

    /**
     * Creates the counters.
     *
     * @param registry registry in which they are published
     * @param prefix name of the service and the account
     */
    ServiceLevelMetrics(MetricRegistry registry, String prefix) {
        this.completed = registry.counter(MetricRegistry.name(prefix, "whole"));
        for (ErrorKind kind : ErrorKind.values()) {
            errors.put(kind, registry.counter(MetricRegistry.name(prefix, name(kind))));
        }
        this.lateFirstTokens = registry.counter(MetricRegistry.name(prefix, "late-first-tokens"));
        this.lateTokens = registry.counter(MetricRegistry.name(prefix, "late-tokens"));
        this.firstToken = histogram(registry, prefix, "first-token-millis");
        this.betweenTokens = histogram(registry, prefix, "between-tokens-millis");
        this.callMillis = histogram(registry, prefix, "call-millis");
    }

    void recordFirstToken(long millis) {
        firstToken.update(millis);
        if (millis > FIRST_TOKEN_OBJECTIVE_MILLIS) {
            lateFirstTokens.inc();
        }
    }

    void recordTokenInterval(long millis) {
        betweenTokens.update(millis);
        if (millis > BETWEEN_TOKENS_OBJECTIVE_MILLIS) {
            lateTokens.inc();
        }
    }

    void recordCompleted(long millis) {
        callMillis.update(millis);
        completed.inc();
    }

    void recordError(ErrorKind kind) {
        errors.get(kind).inc();
    }

    ObjectNode toJson() {
        ObjectNode tree = Json.object().put("whole", completed.getCount());
        ObjectNode outcomes = tree.putObject("errors");
        errors.forEach((kind, counter) -> {
            if (counter.getCount() > 0) {
                outcomes.put(name(kind), counter.getCount());
            }
        });
        return tree.put("lateFirstTokens", lateFirstTokens.getCount())
                .put("lateTokens", lateTokens.getCount())
                .put("firstTokenP95Millis", firstToken.getSnapshot().getValue(P95))
                .put("betweenTokensP95Millis", betweenTokens.getSnapshot().getValue(P95))
                .put("callP95Millis", callMillis.getSnapshot().getValue(P95));
    }

    private static Histogram histogram(MetricRegistry registry, String prefix, String name) {
        return registry.histogram(
                MetricRegistry.name(prefix, name),
                () -> new Histogram(new ExponentiallyDecayingReservoir(RESERVOIR_SIZE, RESERVOIR_DECAY)));
    }

    private static String name(ErrorKind kind) {
        return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
