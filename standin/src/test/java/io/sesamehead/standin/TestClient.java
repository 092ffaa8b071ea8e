package io.sesamehead.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** HTTP client for tests of the stand-ins. */
public final class TestClient {
    private static final HttpClient HTTP = HttpClient.newHttpClient();
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final InetSocketAddress address;

    public TestClient(InetSocketAddress address) {
        this.address = address;
    }

    public record Response(int status, JsonNode body) {}

    public interface Condition {
        boolean isMet() throws Exception;
    }

    public Response send(String method, String path, String body, String... headers) throws Exception {
        HttpResponse<byte[]> response =
                HTTP.send(request(method, path, body, headers), HttpResponse.BodyHandlers.ofByteArray());
        return new Response(response.statusCode(), Json.parse(response.body()));
    }

    public BufferedReader open(String method, String path, String body) throws Exception {
        HttpResponse<InputStream> response =
                HTTP.send(request(method, path, body), HttpResponse.BodyHandlers.ofInputStream());
        if (response.statusCode() != 200) {
            throw new IOException("status " + response.statusCode());
        }
        return new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8));
    }

    /** Waits until a condition is met; the timeout only ends a test that would fail anyway. */
    public static void await(Condition condition) throws Exception {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.isMet()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("condition was not met after " + TIMEOUT);
            }
            Thread.sleep(5);
        }
    }

    private HttpRequest request(String method, String path, String body, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                .timeout(TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return builder.build();
    }
}
