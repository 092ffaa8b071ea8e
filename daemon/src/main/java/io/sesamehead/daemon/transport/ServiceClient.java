package io.sesamehead.daemon.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;

/** Client of the plain services. All calls block; none is retried. */
public final class ServiceClient implements AutoCloseable {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int SERVER_ERROR = 500;

    private final PooledHttpClient http;

    /**
     * Creates a client; no connection is opened yet.
     *
     * @param maxConnections maximum total number of connections
     * @param maxPerService maximum number of connections to one address
     * @param connectTimeout timeout for opening a connection
     */
    public ServiceClient(int maxConnections, int maxPerService, Duration connectTimeout) {
        this.http = new PooledHttpClient(maxConnections, maxPerService, connectTimeout);
    }

    /**
     * Runs one attempt of a call.
     *
     * @param address {@code ip:port} of the service
     * @param call the call
     * @param deadline time remaining for the attempt
     * @param cancellation cancels the attempt
     * @param gate checked immediately before the first byte is sent
     * @return the result of the attempt
     */
    public UpstreamResult call(
            String address, ServiceRequest call, Duration deadline, Cancellation cancellation, SendGate gate) {
        HttpUriRequestBase request =
                new HttpUriRequestBase(call.method(), URI.create("http://" + address + "/" + call.path()));
        request.setHeader("X-Request-Id", call.requestId().value());
        request.setHeader("X-Client-Account", call.account().value());
        call.key().ifPresent(key -> request.setHeader("Idempotency-Key", key));
        if (call.body().length > 0) {
            request.setEntity(new ByteArrayEntity(call.body(), null));
            request.setHeader(HttpHeaders.CONTENT_TYPE, contentType(call));
        }
        ExchangeResult<UpstreamResult> exchange = http.exchange(
                request, deadline, cancellation, gate, response -> attemptResult(BufferedResponse.read(response)));
        return UpstreamResultMapper.fromExchange(exchange, address);
    }

    /**
     * Queries a service for the state of an idempotency key.
     *
     * @param address {@code ip:port} of the service
     * @param key the key
     * @param timeout timeout of the whole call
     * @return the state of the key
     */
    public KeyQueryResult queryKey(String address, String key, Duration timeout) {
        String path = "/keys/" + URLEncoder.encode(key, StandardCharsets.UTF_8).replace("+", "%20");
        ExchangeResult<BufferedResponse> exchange =
                http.exchange(new HttpGet("http://" + address + path), timeout, BufferedResponse::read);
        return switch (exchange) {
            case ExchangeResult.Completed<BufferedResponse>(BufferedResponse response) -> keyQueryResult(response);
            case ExchangeResult.NotSent<BufferedResponse>(String detail, boolean refused) ->
                new KeyQueryResult.NoResponse(detail);
            case ExchangeResult.Broken<BufferedResponse>(String detail, boolean expired) ->
                new KeyQueryResult.NoResponse(detail);
            case ExchangeResult.Cancelled<BufferedResponse>() -> new KeyQueryResult.NoResponse("cancelled");
        };
    }

    /**
     * Queries whether a service is leaving.
     *
     * @param address {@code ip:port} of the service
     * @param timeout timeout of the whole call
     * @return the state that the service reports
     */
    public ServiceState status(String address, Duration timeout) {
        ExchangeResult<BufferedResponse> exchange =
                http.exchange(new HttpGet("http://" + address + "/status"), timeout, BufferedResponse::read);
        if (exchange instanceof ExchangeResult.Completed<BufferedResponse>(BufferedResponse response)
                && response.status() == OK) {
            try {
                String state = Json.parse(response.body()).path("state").asText();
                return state.equals("leaving") ? ServiceState.LEAVING : ServiceState.READY;
            } catch (MalformedMessageException e) {
                return ServiceState.NO_ANSWER;
            }
        }
        return ServiceState.NO_ANSWER;
    }

    @Override
    public void close() {
        http.close();
    }

    private static String contentType(ServiceRequest call) {
        return call.contentType().isEmpty() ? ContentType.APPLICATION_JSON.getMimeType() : call.contentType();
    }

    private static UpstreamResult attemptResult(BufferedResponse response) {
        if (response.status() >= SERVER_ERROR) {
            return response.reportsNotRun()
                    ? new UpstreamResult.Refused(response.summary())
                    : new UpstreamResult.Failed(response.status(), response.summary());
        }
        return new UpstreamResult.Responded(response.status(), response.contentType(), response.body());
    }

    private static KeyQueryResult keyQueryResult(BufferedResponse response) {
        if (response.status() == NOT_FOUND) {
            return new KeyQueryResult.UnknownKey();
        }
        if (response.status() != OK) {
            return new KeyQueryResult.NoResponse(response.summary());
        }
        try {
            JsonNode tree = Json.parse(response.body());
            if (!tree.path("state").asText().equals("done")) {
                return new KeyQueryResult.Running();
            }
            JsonNode body = tree.path("body");
            return new KeyQueryResult.Done(
                    tree.path("status").asInt(OK), body.isTextual() ? body.textValue() : body.toString());
        } catch (MalformedMessageException e) {
            return new KeyQueryResult.NoResponse("malformed response: " + e.getMessage());
        }
    }
}
