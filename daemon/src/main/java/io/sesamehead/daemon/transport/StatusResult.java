package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.EngineStatus;

/** Result of reading an engine's status. */
public sealed interface StatusResult {
    /**
     * The engine answered.
     *
     * @param status its status
     */
    record Answered(EngineStatus status) implements StatusResult {}

    /**
     * The engine did not answer in time or not with a status.
     *
     * @param detail a sentence for the log
     */
    record NoAnswer(String detail) implements StatusResult {}
}
