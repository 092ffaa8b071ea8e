package io.sesamehead.coordination.replica;

import io.sesamehead.state.InstanceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Records the upstreams that have announced in a response that they are shutting down. The announcement applies until
 * the upstream restarts, even while the registry still lists it as ready. Not thread-safe.
 */
public final class LeavingUpstreams {
    /**
     * Time for which a notice is sent to other daemons, in milliseconds: many reports, so that a lost one does no harm.
     */
    private static final long ANNOUNCE_MILLIS = 10_000;
    /** Retention of a notice about an upstream that is not listed, in milliseconds; it has ended long before that. */
    private static final long UNLISTED_RETENTION_MILLIS = 120_000;

    private final Map<InstanceId, Notice> notices = new HashMap<>();

    private record Notice(long startedAtEpochMillis, long learnedAtMillis) {}

    /**
     * One incarnation of an upstream, identified by its start time.
     *
     * @param upstream the upstream
     * @param startedAtEpochMillis start time, in milliseconds since the epoch
     */
    public record UpstreamIncarnation(InstanceId upstream, long startedAtEpochMillis) {}

    /**
     * Records that an upstream is leaving.
     *
     * @param incarnation the current incarnation of the upstream
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if this was not known before
     */
    public boolean record(UpstreamIncarnation incarnation, long nowMillis) {
        Notice previous = notices.get(incarnation.upstream());
        if (previous != null && previous.startedAtEpochMillis() >= incarnation.startedAtEpochMillis()) {
            return false;
        }
        notices.put(incarnation.upstream(), new Notice(incarnation.startedAtEpochMillis(), nowMillis));
        return true;
    }

    /**
     * Applies a recorded announcement to a registry entry.
     *
     * @param entry the entry as listed
     * @return the entry, marked as leaving if this incarnation of the upstream has announced its shutdown
     */
    public UpstreamEntry applyTo(UpstreamEntry entry) {
        Notice notice = notices.get(entry.id());
        boolean leaves = notice != null && notice.startedAtEpochMillis() == entry.startedAtEpochMillis();
        return leaves && !entry.leaving() ? entry.asLeaving() : entry;
    }

    /**
     * Evicts upstreams that ended long ago. A listed upstream is never evicted, however long its shutdown takes.
     *
     * @param listed whether the registry lists an upstream
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void evictUnlisted(Predicate<InstanceId> listed, long nowMillis) {
        notices.entrySet()
                .removeIf(entry -> !listed.test(entry.getKey())
                        && nowMillis - entry.getValue().learnedAtMillis() > UNLISTED_RETENTION_MILLIS);
    }

    /**
     * Returns the upstreams to announce to other daemons.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the upstreams recorded recently
     */
    public List<UpstreamIncarnation> toAnnounce(long nowMillis) {
        return notices.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().learnedAtMillis() <= ANNOUNCE_MILLIS)
                .map(entry ->
                        new UpstreamIncarnation(entry.getKey(), entry.getValue().startedAtEpochMillis()))
                .toList();
    }
}
