package io.sesamehead.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableMap;

/**
 * Status of a daemon as reported on its admin port.
 *
 * @param address admin address
 * @param answered whether the daemon responded
 * @param detail why the daemon did not respond; empty if it did
 * @param daemon name of the daemon
 * @param failureDomain failure domain of the daemon
 * @param ready whether the daemon accepts calls
 * @param generation generation in force on the daemon
 * @param serving whether the daemon currently sends work to a group, by the id of each group in its failure domain
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
     * Returns the status of a daemon that did not respond.
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
     * @param ready whether the daemon accepts calls
     * @return the status
     */
    public static DaemonStatus of(String address, JsonNode document, boolean ready) {
        ImmutableMap.Builder<String, Boolean> serving = ImmutableMap.builder();
        for (JsonNode group : document.path("groups")) {
            // Present only for groups in the failure domain of the daemon; ids are not unique across failure domains.
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
