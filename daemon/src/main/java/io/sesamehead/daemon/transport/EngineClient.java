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

/** Client of the model engines. All calls block; nothing is repeated. */
public final class EngineClient implements AutoCloseable {
    private static final int OK = 200;
    private static final int PRECONDITION_FAILED = 412;
    private static final String DATA_PREFIX = "data:";
    private static final String DONE = "[DONE]";

    private final PooledHttpClient http;

    /**
     * Creates a client; no connection is opened yet.
     *
     * @param maxConnections most connections in all
     * @param maxPerEngine most connections to one engine
     * @param connectTimeout longest time to open a connection
     */
    public EngineClient(int maxConnections, int maxPerEngine, Duration connectTimeout) {
        this.http = new PooledHttpClient(maxConnections, maxPerEngine, connectTimeout);
    }

    /**
     * Reads the status of an engine.
     *
     * @param address {@code ip:port} of the engine
     * @param timeout longest time of the call
     * @return the status, or why there is none
     */
    public EngineStatusResult status(String address, Duration timeout) {
        ExchangeResult<BufferedResponse> exchange =
                http.exchange(new HttpGet("http://" + address + "/control/status"), timeout, BufferedResponse::read);
        return switch (exchange) {
            case ExchangeResult.Completed<BufferedResponse>(BufferedResponse answer) -> statusOf(answer);
            case ExchangeResult.NotSent<BufferedResponse>(String detail, boolean refused) -> new EngineStatusResult.NoResponse(detail);
            case ExchangeResult.Broken<BufferedResponse>(String detail, boolean expired) -> new EngineStatusResult.NoResponse(detail);
            case ExchangeResult.Cancelled<BufferedResponse>() -> new EngineStatusResult.NoResponse("cancelled");
        };
    }

    /**
     * Sends a control order.
     *
     * @param address {@code ip:port} of the engine
     * @param order the order
     * @param timeout longest time of the call
     * @param gate asked immediately before the first byte is sent
     * @return what is known of the order
     */
    public OrderResult order(String address, EngineOrder order, Duration timeout, SendGate gate) {
        HttpPost request = new HttpPost("http://" + address + "/control/orders");
        request.setEntity(new ByteArrayEntity(Json.bytes(EngineCodec.encode(order)), ContentType.APPLICATION_JSON));
        ExchangeResult<BufferedResponse> exchange = http.exchange(request, timeout, new Cancellation(), gate, BufferedResponse::read);
        return switch (exchange) {
            case ExchangeResult.Completed<BufferedResponse>(BufferedResponse answer) -> orderAnswer(answer);
            case ExchangeResult.NotSent<BufferedResponse>(String detail, boolean refused) -> new OrderResult.NotSent(detail);
            case ExchangeResult.Broken<BufferedResponse>(String detail, boolean expired) -> new OrderResult.Unknown(detail);
            case ExchangeResult.Cancelled<BufferedResponse>() -> new OrderResult.Unknown("cancelled");
        };
    }

    /**
     * Runs one attempt of a completion and hands its tokens to a sink as they arrive.
     *
     * @param address {@code ip:port} of the head of the group
     * @param completion the completion
     * @param deadline time left for the whole attempt
     * @param cancellation ends the attempt early
     * @param gate asked immediately before the first byte is sent
     * @param sink takes the tokens on the calling thread
     * @return how the attempt ended
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
     * Asks an engine to stop a request. The result does not matter: an engine that does not answer has lost it anyway.
     *
     * @param address {@code ip:port} of the engine
     * @param request the request
     * @param timeout longest time of the call
     */
    public void cancel(String address, RequestId request, Duration timeout) {
        String id = URLEncoder.encode(request.value(), StandardCharsets.UTF_8).replace("+", "%20");
        http.exchange(new HttpDelete("http://" + address + "/v1/requests/" + id), timeout, BufferedResponse::read);
    }

    /**
     * Finds out whether the process of an engine has ended.
     *
     * @param address {@code ip:port} of the engine
     * @param incarnation the incarnation that was there before
     * @param timeout longest time of the call
     * @return what is known of that process
     */
    public ProcessState processState(String address, Incarnation incarnation, Duration timeout) {
        ExchangeResult<BufferedResponse> exchange =
                http.exchange(new HttpGet("http://" + address + "/control/status"), timeout, BufferedResponse::read);
        if (exchange instanceof ExchangeResult.Completed<BufferedResponse>(BufferedResponse answer)
                && statusOf(answer) instanceof EngineStatusResult.Received(EngineStatus status)) {
            boolean same = status.report().engine().equals(incarnation);
            return same ? ProcessState.RUNS : ProcessState.ENDED;
        }
        boolean refused = exchange instanceof ExchangeResult.NotSent<BufferedResponse> notSent && notSent.connectionRefused();
        return refused ? ProcessState.ENDED : ProcessState.UNKNOWN;
    }

    @Override
    public void close() {
        http.close();
    }

    private static EngineStatusResult statusOf(BufferedResponse answer) {
        if (answer.status() != OK) {
            return new EngineStatusResult.NoResponse(answer.summary());
        }
        try {
            return new EngineStatusResult.Received(EngineCodec.decodeStatus(Json.parse(answer.body())));
        } catch (MalformedMessageException e) {
            return new EngineStatusResult.NoResponse("unreadable status: " + e.getMessage());
        }
    }

    private static OrderResult orderAnswer(BufferedResponse answer) {
        if (answer.status() == PRECONDITION_FAILED) {
            return new OrderResult.Fenced(answer.summary());
        }
        if (answer.status() != OK) {
            return new OrderResult.Refused(answer.status(), answer.summary());
        }
        try {
            EngineStatus status = EngineCodec.decodeStatus(Json.parse(answer.body()));
            return new OrderResult.Accepted(status);
        } catch (MalformedMessageException e) {
            return new OrderResult.Unknown("unreadable status: " + e.getMessage());
        }
    }

    private static UpstreamResult readCompletion(
            ClassicHttpResponse response, Cancellation cancellation, TokenSink sink) throws IOException {
        if (response.getCode() != OK) {
            BufferedResponse answer = BufferedResponse.read(response);
            return answer.reportsNotRun()
                    ? new UpstreamResult.Refused(answer.summary())
                    : new UpstreamResult.Failed(answer.status(), answer.summary());
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
                        throw new IOException("the receiver of the stream ended it");
                    }
                }
            }
        }
        throw new IOException("the stream ended without its end marker");
    }

    private static CompletionEvent decode(String data) throws IOException {
        if (data.equals(DONE)) {
            throw new IOException("the stream ended without its end marker");
        }
        try {
            return EngineCodec.decodeEvent(data);
        } catch (MalformedMessageException e) {
            throw new IOException("unreadable event: " + e.getMessage(), e);
        }
    }

    /** Reads the rest after the end marker so that the connection can be used again; its loss no longer matters. */
    private static void skipToEnd(BufferedReader lines) {
        try {
            String line = lines.readLine();
            while (line != null) {
                line = lines.readLine();
            }
        } catch (IOException e) {
            // The answer is complete without the rest.
            return;
        }
    }
}
