package io.sesamehead.coordination.dispatch;

import java.util.List;

/**
 * The last report of a sender.
 *
 * @param receivedAt monotonic time at which it was received, in milliseconds
 * @param daemons number of daemons that it covers
 * @param rows their calls, one row for each target
 */
record PeerReport(long receivedAt, int daemons, List<TargetReport> rows) {
    /**
     * Returns whether the report shows recent progress at a target.
     *
     * @param key the target
     * @param maxAgeMillis maximum age of the progress, in milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if the sender has seen progress there within that time
     */
    boolean shows(TargetKey key, long maxAgeMillis, long nowMillis) {
        return rows.stream()
                .anyMatch(row -> row.key().equals(key) && row.silentMillis() + nowMillis - receivedAt <= maxAgeMillis);
    }
}
