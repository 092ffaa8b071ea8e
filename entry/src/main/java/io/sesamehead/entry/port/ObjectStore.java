package io.sesamehead.entry.port;

import java.util.OptionalLong;
import java.util.function.Consumer;

/** The platform's store. Calls return at once; answers come on the event loop. Errors are answers, never exceptions. */
public interface ObjectStore {
    /**
     * Reads all objects of a kind.
     *
     * @param kind the kind
     * @param allowStale whether an answer that is some seconds old will do; it costs the store less
     * @param done takes the answer
     * @param <T> type of the content
     */
    <T> void list(ObjectKind<T> kind, boolean allowStale, Consumer<StoreResult<Listing<T>>> done);

    /**
     * Waits for changes.
     *
     * @param kind the kind
     * @param revision revision after which changes count
     * @param waitMillis longest wait, in milliseconds
     * @param done takes the answer
     * @param <T> type of the content
     */
    <T> void watch(ObjectKind<T> kind, long revision, long waitMillis, Consumer<StoreResult<ChangeBatch<T>>> done);

    /**
     * Creates an object, or replaces it if it is still at a known revision.
     *
     * @param kind the kind
     * @param name the object's name
     * @param expected revision that the object must have; empty if it must not exist
     * @param content new content
     * @param done takes the object as written
     * @param <T> type of the content
     */
    <T> void write(
            ObjectKind<T> kind,
            String name,
            OptionalLong expected,
            T content,
            Consumer<StoreResult<StoredObject<T>>> done);
}
