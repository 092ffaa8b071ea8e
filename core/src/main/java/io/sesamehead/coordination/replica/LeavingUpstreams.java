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
    private static final long TOLD_MILLIS = 10_000;
    /** Time for which an upstream that is not listed is remembered, in milliseconds: it has ended long since. */
    private static final long UNLISTED_MILLIS = 120_000;

    private final Map<InstanceId, Known> known = new HashMap<>();

    private record Known(long startedAtEpochMillis, long learnedAt) {}

    /**
     * One life of an upstream.
     *
     * @param upstream the upstream
     * @param startedAtEpochMillis when it started
     */
    public record Life(InstanceId upstream, long startedAtEpochMillis) {}

    /**
     * Records that an upstream leaves.
     *
     * @param life the upstream in its present life
     * @param nowMillis present steady time
     * @return true if that was not known
     */
    public boolean record(Life life, long nowMillis) {
        Known before = known.get(life.upstream());
        if (before != null && before.startedAtEpochMillis() >= life.startedAtEpochMillis()) {
            return false;
        }
        known.put(life.upstream(), new Known(life.startedAtEpochMillis(), nowMillis));
        return true;
    }

    /**
     * Corrects an entry of the registry by what its upstream has said.
     *
     * @param entry the entry as listed
     * @return the entry, leaving if its upstream has said so in this life
     */
    public UpstreamEntry corrected(UpstreamEntry entry) {
        Known stated = known.get(entry.id());
        boolean leaves = stated != null && stated.startedAtEpochMillis() == entry.startedAtEpochMillis();
        return leaves && !entry.leaving() ? entry.asLeaving() : entry;
    }

    /**
     * Forgets upstreams that ended long ago. One that is listed is never forgotten, however long it takes to end.
     *
     * @param listed decides whether the registry lists an upstream
     * @param nowMillis present steady time
     */
    public void retain(Predicate<InstanceId> listed, long nowMillis) {
        known.entrySet()
                .removeIf(entry -> !listed.test(entry.getKey())
                        && nowMillis - entry.getValue().learnedAt() > UNLISTED_MILLIS);
    }

    /**
     * Returns what other daemons are told.
     *
     * @param nowMillis present steady time
     * @return upstreams that were learned of lately
     */
    public List<Life> told(long nowMillis) {
        return known.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().learnedAt() <= TOLD_MILLIS)
                .map(entry -> new Life(entry.getKey(), entry.getValue().startedAtEpochMillis()))
                .toList();
    }
}
