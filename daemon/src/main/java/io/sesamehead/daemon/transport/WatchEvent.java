package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.PlatformObject;

/** An event of a watch. */
public sealed interface WatchEvent {
    /**
     * The object was created or changed.
     *
     * @param object the object in its new state
     */
    record Changed(PlatformObject object) implements WatchEvent {}

    /**
     * The object was deleted.
     *
     * @param object the last state of the object
     */
    record Deleted(PlatformObject object) implements WatchEvent {}
}
