package io.sesamehead.entry.port;

import io.sesamehead.state.StoreRevision;
import java.util.Optional;

/**
 * An object returned by the store.
 *
 * @param name object name
 * @param revision store revision of the last change
 * @param content decoded content, or empty if it is invalid
 * @param <T> content type
 */
public record StoredObject<T>(String name, StoreRevision revision, Optional<T> content) {}
