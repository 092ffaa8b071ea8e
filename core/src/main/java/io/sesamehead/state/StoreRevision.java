package io.sesamehead.state;

import com.google.common.base.Preconditions;
import java.util.Comparator;

/**
 * A revision of the store. A store that is restored from a copy assigns numbers again that it had assigned before; only
 * revisions of one era belong to the same history. Ordered by era first.
 *
 * @param era number of times that the store has been restored, 0 if the store does not state it
 * @param number the store's revision counter
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
    /** Precedes all revisions of the store, which begin above 0. */
    public static final StoreRevision NONE = new StoreRevision(0, 0);

    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

    /**
     * Checks the era.
     *
     * @throws IllegalArgumentException if the era is negative
     */
    public StoreRevision {
        Preconditions.checkArgument(era >= 0, "negative era %s", era);
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }
}
