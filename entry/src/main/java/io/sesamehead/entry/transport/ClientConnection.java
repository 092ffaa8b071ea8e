package io.sesamehead.entry.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/** A connection to a peer that carries one request at a time. Confined to the event loop. */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Maximum number of responses to other requests to skip: an upstream occasionally sends a late duplicate. */
    private static final int MAX_SKIPPED_RESPONSES = 16;
    /** Maximum number of request ids to remember: a duplicate arrives with one of the next responses. */
    private static final int MAX_REQUEST_IDS = 64;
    /** Maximum total body size of skipped responses in bytes, far above the size of one late duplicate. */
    private static final long MAX_SKIPPED_BYTES = 1_048_576;

    private static final int MIN_FINAL_STATUS = 200;
    private static final int MAX_FINAL_STATUS = 599;

    private final ResponseDecoder decoder;
    private final Consumer<ClientConnection> onIdle;
    private final Consumer<ClientConnection> onClosed;
    private Channel channel;
    private ExchangeListener listener;
    /** Receives the end of the present read, even if its exchange ends within the read. */
    private ExchangeListener readListener;

    private final ArrayDeque<String> requestIds = new ArrayDeque<>();
    private long requestsSent;
    private boolean accepted;
    private boolean skipping;
    private boolean skippedResponseCloses;
    private int skippedResponses;
    private long skippedBytes;
    private boolean keepAlive;
    private boolean failed;
    private long keepAliveMillis;
    private long idleSinceMillis;

    ClientConnection(ResponseDecoder decoder, Consumer<ClientConnection> onIdle, Consumer<ClientConnection> onClosed) {
        this.decoder = decoder;
        this.onIdle = onIdle;
        this.onClosed = onClosed;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    boolean isUsable() {
        return channel != null && channel.isActive() && listener == null && !failed;
    }

    long idleSinceMillis() {
        return idleSinceMillis;
    }

    /** Returns the peer's keep-alive timeout in milliseconds, or 0 if not stated. */
    long keepAliveMillis() {
        return keepAliveMillis;
    }

    void markIdle(long nowMillis) {
        idleSinceMillis = nowMillis;
    }

    void send(FullHttpRequest request, ExchangeListener exchange) {
        listener = exchange;
        requestsSent++;
        exchange.requestId().ifPresent(this::rememberId);
        accepted = false;
        skipping = false;
        skippedResponses = 0;
        skippedBytes = 0;
        keepAlive = HttpUtil.isKeepAlive(request);
        decoder.expectResponse(request.method().equals(HttpMethod.HEAD));
        channel.writeAndFlush(request).addListener(written -> {
            if (!written.isSuccess()) {
                fail("write failed: " + written.cause());
            }
        });
    }

    private void rememberId(String requestId) {
        if (requestIds.size() == MAX_REQUEST_IDS) {
            requestIds.removeFirst();
        }
        requestIds.addLast(requestId);
    }

    /** Returns whether a response to an earlier request here could not be told from one to a request with this id. */
    boolean isAmbiguousFor(String requestId) {
        return requestId.isEmpty() || requestIds.contains(requestId);
    }

    void setAutoRead(boolean autoRead) {
        channel.config().setAutoRead(autoRead);
    }

    void close() {
        listener = null;
        failed = true;
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (failed) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            failToDecode(message.decoderResult().cause());
            return;
        }
        if (listener == null) {
            close();
            return;
        }
        if (message instanceof HttpResponse head) {
            receiveHead(head);
        }
        if (message instanceof HttpContent content) {
            receiveContent(content);
        }
    }

    private void receiveHead(HttpResponse head) {
        boolean interim = isInterim(head);
        if (!interim && !isFinal(head)) {
            failAsFaulty("response with invalid status " + head.status().code());
            return;
        }
        skipping = interim || !listener.accepts(head, requestsSent == 1);
        if (skipping) {
            skippedResponseCloses = !interim && !HttpUtil.isKeepAlive(head);
            skippedResponses++;
            failIfSkippedTooMuch();
            return;
        }
        accepted = true;
        readListener = listener;
        keepAlive = keepAlive && HttpUtil.isKeepAlive(head);
        keepAliveMillis = KeepAliveHeader.timeoutMillis(head.headers());
        listener.onHead(head);
    }

    /** Whether another response follows. 101 ends the protocol of the connection, and no request asks for that. */
    private static boolean isInterim(HttpResponse head) {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && !head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }

    /** Whether the status is that of a final response; an upstream in trouble has sent others, such as 000. */
    private static boolean isFinal(HttpResponse head) {
        int code = head.status().code();
        return code >= MIN_FINAL_STATUS && code <= MAX_FINAL_STATUS;
    }

    private void receiveContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            skippedBytes += content.content().readableBytes();
            failIfSkippedTooMuch();
            if (last && skippedResponseCloses) {
                fail("connection ends after a response to another request");
            }
            return;
        }
        if (!accepted || listener == null) {
            return;
        }
        ByteBuf data = content.content();
        readListener = listener;
        if (data.isReadable()) {
            listener.onContent(data);
        }
        if (last && listener != null) {
            finish();
        }
    }

    private void failIfSkippedTooMuch() {
        if (skippedResponses > MAX_SKIPPED_RESPONSES || skippedBytes > MAX_SKIPPED_BYTES) {
            failAsFaulty("too many responses to other requests");
        }
    }

    private void finish() {
        ExchangeListener done = listener;
        listener = null;
        boolean reusable = keepAlive && channel.isActive() && !decoder.hasUndecodedBytes();
        if (reusable) {
            channel.config().setAutoRead(true);
            onIdle.accept(this);
        } else {
            close();
        }
        done.onEnd();
    }

    /**
     * Tells the end of the read. Closes an idle connection on which a part of a response has arrived: it would be joined
     * to the next response.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        endRead();
        if (listener == null && decoder.hasUndecodedBytes()) {
            close();
        }
    }

    private void endRead() {
        ExchangeListener reader = readListener;
        readListener = null;
        if (reader != null) {
            reader.onReadComplete();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onClosed.accept(this);
        fail("connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail("connection failed: " + cause.getMessage());
    }

    /** A head that ends with its connection may be that of an upstream that has crashed; other bytes show that it lives. */
    private void failToDecode(Throwable cause) {
        if (cause instanceof PrematureChannelClosureException) {
            fail("connection closed within a response: " + cause.getMessage());
        } else {
            failAsFaulty("malformed response: " + cause.getMessage());
        }
    }

    private void failAsFaulty(String reason) {
        endRead();
        ExchangeListener open = listener;
        close();
        if (open != null) {
            open.onFaultyResponse(reason);
        }
    }

    /** Reports a failure at most once. The decoder may still emit an end of the response, which must be ignored. */
    private void fail(String reason) {
        endRead();
        ExchangeListener open = listener;
        close();
        if (open != null) {
            open.onFailure(true, reason);
        }
    }
}
