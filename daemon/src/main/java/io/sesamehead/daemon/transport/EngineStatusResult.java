package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.EngineStatus;

/** Result of querying the status of an engine. */
public sealed interface EngineStatusResult {
    /**
     * The engine responded with its status.
     *
     * @param status the status
     */
    record Received(EngineStatus status) implements EngineStatusResult {}

    /**
     * The engine did not respond in time, or the response held no valid status.
     *
     * @param detail description for the log
     */
    record NoResponse(String detail) implements EngineStatusResult {}
}
