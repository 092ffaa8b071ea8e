package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.EngineStatus;

/** Result of reading an engine's status. */
public sealed interface EngineStatusResult {
    /**
     * The engine answered.
     *
     * @param status its status
     */
    record Received(EngineStatus status) implements EngineStatusResult {}

    /**
     * The engine did not answer in time or not with a status.
     *
     * @param detail a sentence for the log
     */
    record NoResponse(String detail) implements EngineStatusResult {}
}
