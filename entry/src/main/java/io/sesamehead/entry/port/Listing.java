package io.sesamehead.entry.port;

import io.sesamehead.state.StoreRevision;
import java.util.List;

/**
 * All objects of a kind.
 *
 * @param objects the objects
 * @param revision store revision from which a watch continues
 * @param <T> content type
 */
public record Listing<T>(List<StoredObject<T>> objects, StoreRevision revision) {}
