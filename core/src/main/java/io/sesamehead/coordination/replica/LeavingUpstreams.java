package io.sesamehead.coordination.replica;

import io.sesamehead.state.InstanceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Upstreams that have said in an answer that they are about to end. Their own word holds for the whole life of the upstream,
 * also where the registry lists them as ready. Not thread-safe.
 */
public final class LeavingUpstreams {
    /** Time for which other daemons are told, in milliseconds: many reports, so that a lost one does no harm. */
    private static final long ANNOUNCE_MILLIS = 10_000;
    /** Time for which an upstream that is not listed is remembered, in milliseconds: it has ended long since. */
    private static final long UNLISTED_RETENTION_MILLIS = 120_000;

    private final Map<InstanceId, Notice> notices = new HashMap<>();

    private record Notice(long startedAtEpochMillis, long learnedAtMillis) {}

    /**
     * One life of an upstream.
     *
     * @param upstream the upstream
     * @param startedAtEpochMillis when it started
     */
    public record UpstreamIncarnation(InstanceId upstream, long startedAtEpochMillis) {}

    /**
     * Records that an upstream leaves.
     *
     * @param incarnation the upstream in its present life
     * @param nowMillis present steady time
     * @return true if that was not known
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
     * Corrects an entry of the registry by what its upstream has said.
     *
     * @param entry the entry as listed
     * @return the entry, leaving if its upstream has said so in this life
     */
    public UpstreamEntry applyTo(UpstreamEntry entry) {
        Notice notice = notices.get(entry.id());
        boolean leaves = notice != null && notice.startedAtEpochMillis() == entry.startedAtEpochMillis();
        return leaves && !entry.leaving() ? entry.asLeaving() : entry;
    }

    /**
     * Forgets upstreams that ended long ago. One that is listed is never forgotten, however long it takes to end.
     *
     * @param listed decides whether the registry lists an upstream
     * @param nowMillis present steady time
     */
    public void evictUnlisted(Predicate<InstanceId> listed, long nowMillis) {
        notices.entrySet()
                .removeIf(entry -> !listed.test(entry.getKey())
                        && nowMillis - entry.getValue().learnedAtMillis() > UNLISTED_RETENTION_MILLIS);
    }

    /**
     * Returns what other daemons are told.
     *
     * @param nowMillis present steady time
     * @return upstreams that were learned of lately
     */
    public List<UpstreamIncarnation> toAnnounce(long nowMillis) {
        return notices.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().learnedAtMillis() <= ANNOUNCE_MILLIS)
                .map(entry ->
                        new UpstreamIncarnation(entry.getKey(), entry.getValue().startedAtEpochMillis()))
                .toList();
    }
}
