package io.sesamehead.entry.port;

import io.sesamehead.state.StoreRevision;
import java.util.Optional;
import java.util.function.Consumer;

/** The platform's store. Calls are asynchronous: results, including errors, are delivered on the event loop. */
public interface ObjectStore {
    /**
     * Reads all objects of a kind.
     *
     * @param kind the kind
     * @param allowStale whether a result that is a few seconds stale is acceptable, which costs the store less
     * @param done receives the result
     * @param <T> content type
     */
    <T> void list(ObjectKind<T> kind, boolean allowStale, Consumer<StoreResult<Listing<T>>> done);

    /**
     * Waits for changes.
     *
     * @param kind the kind
     * @param since revision after which changes are returned
     * @param waitMillis maximum wait in milliseconds
     * @param done receives the result
     * @param <T> content type
     */
    <T> void watch(
            ObjectKind<T> kind, StoreRevision since, long waitMillis, Consumer<StoreResult<ChangeBatch<T>>> done);

    /**
     * Creates an object, or replaces it if its revision is unchanged.
     *
     * @param kind the kind
     * @param name the object's name
     * @param expected required revision of the object; empty if it must not exist
     * @param content new content
     * @param done receives the object as written
     * @param <T> content type
     */
    <T> void write(
            ObjectKind<T> kind,
            String name,
            Optional<StoreRevision> expected,
            T content,
            Consumer<StoreResult<StoredObject<T>>> done);
}
