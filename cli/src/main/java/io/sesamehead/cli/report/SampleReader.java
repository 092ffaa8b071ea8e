package io.sesamehead.cli.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

/** Builds the levels of one daemon from its {@code /status} and {@code /metrics} documents. */
public final class SampleReader {
    /** Errors that the caller caused. They say nothing about the service and burn no budget. */
    private static final ImmutableSet<String> CALLER_MISTAKES = ImmutableSet.of(
            "bad-json",
            "bad-header",
            "missing-account",
            "unknown-service",
            "unknown-path",
            "body-too-large",
            "key-reused",
            "quarantined",
            "client-gone");

    private SampleReader() {}

    /**
     * Reads the levels.
     *
     * @param status the {@code /status} document
     * @param metrics the {@code /metrics} document
     * @return levels by service and account
     */
    public static ImmutableMap<LevelKey, Level> levels(JsonNode status, JsonNode metrics) {
        ImmutableMap.Builder<LevelKey, Level> levels = ImmutableMap.builder();
        for (JsonNode burn : status.path("burn")) {
            LevelKey key = new LevelKey(
                    burn.path("service").asText(), burn.path("account").asText());
            levels.put(key, level(key, burn, metrics.path("histograms")));
        }
        return levels.buildKeepingLast();
    }

    private static Level level(LevelKey key, JsonNode burn, JsonNode histograms) {
        long bad = 0;
        for (var error : burn.path("errors").properties()) {
            bad += CALLER_MISTAKES.contains(error.getKey())
                    ? 0
                    : error.getValue().asLong();
        }
        String prefix = "calls." + key.service() + "." + key.account() + ".";
        LevelCounters counters = new LevelCounters(
                burn.path("whole").asLong() + bad,
                bad,
                histograms.path(prefix + "first-token-millis").path("count").asLong(),
                burn.path("lateFirstTokens").asLong(),
                histograms.path(prefix + "between-tokens-millis").path("count").asLong(),
                burn.path("lateTokens").asLong());
        return new Level(
                counters,
                burn.path("firstTokenP95Millis").asDouble(),
                burn.path("betweenTokensP95Millis").asDouble());
    }
}
