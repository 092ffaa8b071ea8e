package io.sesamehead.proof.calls;

import io.sesamehead.coordination.order.KeyedCallSettings;
import io.sesamehead.state.ServiceName;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Simulated service and the idempotency keys that its upstreams have received. The keys are shared by the upstreams, as
 * in a database of a plain service, and no fault loses them.
 */
final class FakeService {
    private final ServiceName name;
    private final boolean model;
    private final KeyedCallSettings keyedCallSettings;
    private final Map<String, String> bodiesByKey = new HashMap<>();
    private final Map<String, String> answersByKey = new HashMap<>();

    FakeService(String name, boolean model, KeyedCallSettings keyedCallSettings) {
        this.name = new ServiceName(name);
        this.model = model;
        this.keyedCallSettings = keyedCallSettings;
    }

    ServiceName name() {
        return name;
    }

    boolean model() {
        return model;
    }

    KeyedCallSettings keyedCallSettings() {
        return keyedCallSettings;
    }

    /** Returns the body of the first request with a key, or empty if the key has not been received. */
    Optional<String> firstBody(String key) {
        return Optional.ofNullable(bodiesByKey.get(key));
    }

    /** Returns the answer recorded for a key, or empty while its call is running or if it was interrupted. */
    Optional<String> answer(String key) {
        return Optional.ofNullable(answersByKey.get(key));
    }

    void recordStart(String key, String body) {
        bodiesByKey.putIfAbsent(key, body);
    }

    void recordAnswer(String key, String answer) {
        answersByKey.put(key, answer);
    }
}
