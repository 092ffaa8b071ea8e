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

/** Client of the plain services. All calls block; nothing is repeated. */
public final class ServiceClient implements AutoCloseable {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int SERVER_ERROR = 500;

    private final PooledHttpClient http;

    /**
     * Creates a client; no connection is opened yet.
     *
     * @param maxConnections most connections in all
     * @param maxPerService most connections to one address
     * @param connectTimeout longest time to open a connection
     */
    public ServiceClient(int maxConnections, int maxPerService, Duration connectTimeout) {
        this.http = new PooledHttpClient(maxConnections, maxPerService, connectTimeout);
    }

    /**
     * Runs one attempt of a call.
     *
     * @param address {@code ip:port} of the service
     * @param call the call
     * @param deadline time left for the attempt
     * @param cancellation ends the attempt early
     * @param gate asked immediately before the first byte is sent
     * @return how the attempt ended
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
        ExchangeResult<UpstreamResult> exchange =
                http.exchange(request, deadline, cancellation, gate, response -> answer(BufferedResponse.read(response)));
        return UpstreamResultMapper.fromExchange(exchange, address);
    }

    /**
     * Asks a service what it knows of an idempotency key.
     *
     * @param address {@code ip:port} of the service
     * @param key the key
     * @param timeout longest time of the call
     * @return what the service knows
     */
    public KeyQueryResult queryKey(String address, String key, Duration timeout) {
        String path = "/keys/" + URLEncoder.encode(key, StandardCharsets.UTF_8).replace("+", "%20");
        ExchangeResult<BufferedResponse> exchange =
                http.exchange(new HttpGet("http://" + address + path), timeout, BufferedResponse::read);
        return switch (exchange) {
            case ExchangeResult.Completed<BufferedResponse>(BufferedResponse answer) -> keyState(answer);
            case ExchangeResult.NotSent<BufferedResponse>(String detail, boolean refused) -> new KeyQueryResult.NoResponse(detail);
            case ExchangeResult.Broken<BufferedResponse>(String detail, boolean expired) -> new KeyQueryResult.NoResponse(detail);
            case ExchangeResult.Cancelled<BufferedResponse>() -> new KeyQueryResult.NoResponse("cancelled");
        };
    }

    /**
     * Asks a service whether it is leaving.
     *
     * @param address {@code ip:port} of the service
     * @param timeout longest time of the call
     * @return what the service says
     */
    public ServiceState status(String address, Duration timeout) {
        ExchangeResult<BufferedResponse> exchange =
                http.exchange(new HttpGet("http://" + address + "/status"), timeout, BufferedResponse::read);
        if (exchange instanceof ExchangeResult.Completed<BufferedResponse>(BufferedResponse answer) && answer.status() == OK) {
            try {
                String state = Json.parse(answer.body()).path("state").asText();
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

    private static UpstreamResult answer(BufferedResponse answer) {
        if (answer.status() >= SERVER_ERROR) {
            return answer.reportsNotRun()
                    ? new UpstreamResult.Refused(answer.summary())
                    : new UpstreamResult.Failed(answer.status(), answer.summary());
        }
        return new UpstreamResult.Responded(answer.status(), answer.contentType(), answer.body());
    }

    private static KeyQueryResult keyState(BufferedResponse answer) {
        if (answer.status() == NOT_FOUND) {
            return new KeyQueryResult.UnknownKey();
        }
        if (answer.status() != OK) {
            return new KeyQueryResult.NoResponse(answer.summary());
        }
        try {
            JsonNode tree = Json.parse(answer.body());
            if (!tree.path("state").asText().equals("done")) {
                return new KeyQueryResult.Running();
            }
            JsonNode body = tree.path("body");
            return new KeyQueryResult.Done(
                    tree.path("status").asInt(OK), body.isTextual() ? body.textValue() : body.toString());
        } catch (MalformedMessageException e) {
            return new KeyQueryResult.NoResponse("unreadable answer: " + e.getMessage());
        }
    }
}
