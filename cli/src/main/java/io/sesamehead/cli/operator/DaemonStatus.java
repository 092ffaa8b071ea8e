package io.sesamehead.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;

/**
 * What a daemon says of itself on its admin port.
 *
 * @param address admin address
 * @param answered whether it answered
 * @param detail why it did not answer; empty when it did
 * @param daemon name of the daemon
 * @param failureDomain its failure domain
 * @param ready whether it takes calls
 * @param generation generation in force at it
 * @param serving by id of the groups of its failure domain, whether the daemon sends work to the group now
 */
public record DaemonStatus(
        String address,
        boolean answered,
        String detail,
        String daemon,
        String failureDomain,
        boolean ready,
        long generation,
        ImmutableMap<String, Boolean> serving) {
    /**
     * Describes a daemon that did not answer.
     *
     * @param address admin address
     * @param detail the cause
     * @return the status
     */
    public static DaemonStatus unresponsive(String address, String detail) {
        return new DaemonStatus(address, false, detail, "-", "-", false, 0, ImmutableMap.of());
    }

    /**
     * Reads the {@code /status} document.
     *
     * @param address admin address
     * @param document the document
     * @param ready whether the daemon takes calls
     * @return the status
     */
    public static DaemonStatus of(String address, JsonNode document, boolean ready) {
        ImmutableMap.Builder<String, Boolean> serving = ImmutableMap.builder();
        for (JsonNode group : document.path("groups")) {
            // Only groups of the daemon's own failure domain say whether it serves them; ids repeat elsewhere.
            if (group.has("serving")) {
                serving.put(group.path("id").asText(), group.path("serving").asBoolean());
            }
        }
        return new DaemonStatus(
                address,
                true,
                "",
                document.path("daemon").asText("-"),
                document.path("failureDomain").asText("-"),
                ready,
                document.path("generation").asLong(),
                serving.buildKeepingLast());
    }
}
