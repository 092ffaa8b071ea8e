package io.sesamehead.entry.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.sesamehead.state.Endpoint;
import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** Sends small requests to the store and to upstreams and buffers the whole response. Confined to the event loop. */
public final class ControlClient {
    private final HttpConnectionPool clients;

    /**
     * Creates a client.
     *
     * @param clients connection pool
     */
    public ControlClient(HttpConnectionPool clients) {
        this.clients = clients;
    }

    /** The outcome of a request. */
    public sealed interface Result {
        /**
         * A complete response.
         *
         * @param status HTTP status
         * @param headers response headers
         * @param body response body
         */
        record Response(int status, HttpHeaders headers, byte[] body) implements Result {}

        /**
         * No complete response was received.
         *
         * @param sent whether any byte of the request may have reached the peer
         * @param reason cause of the failure
         */
        record Failure(boolean sent, String reason) implements Result {}
    }

    /**
     * A request.
     *
     * @param method HTTP method
     * @param target path and query
     * @param headers headers other than host and framing
     * @param body request body, empty for none
     * @param timeoutMillis timeout for the complete response, in milliseconds
     */
    public record Request(
            HttpMethod method, String target, Map<String, String> headers, byte[] body, long timeoutMillis) {}

    /**
     * Sends a request.
     *
     * @param peer the peer
     * @param request the request
     * @param done receives the result
     */
    public void send(Endpoint peer, Request request, Consumer<Result> done) {
        send(peer, request, head -> true, done);
    }

    /**
     * Sends a request to a peer that may write a late response to an earlier request before its own.
     *
     * @param peer the peer
     * @param request the request
     * @param belongs whether a response on a connection that has carried other requests may belong to this one
     * @param done receives the result
     */
    public void send(Endpoint peer, Request request, Predicate<HttpResponse> belongs, Consumer<Result> done) {
        Collector collector = new Collector(belongs, done);
        collector.exchange = clients.send(peer, encode(peer, request), HttpConnectionPool.Freshness.ANY, collector);
        collector.exchange.failAfter(request.timeoutMillis());
    }

    private static FullHttpRequest encode(Endpoint peer, Request request) {
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.target(), Unpooled.wrappedBuffer(request.body()));
        message.headers().set(HttpHeaderNames.HOST, peer.toString());
        request.headers().forEach(message.headers()::set);
        if (request.body().length > 0) {
            message.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return message;
    }

    private static final class Collector implements ExchangeListener {
        private final Predicate<HttpResponse> belongs;
        private final Consumer<Result> done;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private HttpConnectionPool.Exchange exchange;
        private int status;
        private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;
        private boolean ended;

        Collector(Predicate<HttpResponse> belongs, Consumer<Result> done) {
            this.belongs = belongs;
            this.done = done;
        }

        @Override
        public Optional<String> requestId() {
            return Optional.empty();
        }

        @Override
        public boolean accepts(HttpResponse head, boolean onlyRequest) {
            return onlyRequest || belongs.test(head);
        }

        @Override
        public void onHead(HttpResponse head) {
            status = head.status().code();
            headers = head.headers();
        }

        @Override
        public void onContent(ByteBuf data) {
            byte[] bytes = ByteBufUtil.getBytes(data);
            body.write(bytes, 0, bytes.length);
        }

        @Override
        public void onEnd() {
            end(new Result.Response(status, headers, body.toByteArray()));
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            end(new Result.Failure(sent, reason));
        }

        private void end(Result result) {
            if (ended) {
                return;
            }
            ended = true;
            if (exchange != null) {
                exchange.clearTimeout();
            }
            done.accept(result);
        }
    }
}
