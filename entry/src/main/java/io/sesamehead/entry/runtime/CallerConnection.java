package io.sesamehead.entry.runtime;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.sesamehead.coordination.catalog.CallLimits;
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Optional;

/** One caller's connection: reads requests whole, runs them one at a time in order, and writes their answers. */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Requests that a caller may send ahead of their turn. */
    private static final int MAX_PIPELINED = 16;

    private final Callers callers;
    private final ArrayDeque<CallRequest> waiting = new ArrayDeque<>();
    private Channel channel;
    private HttpRequest head;
    private ByteArrayOutputStream body;
    private long headAtMillis;
    private long lastActivityMillis;
    private long partialSinceMillis = -1;
    private boolean busy;
    private boolean refusedRest;
    private Optional<ForwardedCall> call = Optional.empty();
    private Answer current;

    CallerConnection(Callers callers) {
        this.callers = callers;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        lastActivityMillis = callers.nowMillis();
        callers.opened(this);
    }

    /** Marks bytes that arrive before a request is complete; called ahead of the decoder. */
    void onBytes() {
        lastActivityMillis = callers.nowMillis();
        if (!busy && partialSinceMillis < 0) {
            partialSinceMillis = lastActivityMillis;
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (refusedRest) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            refuseMalformed(message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpRequest request) {
            beginRequest(request);
        }
        if (message instanceof HttpContent content && head != null) {
            takeBody(content);
        }
    }

    private void beginRequest(HttpRequest request) {
        head = request;
        headAtMillis = callers.nowMillis();
        body = new ByteArrayOutputStream();
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void takeBody(HttpContent content) {
        ByteBuf data = content.content();
        CallLimits limits = callers.limits();
        if (body.size() + data.readableBytes() > limits.bodyBytes()) {
            refuseAndClose(AnswerKind.BODY_TOO_LARGE);
            return;
        }
        if (data.isReadable()) {
            byte[] bytes = new byte[data.readableBytes()];
            data.readBytes(bytes);
            body.write(bytes, 0, bytes.length);
        }
        if (content instanceof LastHttpContent) {
            endRequest();
        }
    }

    private void endRequest() {
        HttpRequest request = head;
        head = null;
        partialSinceMillis = -1;
        boolean hasBody = body.size() > 0
                || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || HttpUtil.isTransferEncodingChunked(request);
        waiting.add(new CallRequest(
                request.method(), request.uri(), request.headers(), body.toByteArray(), hasBody, headAtMillis));
        if (waiting.size() >= MAX_PIPELINED) {
            channel.config().setAutoRead(false);
        }
        // The caller may have closed while its request waited in the socket. The socket is read to its end before tasks
        // run.
        channel.eventLoop().execute(this::runNext);
    }

    private void runNext() {
        while (!busy && !waiting.isEmpty() && channel.isActive()) {
            CallRequest request = waiting.poll();
            channel.config().setAutoRead(true);
            busy = true;
            current = new Answer(keepAlive(request));
            if (callers.refusing()) {
                callers.answer(current, AnswerKind.STOPPING);
                continue;
            }
            Optional<ForwardedCall> started = callers.router().route(request, current);
            call = busy ? started : Optional.empty();
        }
    }

    private static boolean keepAlive(CallRequest request) {
        return !request.headers().containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    }

    private void refuseMalformed(Throwable cause) {
        AnswerKind kind = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException
                ? AnswerKind.HEAD_TOO_LARGE
                : AnswerKind.BAD_REQUEST;
        refuseAndClose(kind);
    }

    /** Answers a request that cannot be read to its end; what follows on the connection has no known framing. */
    private void refuseAndClose(AnswerKind kind) {
        refusedRest = true;
        head = null;
        if (busy) {
            // The answer of the earlier request ends the connection.
            current.closeAfter();
            return;
        }
        busy = true;
        current = new Answer(false);
        callers.answer(current, kind);
    }

    /** Closes the connection if it has been idle, or has kept an unfinished request, for too long. */
    void sweep(long nowMillis, CallLimits limits, boolean stopping, long idleCloseMillis) {
        if (channel == null || busy) {
            return;
        }
        boolean slow = partialSinceMillis >= 0 && nowMillis - lastActivityMillis > limits.headerMillis();
        if (slow) {
            refuseAndClose(AnswerKind.SLOW_REQUEST);
            return;
        }
        long limit = stopping ? idleCloseMillis : limits.idleMillis();
        if (partialSinceMillis < 0 && nowMillis - lastActivityMillis > limit) {
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        callers.closed(this);
        waiting.clear();
        call.ifPresent(ForwardedCall::abandon);
        call = Optional.empty();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        call.ifPresent(open -> open.onWritable(channel.isWritable()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        callers.failed(cause);
        context.close();
    }

    private void answerEnded(boolean keepOpen) {
        busy = false;
        call = Optional.empty();
        lastActivityMillis = callers.nowMillis();
        if (keepOpen) {
            // The loop that started a call answered at once continues by itself.
            channel.eventLoop().execute(this::runNext);
        }
    }

    /** The answer to one request. */
    private final class Answer implements Responder {
        private boolean keepOpen;
        private boolean over;

        Answer(boolean keepOpen) {
            this.keepOpen = keepOpen;
        }

        void closeAfter() {
            keepOpen = false;
        }

        @Override
        public void answer(HttpResponseStatus status, HttpHeaders headers, byte[] bytes) {
            if (over) {
                return;
            }
            over = true;
            frame(headers);
            headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            write(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    status,
                    Unpooled.wrappedBuffer(bytes),
                    headers,
                    DefaultHttpHeadersFactory.trailersFactory().newHeaders()));
        }

        @Override
        public void begin(HttpResponseStatus status, HttpHeaders headers) {
            frame(headers);
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            channel.writeAndFlush(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
        }

        @Override
        public boolean part(byte[] bytes) {
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
            return channel.isWritable();
        }

        @Override
        public void end() {
            if (over) {
                return;
            }
            over = true;
            write(new DefaultLastHttpContent());
        }

        @Override
        public void breakOff() {
            if (over) {
                return;
            }
            over = true;
            answerEnded(false);
            channel.close();
        }

        private void frame(HttpHeaders headers) {
            keepOpen = keepOpen && !callers.stopping() && !refusedRest;
            if (!keepOpen) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
        }

        private void write(HttpObject last) {
            var written = channel.writeAndFlush(last);
            if (!keepOpen) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
            answerEnded(keepOpen);
        }
    }
}
