package io.sesamehead.cli.load;

/** One call that the load tool sends. */
public sealed interface CallSpec {
    /**
     * Returns the client account that sends the call.
     *
     * @return name of the account
     */
    String account();

    /**
     * Returns the service that is called.
     *
     * @return name of the service
     */
    String service();

    /**
     * A completion, which may be repeated freely.
     *
     * @param account client account
     * @param service model service
     * @param prompt the prompt, unique within a run
     * @param tokens tokens asked for
     * @param streaming whether the answer is asked for as a stream
     */
    record Completion(String account, String service, String prompt, int tokens, boolean streaming)
            implements CallSpec {}

    /**
     * A keyed order, which may be repeated with the same key.
     *
     * @param account client account
     * @param service plain service
     * @param key idempotency key
     * @param body JSON body, the same for each use of the key
     * @param repeat whether an earlier call of the run used the key
     */
    record Order(String account, String service, String key, String body, boolean repeat) implements CallSpec {}
}
