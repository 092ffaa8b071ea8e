package io.sesamehead.proof.calls;

import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.state.ClientAccount;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * What a caller wants done, once or, when it is repeated, in several calls.
 *
 * @param number number of the operation in the run, from 0
 * @param service the service
 * @param body content of the request, from which the expected answer follows
 * @param key idempotency key, if any; two operations with one key have different bodies
 * @param nonIdempotent whether a second execution does harm
 * @param tokens tokens of the answer of a model service
 */
record Operation(
        int number, FakeService service, String body, Optional<String> key, boolean nonIdempotent, int tokens) {
    static final ClientAccount ACCOUNT = new ClientAccount("shop");

    /** Share of plain calls that the upstream runs and answers with an error: one in this many. */
    private static final int FAILING_ONE_IN = 25;

    /** True when a second attempt within one call does no harm. */
    boolean retryable() {
        return key.isEmpty() && !nonIdempotent;
    }

    /** True when the upstream runs the request and answers with an error. */
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
