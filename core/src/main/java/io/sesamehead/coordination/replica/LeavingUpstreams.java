package io.sesamehead.coordination.replica;

import io.sesamehead.state.InstanceId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Upstreams that have said in an answer that they are about to end. Their own word holds for the whole life of the upstream,
 * also where the registry lists them as ready. Not thread-safe.
 */
public final class LeavingUpstreams {
    /** Time for which other daemons are told, in milliseconds: many reports, so that a lost one does no harm. */
    private static final long TOLD_MILLIS = 10_000;
    /** Time after which an upstream that is not listed is forgotten, in milliseconds: it has ended long since. */
    private static final long FORGOTTEN_MILLIS = 120_000;

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
     * Returns what other daemons are told.
     *
     * @param nowMillis present steady time
     * @return upstreams that were learned of lately
     */
    public List<Life> told(long nowMillis) {
        known.values().removeIf(stated -> nowMillis - stated.learnedAt() > FORGOTTEN_MILLIS);
        return known.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().learnedAt() <= TOLD_MILLIS)
                .map(entry -> new Life(entry.getKey(), entry.getValue().startedAtEpochMillis()))
                .toList();
    }
}
