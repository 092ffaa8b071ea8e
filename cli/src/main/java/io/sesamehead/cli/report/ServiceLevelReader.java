package io.sesamehead.cli.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

/** Reads the service levels of one daemon from its {@code /status} and {@code /metrics} documents. */
public final class ServiceLevelReader {
    /** Errors caused by the client, which do not count against the error budget of the service. */
    private static final ImmutableSet<String> CLIENT_ERRORS = ImmutableSet.of(
            "bad-json",
            "bad-header",
            "missing-account",
            "unknown-service",
            "unknown-path",
            "body-too-large",
            "key-reused",
            "quarantined",
            "client-gone");

    private ServiceLevelReader() {}

    /**
     * Reads the service levels.
     *
     * @param status the {@code /status} document
     * @param metrics the {@code /metrics} document
     * @return service levels by service and client account
     */
    public static ImmutableMap<ServiceLevelKey, ServiceLevel> read(JsonNode status, JsonNode metrics) {
        ImmutableMap.Builder<ServiceLevelKey, ServiceLevel> levels = ImmutableMap.builder();
        for (JsonNode burn : status.path("burn")) {
            ServiceLevelKey key = new ServiceLevelKey(
                    burn.path("service").asText(), burn.path("account").asText());
            levels.put(key, level(key, burn, metrics.path("histograms")));
        }
        return levels.buildKeepingLast();
    }

    private static ServiceLevel level(ServiceLevelKey key, JsonNode burn, JsonNode histograms) {
        long bad = 0;
        for (var error : burn.path("errors").properties()) {
            bad += CLIENT_ERRORS.contains(error.getKey()) ? 0 : error.getValue().asLong();
        }
        String prefix = "calls." + key.service() + "." + key.account() + ".";
        ServiceLevelCounters counters = new ServiceLevelCounters(
                burn.path("whole").asLong() + bad,
                bad,
                histograms.path(prefix + "first-token-millis").path("count").asLong(),
                burn.path("lateFirstTokens").asLong(),
                histograms.path(prefix + "between-tokens-millis").path("count").asLong(),
                burn.path("lateTokens").asLong());
        return new ServiceLevel(
                counters,
                burn.path("firstTokenP95Millis").asDouble(),
                burn.path("betweenTokensP95Millis").asDouble());
    }
}
