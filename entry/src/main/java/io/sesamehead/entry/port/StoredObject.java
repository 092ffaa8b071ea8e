package io.sesamehead.entry.port;

import java.util.Optional;

/**
 * An object as the store returned it.
 *
 * @param name its name
 * @param revision the store's revision at its last change
 * @param content its content, or empty if it cannot be read
 * @param <T> type of the content
 */
public record StoredObject<T>(String name, long revision, Optional<T> content) {}
