package io.sesamehead.coordination.evacuation;

import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.StoreRevision;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

/**
 * The evacuated failure domains, as far as this daemon knows. A state that was never read differs from one without
 * evacuations, and an evacuation is in force until the store proves its end: no age and no restore of the store ends it.
 * Not thread-safe: confined to the event loop.
 */
public final class Evacuations {
    /** Maximum number of ended evacuations that are kept. The store's objects may have any names. */
    private static final int MAX_ENDED = 256;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Set<FailureDomain> evacuated = new TreeSet<>();
    /** Time of the last end of each evacuation, on the steady clock; the one that ended first comes first. */
    private final Map<FailureDomain, Long> endedAtMillis = new LinkedHashMap<>();

    private StoreRevision revision = StoreRevision.NONE;
    private long confirmedAtMillis = NEVER;
    private boolean awaited;

    /** Begins to wait for the first state, until which every failure domain counts as evacuated. */
    public void beginWait() {
        awaited = !isKnown();
    }

    /** Ends the wait for the first state without one. */
    public void endWait() {
        awaited = false;
    }

    /**
     * Returns whether the first state is still waited for.
     *
     * @return true while every failure domain counts as evacuated
     */
    public boolean isAwaited() {
        return awaited;
    }

    /**
     * Returns whether nothing may be sent to the upstreams of a failure domain.
     *
     * @param failureDomain the failure domain
     * @return true while it is evacuated, or while the first state is waited for
     */
    public boolean isEvacuated(FailureDomain failureDomain) {
        return awaited || evacuated.contains(failureDomain);
    }

    /**
     * Returns the failure domains that are known to be evacuated.
     *
     * @return a copy, in the order of the names
     */
    public ImmutableSet<FailureDomain> evacuated() {
        return ImmutableSet.copyOf(evacuated);
    }

    /**
     * Returns when this daemon last learned that an evacuation had ended. The upstreams there may have turned cold shortly
     * before.
     *
     * @param failureDomain the failure domain
     * @return the time on the steady clock, in milliseconds; empty if this daemon knows of no such end
     */
    public OptionalLong endedAtMillis(FailureDomain failureDomain) {
        Long ended = endedAtMillis.get(failureDomain);
        return ended == null ? OptionalLong.empty() : OptionalLong.of(ended);
    }

    /**
     * Returns whether the state has been read in the present history of the store.
     *
     * @return false until the first state, and from a restore of the store until the next one
     */
    public boolean isKnown() {
        return !revision.equals(StoreRevision.NONE);
    }

    /**
     * Returns the revision up to which the state is known.
     *
     * @return the revision, {@link StoreRevision#NONE} if the state is not {@linkplain #isKnown() known}
     */
    public StoreRevision revision() {
        return revision;
    }

    /**
     * Returns the time as of which the state is confirmed.
     *
     * @return the time, in milliseconds on a clock that advances during suspension, if the state is known
     */
    public long confirmedAtMillis() {
        return confirmedAtMillis;
    }

    /**
     * Records an evacuation.
     *
     * @param failureDomain the failure domain
     * @return whether it was not evacuated before
     */
    public boolean begin(FailureDomain failureDomain) {
        return evacuated.add(failureDomain);
    }

    /**
     * Records the end of an evacuation, of which this daemon may not have known.
     *
     * @param failureDomain the failure domain
     * @param steadyMillis current time on the steady clock, in milliseconds
     * @return whether it was evacuated before
     */
    public boolean end(FailureDomain failureDomain, long steadyMillis) {
        endedAtMillis.remove(failureDomain);
        endedAtMillis.put(failureDomain, steadyMillis);
        if (endedAtMillis.size() > MAX_ENDED) {
            endedAtMillis.remove(endedAtMillis.keySet().iterator().next());
        }
        return evacuated.remove(failureDomain);
    }

    /**
     * Records up to which revision the changes have been recorded, and when the state was still the store's.
     *
     * @param knownRevision the revision
     * @param asOfMillis the time, on a clock that advances during suspension; an earlier one than known changes nothing
     */
    public void confirm(StoreRevision knownRevision, long asOfMillis) {
        revision = knownRevision;
        confirmedAtMillis = Math.max(confirmedAtMillis, asOfMillis);
        awaited = false;
    }

    /** Records a restore of the store: nothing confirms the state until it has been read again, but it stays in force. */
    public void recordRestore() {
        revision = StoreRevision.NONE;
        confirmedAtMillis = NEVER;
    }
}
