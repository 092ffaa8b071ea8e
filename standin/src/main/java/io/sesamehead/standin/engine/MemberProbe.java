package io.sesamehead.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.sesamehead.standin.Json;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

/** Queries the status of a group's members on behalf of the head. Not thread-safe. */
final class MemberProbe {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final Duration timeout;
    private final Map<String, String> incarnations = new HashMap<>();
    private EngineOrder order;

    MemberProbe(Duration timeout) {
        this.timeout = timeout;
    }

    /** Returns the problem of the first failed member, or an empty string if all are present in the order's group. */
    String findMissing(EngineOrder probedOrder) throws InterruptedException {
        if (!probedOrder.equals(order)) {
            order = probedOrder;
            incarnations.clear();
        }
        Map<EngineOrder.Member, CompletableFuture<HttpResponse<byte[]>>> responses = new HashMap<>();
        for (EngineOrder.Member member :
                probedOrder.members().subList(1, probedOrder.members().size())) {
            if (!member.address().isEmpty()) {
                HttpRequest request = HttpRequest.newBuilder(
                                URI.create("http://" + member.address() + "/control/status"))
                        .timeout(timeout)
                        .build();
                responses.put(member, CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()));
            }
        }
        String firstProblem = "";
        for (Map.Entry<EngineOrder.Member, CompletableFuture<HttpResponse<byte[]>>> entry : responses.entrySet()) {
            String problem = problem(entry.getKey().vm(), entry.getValue());
            firstProblem = firstProblem.isEmpty() ? problem : firstProblem;
        }
        return firstProblem;
    }

    private String problem(String vm, CompletableFuture<HttpResponse<byte[]>> response) throws InterruptedException {
        try {
            JsonNode status = Json.parse(response.get().body());
            String state = status.path("state").asText();
            // A leaving member still serves its in-flight streams.
            boolean present = status.path("group").asText().equals(order.group())
                    && status.path("epoch").asLong() == order.epoch()
                    && (state.equals("ready") || state.equals("leaving"));
            if (!present) {
                return vm + " is not ready in the group";
            }
            String incarnation = status.path("incarnation").asText();
            String firstIncarnation = incarnations.putIfAbsent(vm, incarnation);
            return firstIncarnation == null || firstIncarnation.equals(incarnation) ? "" : vm + " was restarted";
        } catch (ExecutionException | IOException e) {
            return vm + " does not answer";
        }
    }
}
