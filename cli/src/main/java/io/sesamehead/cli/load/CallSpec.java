package io.sesamehead.cli.load;

/** Call sent by the load generator. */
public sealed interface CallSpec {
    /**
     * Returns the client account on whose behalf the call is sent.
     *
     * @return the name of the client account
     */
    String account();

    /**
     * Returns the called service.
     *
     * @return the name of the service
     */
    String service();

    /**
     * A completion request, which may be repeated without restriction.
     *
     * @param account client account
     * @param service model service
     * @param prompt the prompt, unique within the run
     * @param tokens number of requested tokens
     * @param streaming whether to request an event stream
     */
    record Completion(String account, String service, String prompt, int tokens, boolean streaming)
            implements CallSpec {}

    /**
     * An order with an idempotency key, which may be repeated with the same key.
     *
     * @param account client account
     * @param service plain service
     * @param key idempotency key
     * @param body JSON body, which is the same for each use of the key
     * @param repeat whether a previous call of the run used the key
     */
    record Order(String account, String service, String key, String body, boolean repeat) implements CallSpec {}
}
