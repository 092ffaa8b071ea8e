package io.sesamehead.daemon.transport;

import io.sesamehead.daemon.protocol.CompletionEvent;
import io.sesamehead.daemon.protocol.CompletionRequest;
import io.sesamehead.daemon.protocol.EngineCodec;
import io.sesamehead.daemon.protocol.EngineOrder;
import io.sesamehead.daemon.protocol.EngineStatus;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.protocol.MalformedMessageException;
import io.sesamehead.state.Incarnation;
import io.sesamehead.state.RequestId;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.apache.hc.client5.http.classic.methods.HttpDelete;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;

/** Client of the model engines. All calls block; none is retried. */
public final class EngineClient implements AutoCloseable {
    private static final int OK = 200;
    private static final int PRECONDITION_FAILED = 412;
    private static final String DATA_PREFIX = "data:";
    private static final String DONE = "[DONE]";

    private final PooledHttpClient http;

    /**
     * Creates a client; no connection is opened yet.
     *
     * @param maxConnections maximum total number of connections
     * @param maxPerEngine maximum number of connections to one engine
     * @param connectTimeout timeout for opening a connection
     */
    public EngineClient(int maxConnections, int maxPerEngine, Duration connectTimeout) {
        this.http = new PooledHttpClient(maxConnections, maxPerEngine, connectTimeout);
    }

    /**
     * Reads the status of an engine.
     *
     * @param address {@code ip:port} of the engine
     * @param timeout timeout of the whole call
     * @return the status, or the reason why it could not be read
     */
    public EngineStatusResult status(String address, Duration timeout) {
        ExchangeResult<BufferedResponse> exchange =
                http.exchange(new HttpGet("http://" + address + "/control/status"), timeout, BufferedResponse::read);
        return switch (exchange) {
            case ExchangeResult.Completed<BufferedResponse>(BufferedResponse response) -> statusOf(response);
            case ExchangeResult.NotSent<BufferedResponse>(String detail, boolean refused) ->
                new EngineStatusResult.NoResponse(detail);
            case ExchangeResult.Broken<BufferedResponse>(String detail, boolean expired) ->
                new EngineStatusResult.NoResponse(detail);
            case ExchangeResult.Cancelled<BufferedResponse>() -> new EngineStatusResult.NoResponse("cancelled");
        };
    }

    /**
     * Sends a control order.
     *
     * @param address {@code ip:port} of the engine
     * @param order the order
     * @param timeout timeout of the whole call
     * @param gate checked immediately before the first byte is sent
     * @return the result of the order
     */
    public OrderResult order(String address, EngineOrder order, Duration timeout, SendGate gate) {
        HttpPost request = new HttpPost("http://" + address + "/control/orders");
        request.setEntity(new ByteArrayEntity(Json.bytes(EngineCodec.encode(order)), ContentType.APPLICATION_JSON));
        ExchangeResult<BufferedResponse> exchange =
                http.exchange(request, timeout, new Cancellation(), gate, BufferedResponse::read);
        return switch (exchange) {
            case ExchangeResult.Completed<BufferedResponse>(BufferedResponse response) -> orderResult(response);
            case ExchangeResult.NotSent<BufferedResponse>(String detail, boolean refused) ->
                new OrderResult.NotSent(detail);
            case ExchangeResult.Broken<BufferedResponse>(String detail, boolean expired) ->
                new OrderResult.Unknown(detail);
            case ExchangeResult.Cancelled<BufferedResponse>() -> new OrderResult.Unknown("cancelled");
        };
    }

    /**
     * Runs one attempt of a completion and passes its tokens to a sink as they arrive.
     *
     * @param address {@code ip:port} of the head of the group
     * @param completion the completion request
     * @param deadline time remaining for the whole attempt
     * @param cancellation cancels the attempt
     * @param gate checked immediately before the first byte is sent
     * @param sink receives the tokens on the calling thread
     * @return the result of the attempt
     */
    public UpstreamResult complete(
            String address,
            CompletionRequest completion,
            Duration deadline,
            Cancellation cancellation,
            SendGate gate,
            TokenSink sink) {
        HttpPost request = new HttpPost("http://" + address + "/v1/completions");
        request.setHeader("X-Client-Account", completion.account().value());
        request.setEntity(
                new ByteArrayEntity(Json.bytes(EngineCodec.encode(completion)), ContentType.APPLICATION_JSON));
        ExchangeResult<UpstreamResult> exchange = http.exchange(
                request, deadline, cancellation, gate, response -> readCompletion(response, cancellation, sink));
        return UpstreamResultMapper.fromExchange(exchange, address);
    }

