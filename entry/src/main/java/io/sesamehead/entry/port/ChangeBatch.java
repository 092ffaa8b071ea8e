package io.sesamehead.entry.port;

import io.sesamehead.state.StoreRevision;
import java.util.List;

/**
 * Changes since an earlier revision, in order.
 *
 * @param changes the changes, empty if none occurred during the watch
 * @param revision store revision from which the next watch continues
 * @param <T> content type
 */
public record ChangeBatch<T>(List<Change<T>> changes, StoreRevision revision) {
    /**
     * A change to an object.
     *
     * @param object the object after the change, or before its deletion
     * @param deleted whether the object was deleted
     * @param <T> content type
     */
    public record Change<T>(StoredObject<T> object, boolean deleted) {}
}
