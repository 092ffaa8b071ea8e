package io.sesamehead.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** An HTTP request to a stand-in, and its response. */
public final class Call {
    /** Maximum size of a request body in bytes. */
    public static final int MAX_BODY_BYTES = 1 << 20;

    private final HttpExchange exchange;
    private byte[] body;

    Call(HttpExchange exchange) {
        this.exchange = exchange;
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method in upper case
     */
    public String method() {
        return exchange.getRequestMethod();
    }

    /**
     * Returns the path.
     *
     * @return the decoded path
     */
    public String path() {
        return exchange.getRequestURI().getPath();
    }

    /**
     * Returns the segments of the path.
     *
     * @return the decoded segments, without the leading empty one
     */
    public List<String> pathSegments() {
        return Arrays.stream(exchange.getRequestURI().getRawPath().substring(1).split("/"))
                .map(Call::decode)
                .toList();
    }

    /**
     * Returns whether the method and path match.
     *
     * @param method method in upper case
     * @param path decoded path
     * @return true if both match
     */
    public boolean matches(String method, String path) {
        return method().equals(method) && path().equals(path);
    }

    /**
     * Returns a query parameter.
     *
     * @param name parameter name
     * @return the decoded value of its first occurrence
     */
    public Optional<String> queryParameter(String name) {
        String query = exchange.getRequestURI().getRawQuery();
        if (query == null) {
            return Optional.empty();
        }
        return Arrays.stream(query.split("&"))
                .filter(part -> part.startsWith(name + "="))
                .map(part -> decode(part.substring(name.length() + 1)))
                .findFirst();
    }

    /**
     * Returns a request header.
     *
     * @param name header name
     * @return the first value
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }

    /**
     * Reads the body, up to one byte more than {@link #MAX_BODY_BYTES} so that an oversized body can be detected.
     *
     * @return the body
     * @throws IOException if the connection fails
     */
    public byte[] body() throws IOException {
        if (body == null) {
            body = exchange.getRequestBody().readNBytes(MAX_BODY_BYTES + 1);
        }
        return body;
    }

    /**
     * Reads the body as a JSON object.
     *
     * @return the object, empty for an empty body
     * @throws IOException if the connection fails or the body is not a JSON object
     */
    public ObjectNode json() throws IOException {
        return Json.parse(body());
    }

    /**
     * Sends a JSON response. An error with a {@code detail} member is sent as a problem document.
     *
     * @param status HTTP status
     * @param response the answer
     * @throws IOException if the connection fails
     */
    public void respond(int status, JsonNode response) throws IOException {
        body();
        boolean problem = status >= 400 && response.has("detail");
        byte[] bytes = Json.bytes(response);
        exchange.getResponseHeaders().set("Content-Type", problem ? "application/problem+json" : "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
    }

    /**
     * Sends a 429 or other error response with a {@code Retry-After} header.
     *
     * @param status HTTP status
     * @param retrySeconds value of {@code Retry-After} in seconds
     * @param response the answer
     * @throws IOException if the connection fails
     */
    public void respondWithRetryAfter(int status, int retrySeconds, JsonNode response) throws IOException {
        exchange.getResponseHeaders().set("Retry-After", Integer.toString(retrySeconds));
        respond(status, response);
    }

    /**
     * Starts a streamed response with status 200. Closing the stream completes the response; leaving it open and
     * throwing an exception closes the connection without completing it.
     *
     * @param contentType media type
     * @return the response stream; each flush sends the buffered bytes
     * @throws IOException if the connection fails
     */
    public OutputStream startStream(String contentType) throws IOException {
        body();
        exchange.getResponseHeaders().set("Content-Type", contentType);
        exchange.sendResponseHeaders(200, 0);
        return exchange.getResponseBody();
    }

    private static String decode(String text) {
        return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
    }
}
