package io.sesamehead.cli.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;

/**
 * Stores samples in a file with one JSON object per line. The file is on the operator's machine because entry VMs keep
 * no state.
 */
public final class SampleHistory {
    /** The longest window, three days, and one hour in addition; older samples are not needed. */
    private static final long RETENTION_MILLIS = 3L * 24 * 3600 * 1000 + 3_600_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    private SampleHistory() {}

    /**
     * Reads the samples of a file.
     *
     * @param file the file, which may be missing
     * @param nowMillis current wall-clock time in milliseconds
     * @return the samples within the retention time, oldest first
     * @throws IOException if the file cannot be read or contains a line that is not JSON
     */
    public static ImmutableList<Sample> read(Path file, long nowMillis) throws IOException {
        if (!Files.exists(file)) {
            return ImmutableList.of();
        }
        ImmutableList.Builder<Sample> samples = ImmutableList.builder();
        for (String line : Files.readAllLines(file)) {
            JsonNode node = JSON.readTree(line);
            if (nowMillis - node.path("epochMillis").asLong() <= RETENTION_MILLIS) {
                samples.add(decode(node));
            }
        }
        return ImmutableList.sortedCopyOf(Comparator.comparingLong(Sample::epochMillis), samples.build());
    }

    /**
     * Appends a sample to the file, which is created if it is missing.
     *
     * @param file the file
     * @param sample the sample
     * @throws IOException if the file cannot be written
     */
    public static void append(Path file, Sample sample) throws IOException {
        Files.writeString(file, encode(sample) + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    static ObjectNode encode(Sample sample) {
        ObjectNode node = JSON.createObjectNode();
        node.put("epochMillis", sample.epochMillis());
        node.put("silent", sample.unresponsiveDaemons());
        node.putObject("fleet")
                .put("groupsAsked", sample.fleet().desiredGroups())
                .put("groupsServing", sample.fleet().servingGroups())
                .put("accelerators", sample.fleet().accelerators())
                .put("stranded", sample.fleet().strandedAccelerators());
        ObjectNode daemons = node.putObject("daemons");
        sample.daemons().forEach((incarnation, levels) -> {
            var list = daemons.putArray(incarnation);
            levels.forEach((key, level) -> list.addObject()
                    .put("service", key.service())
                    .put("account", key.account())
                    .put("calls", level.counters().calls())
                    .put("bad", level.counters().bad())
                    .put("firstTokens", level.counters().firstTokens())
                    .put("lateFirstTokens", level.counters().lateFirstTokens())
                    .put("gaps", level.counters().gaps())
                    .put("lateGaps", level.counters().lateGaps())
                    .put("firstTokenP95Millis", level.firstTokenP95Millis())
                    .put("betweenTokensP95Millis", level.betweenTokensP95Millis()));
        });
        return node;
    }

    static Sample decode(JsonNode node) {
        ImmutableMap.Builder<String, ImmutableMap<ServiceLevelKey, ServiceLevel>> daemons = ImmutableMap.builder();
        for (var daemon : node.path("daemons").properties()) {
            ImmutableMap.Builder<ServiceLevelKey, ServiceLevel> levels = ImmutableMap.builder();
            for (JsonNode item : daemon.getValue()) {
                levels.put(
                        new ServiceLevelKey(
                                item.path("service").asText(),
                                item.path("account").asText()),
                        level(item));
            }
            daemons.put(daemon.getKey(), levels.buildKeepingLast());
        }
        JsonNode fleet = node.path("fleet");
        return new Sample(
                node.path("epochMillis").asLong(),
                daemons.buildKeepingLast(),
                node.path("silent").asInt(),
                new FleetCounts(
                        fleet.path("groupsAsked").asInt(),
                        fleet.path("groupsServing").asInt(),
                        fleet.path("accelerators").asInt(),
                        fleet.path("stranded").asInt()));
    }

    private static ServiceLevel level(JsonNode item) {
        ServiceLevelCounters counters = new ServiceLevelCounters(
                item.path("calls").asLong(),
                item.path("bad").asLong(),
                item.path("firstTokens").asLong(),
                item.path("lateFirstTokens").asLong(),
                item.path("gaps").asLong(),
                item.path("lateGaps").asLong());
        return new ServiceLevel(
                counters,
                item.path("firstTokenP95Millis").asDouble(),
                item.path("betweenTokensP95Millis").asDouble());
    }
}
