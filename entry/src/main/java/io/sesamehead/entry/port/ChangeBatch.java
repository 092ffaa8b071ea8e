package io.sesamehead.entry.port;

import java.util.List;

/**
 * Changes since an earlier revision, in order.
 *
 * @param changes the changes, empty if there was none while the store waited
 * @param revision the store's revision, from which a watch continues
 * @param <T> type of the content
 */
public record ChangeBatch<T>(List<Change<T>> changes, long revision) {
    /**
     * One change.
     *
     * @param object the object after the change, or before its removal
     * @param deleted whether it was removed
     * @param <T> type of the content
     */
    public record Change<T>(StoredObject<T> object, boolean deleted) {}
}
