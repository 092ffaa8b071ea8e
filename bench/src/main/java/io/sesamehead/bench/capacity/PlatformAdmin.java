package io.sesamehead.bench.capacity;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.sesamehead.daemon.protocol.Json;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;

/** The admin calls of the platform stand-in. */
final class PlatformAdmin {
    private static final int OK = 200;

    private final HttpClient http = HttpClient.newHttpClient();
    private final String address;

    PlatformAdmin(String address) {
        this.address = address;
    }

    JsonNode counts() throws IOException, InterruptedException {
        return new ObjectMapper().readTree(call("GET", "/admin/counts", ""));
    }

    void putNode(String vm, String failureDomain, String fabricDomain, String engineAddress)
            throws IOException, InterruptedException {
        String node = Json.object()
                .put("failureDomain", failureDomain)
                .put("fabricDomain", fabricDomain)
                .put("accelerators", "2")
                .put("acceleratorMemoryGb", "80")
                .put("engineAddress", engineAddress)
                .toString();
        call("PUT", "/admin/nodes/" + vm, node);
    }

    int nodeListBytes() throws IOException, InterruptedException {
        return call("GET", "/api/v1/nodes", "").getBytes(StandardCharsets.UTF_8).length;
    }

    private String call(String method, String path, String body) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8))
                .build();
        HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() != OK) {
            throw new IOException(path + " answered " + answer.statusCode() + ": " + answer.body());
        }
        return answer.body();
    }
}
