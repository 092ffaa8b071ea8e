package io.sesamehead.standin.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.standin.Json;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Counts executions and keeps the first result of each idempotency key. */
final class ExecutionLog {
    private final Map<String, Integer> byKey = new TreeMap<>();
    private final Map<String, Integer> byRequestId = new TreeMap<>();
    private final Map<String, Result> results = new HashMap<>();
    private int total;
    private int whileLeaving;
    private int rejected;

    /** First result of a key; the body is null while the call is running. */
    record Result(int status, ObjectNode body) {
        ObjectNode toJson() {
            ObjectNode json = Json.object().put("state", body == null ? "running" : "done");
            if (body != null) {
                json.put("status", status).set("body", body);
            }
            return json;
        }
    }

    /** Returns the first result of a repeated key if repeats are rejected; otherwise counts a new execution. */
    synchronized Optional<Result> start(String key, String requestId, boolean rejectsRepeats, boolean leaving) {
        Result first = results.get(key);
        if (rejectsRepeats && first != null) {
            return Optional.of(first);
        }
        total++;
        whileLeaving += leaving ? 1 : 0;
        if (!key.isEmpty()) {
            byKey.merge(key, 1, Integer::sum);
            results.putIfAbsent(key, new Result(0, null));
        }
        if (!requestId.isEmpty()) {
            byRequestId.merge(requestId, 1, Integer::sum);
        }
        return Optional.empty();
    }

    synchronized void finish(String key, int status, ObjectNode body) {
        results.computeIfPresent(key, (k, old) -> old.body() == null ? new Result(status, body) : old);
    }

    synchronized void countRejection() {
        rejected++;
    }

    synchronized Optional<Result> result(String key) {
        return Optional.ofNullable(results.get(key));
    }

    synchronized ObjectNode toJson() {
        ObjectNode json = Json.object()
                .put("total", total)
                .put("whileLeaving", whileLeaving)
                .put("refused", rejected);
        json.set("byKey", Json.of(byKey));
        json.set("byRequestId", Json.of(byRequestId));
        return json;
    }
}
