package io.sesamehead.proof.calls;

import io.sesamehead.coordination.order.KeyedCallSettings;
import io.sesamehead.state.ServiceName;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** A service with the keys that its upstreams have seen; plain services keep them in a database that no fault loses. */
final class FakeService {
    private final ServiceName name;
    private final boolean model;
    private final KeyedCallSettings keyedCallSettings;
    private final Map<String, String> bodiesByKey = new HashMap<>();
    private final Map<String, String> answersByKey = new HashMap<>();

    FakeService(String name, boolean model, KeyedCallSettings orders) {
        this.name = new ServiceName(name);
        this.model = model;
        this.keyedCallSettings = orders;
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

    /** The request's body under which a key was first seen. */
    Optional<String> firstBody(String key) {
        return Optional.ofNullable(bodiesByKey.get(key));
    }

    /** The answer to a key, empty while its call runs or when it was interrupted. */
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
