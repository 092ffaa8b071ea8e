package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.PlatformObject;

/** One event of a watch. */
public sealed interface WatchEvent {
    /**
     * The object was created or changed.
     *
     * @param object the object as it is now
     */
    record Changed(PlatformObject object) implements WatchEvent {}

    /**
     * The object was deleted.
     *
     * @param object the object as it was last
     */
    record Deleted(PlatformObject object) implements WatchEvent {}
}
