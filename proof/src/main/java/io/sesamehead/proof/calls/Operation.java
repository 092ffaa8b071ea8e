package io.sesamehead.proof.calls;

import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.state.ClientAccount;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Operation requested by a caller. It takes several calls if it is retried.
 *
 * @param number sequence number of the operation in the run, from 0
 * @param service the service
 * @param body request body, which determines the expected answer
 * @param key idempotency key, if any; two operations with the same key have different bodies
 * @param nonIdempotent whether a second execution is harmful
 * @param tokens number of tokens in the answer of a model service
 */
record Operation(
        int number, FakeService service, String body, Optional<String> key, boolean nonIdempotent, int tokens) {
    static final ClientAccount ACCOUNT = new ClientAccount("shop");

    /** One in this many plain calls is run by the upstream and answered with an error. */
    private static final int FAILING_ONE_IN = 25;

    /** Returns whether a second attempt within one call is harmless. */
    boolean retryable() {
        return key.isEmpty() && !nonIdempotent;
    }

    /** Returns whether the upstream runs the request and responds with an error. */
    boolean failing() {
        return !service.model() && key.isEmpty() && number % FAILING_ONE_IN == FAILING_ONE_IN - 1;
    }

    String token(int index) {
        return body + "/" + index;
    }

    String answer() {
        return "done " + body;
    }

    Fingerprint fingerprint() {
        return Fingerprint.of("POST", service.name().value(), body.getBytes(StandardCharsets.UTF_8));
    }
}
