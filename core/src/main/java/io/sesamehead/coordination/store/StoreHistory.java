package io.sesamehead.coordination.store;

import io.sesamehead.state.StoreRevision;
import java.util.OptionalLong;

/**
 * Tells the store's present history from those that a restore from a copy has ended. The newest known era is the
 * present one, whether a response of the store or another daemon stated it. Not thread-safe.
 */
public final class StoreHistory {
    private OptionalLong newest = OptionalLong.empty();

    /**
     * Records an era that the store or another daemon has stated.
     *
     * @param era the era
     * @return true if an older era was known before, so that the store has been restored since; once for each rise
     */
    public boolean record(long era) {
        boolean restored = newest.isPresent() && era > newest.getAsLong();
        if (restored || newest.isEmpty()) {
            newest = OptionalLong.of(era);
        }
        return restored;
    }

    /**
     * Returns the present era.
     *
     * @return the newest known era, 0 if none is known
     */
    public long era() {
        return newest.orElse(0);
    }

    /**
     * Whether a revision belongs to the present history.
     *
     * @param revision the revision
     * @return false if the revision is of another era, and must not be compared by number with those of this one
     */
    public boolean contains(StoreRevision revision) {
        return revision.era() == era();
    }

    /**
     * Whether a restore has ended the history of a revision.
     *
     * @param revision the revision
     * @return true if the revision is of an older era than the present one
     */
    public boolean hasEnded(StoreRevision revision) {
        return revision.era() < era();
    }
}
