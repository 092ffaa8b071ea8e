package io.sesamehead.standin.engine;

/**
 * One execution of a completion request.
 *
 * @param requestId ID of the request
 * @param group group that executed it
 * @param epoch epoch of the group
 * @param incarnation incarnation of the engine, 16 hexadecimal digits
 * @param account client account, empty if the header was missing
 * @param priority priority of the request
 * @param promptHash {@link TokenSource#fingerprint} of the prompt
 * @param firstIndex index of the first token of this execution
 * @param tokensSent number of tokens sent by this execution
 * @param finished whether the end marker was sent
 */
public record Execution(
        String requestId,
        String group,
        long epoch,
        String incarnation,
        String account,
        int priority,
        String promptHash,
        int firstIndex,
        int tokensSent,
        boolean finished) {}
