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

/** Asks the members of a group for their status on behalf of the head. Used by one thread. */
final class MemberCheck {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final Duration timeout;
    private final Map<String, String> incarnations = new HashMap<>();
    private EngineOrder order;

    MemberCheck(Duration timeout) {
        this.timeout = timeout;
    }

    /** Returns what is wrong with the first member found wrong, empty when all are present in the order's group. */
    String missing(EngineOrder checked) throws InterruptedException {
        if (!checked.equals(order)) {
            order = checked;
            incarnations.clear();
        }
        Map<EngineOrder.Member, CompletableFuture<HttpResponse<byte[]>>> answers = new HashMap<>();
        for (EngineOrder.Member member :
                checked.members().subList(1, checked.members().size())) {
            if (!member.address().isEmpty()) {
                HttpRequest request = HttpRequest.newBuilder(
                                URI.create("http://" + member.address() + "/control/status"))
                        .timeout(timeout)
                        .build();
                answers.put(member, CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()));
            }
        }
        String wrong = "";
        for (Map.Entry<EngineOrder.Member, CompletableFuture<HttpResponse<byte[]>>> entry : answers.entrySet()) {
            String found = fault(entry.getKey().vm(), entry.getValue());
            wrong = wrong.isEmpty() ? found : wrong;
        }
        return wrong;
    }

    private String fault(String vm, CompletableFuture<HttpResponse<byte[]>> answer) throws InterruptedException {
        try {
            JsonNode status = Json.parse(answer.get().body());
            String state = status.path("state").asText();
            // A leaving member still serves the streams in flight.
            boolean present = status.path("group").asText().equals(order.group())
                    && status.path("epoch").asLong() == order.epoch()
                    && (state.equals("ready") || state.equals("leaving"));
            if (!present) {
                return vm + " is not ready in the group";
            }
            String incarnation = status.path("incarnation").asText();
            String first = incarnations.putIfAbsent(vm, incarnation);
            return first == null || first.equals(incarnation) ? "" : vm + " was restarted";
        } catch (ExecutionException | IOException e) {
            return vm + " does not answer";
        }
    }
}