    /**
     * Sends the cancellation of a request to an engine. The result is ignored: an engine that does not respond has lost the
     * request anyway.
     *
     * @param address {@code ip:port} of the engine
     * @param request identifier of the request
     * @param timeout timeout of the whole call
     */
    public void cancel(String address, RequestId request, Duration timeout) {
        String id = URLEncoder.encode(request.value(), StandardCharsets.UTF_8).replace("+", "%20");
        http.exchange(new HttpDelete("http://" + address + "/v1/requests/" + id), timeout, BufferedResponse::read);
    }

    /**
     * Determines whether an engine process has ended.
     *
     * @param address {@code ip:port} of the engine
     * @param incarnation incarnation of the process in question
     * @param timeout timeout of the whole call
     * @return the state of that process
     */
    public ProcessState processState(String address, Incarnation incarnation, Duration timeout) {
        ExchangeResult<BufferedResponse> exchange =
                http.exchange(new HttpGet("http://" + address + "/control/status"), timeout, BufferedResponse::read);
        if (exchange instanceof ExchangeResult.Completed<BufferedResponse>(BufferedResponse response)
                && statusOf(response) instanceof EngineStatusResult.Received(EngineStatus status)) {
            boolean same = status.report().engine().equals(incarnation);
            return same ? ProcessState.RUNS : ProcessState.ENDED;
        }
        boolean refused =
                exchange instanceof ExchangeResult.NotSent<BufferedResponse> notSent && notSent.connectionRefused();
        return refused ? ProcessState.ENDED : ProcessState.UNKNOWN;
    }

    @Override
    public void close() {
        http.close();
    }

    private static EngineStatusResult statusOf(BufferedResponse response) {
        if (response.status() != OK) {
            return new EngineStatusResult.NoResponse(response.summary());
        }
        try {
            return new EngineStatusResult.Received(EngineCodec.decodeStatus(Json.parse(response.body())));
        } catch (MalformedMessageException e) {
            return new EngineStatusResult.NoResponse("malformed status: " + e.getMessage());
        }
    }

    private static OrderResult orderResult(BufferedResponse response) {
        if (response.status() == PRECONDITION_FAILED) {
            return new OrderResult.Fenced(response.summary());
        }
        if (response.status() != OK) {
            return new OrderResult.Refused(response.status(), response.summary());
        }
        try {
            EngineStatus status = EngineCodec.decodeStatus(Json.parse(response.body()));
            return new OrderResult.Accepted(status);
        } catch (MalformedMessageException e) {
            return new OrderResult.Unknown("malformed status: " + e.getMessage());
        }
    }

    private static UpstreamResult readCompletion(
            ClassicHttpResponse response, Cancellation cancellation, TokenSink sink) throws IOException {
        if (response.getCode() != OK) {
            BufferedResponse error = BufferedResponse.read(response);
            return error.reportsNotRun()
                    ? new UpstreamResult.Refused(error.summary())
                    : new UpstreamResult.Failed(error.status(), error.summary());
        }
        BufferedReader lines =
                new BufferedReader(new InputStreamReader(response.getEntity().getContent(), StandardCharsets.UTF_8));
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            if (!line.startsWith(DATA_PREFIX)) {
                continue;
            }
            CompletionEvent event = decode(line.substring(DATA_PREFIX.length()).strip());
            switch (event) {
                case CompletionEvent.End(int count, String finish) -> {
                    skipToEnd(lines);
                    return new UpstreamResult.Finished(count, finish);
                }
                case CompletionEvent.Token(int index, String text) -> {
                    if (!sink.accept(index, text)) {
                        cancellation.cancel();
                        throw new IOException("the token sink ended the stream");
                    }
                }
            }
        }
        throw new IOException("the stream ended without an end marker");
    }

    private static CompletionEvent decode(String data) throws IOException {
        if (data.equals(DONE)) {
            throw new IOException("the stream ended without an end marker");
        }
        try {
            return EngineCodec.decodeEvent(data);
        } catch (MalformedMessageException e) {
            throw new IOException("malformed event: " + e.getMessage(), e);
        }
    }

    /** Reads the remainder after the end marker so that the connection can be reused. Errors no longer matter. */
    private static void skipToEnd(BufferedReader lines) {
        try {
            String line = lines.readLine();
            while (line != null) {
                line = lines.readLine();
            }
        } catch (IOException e) {
            // The completion is already complete.
            return;
        }
    }
}
