package io.sesamehead.entry.port;

import java.util.List;

/**
 * All objects of a kind.
 *
 * @param objects the objects
 * @param revision the store's revision, from which a watch continues
 * @param <T> type of their content
 */
public record Listing<T>(List<StoredObject<T>> objects, long revision) {}
