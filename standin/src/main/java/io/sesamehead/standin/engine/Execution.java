package io.sesamehead.standin.engine;

/**
 * One run of a completion.
 *
 * @param requestId id of the request
 * @param group group it ran in
 * @param epoch epoch of the group
 * @param incarnation incarnation of the engine, 16 hexadecimal digits
 * @param account client account, empty when the header was missing
 * @param priority priority of the request
 * @param promptHash {@link TokenSource#fingerprint} of the prompt
 * @param firstIndex index of the first token of this run
 * @param tokensSent tokens sent in this run
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
