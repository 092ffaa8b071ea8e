package io.sesamehead.entry.runtime;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
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
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.sesamehead.coordination.catalog.CallLimits;
import io.sesamehead.coordination.catalog.IdlePeriod;
import io.sesamehead.entry.transport.ChunkedBody;
import io.sesamehead.entry.transport.RequestHeadSize;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.OptionalLong;

/** One connection of a caller: buffers complete requests, runs them one at a time in order and writes the responses. */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** Maximum number of pipelined requests; reading from the connection pauses when it is reached. */
    private static final int MAX_PIPELINED_REQUESTS = 16;

    /** Maximum number of bytes read and discarded after the last request of a connection. */
    private static final long MAX_DISCARDED_BYTES = 16_777_216;
    /** Maximum time to wait for the caller's close after the last response, in milliseconds. */
    private static final long CALLER_CLOSE_TIMEOUT_MILLIS = 1_000;

    private static final String KEEP_ALIVE = "Keep-Alive";
    private static final long MILLIS_PER_SECOND = 1_000;

    private final CallerServer server;
    private final ArrayDeque<CallRequest> pendingRequests = new ArrayDeque<>();
    private Channel channel;
    private ChannelHandlerContext codec;
    private HttpRequest head;
    private ByteArrayOutputStream body;
    private long headArrivedAtMillis;
    /** Limits in force when the request that is being read began. */
    private CallLimits limitsAtBegin = CallLimits.DEFAULT;

    private final RequestHeadSize headSize = new RequestHeadSize();

    private long lastActivityMillis;
    private IdlePeriod idlePeriod;
    private long partialSinceMillis = -1;
    private boolean continueExpected;
    private boolean responding;
    /** Whether the last request of the connection has been read; later input is discarded. */
    private boolean inputEnded;
    /** Response to a request that could not be read completely. */
    private Optional<ErrorResponse> rejection = Optional.empty();
    /** Whether the current or last response closes the connection; no further request is run. */
    private boolean closing;

    private long discardedBytes;
    private long outputEndedAtMillis = -1;
    private Optional<ChannelFuture> lastWrite = Optional.empty();
    private Optional<ForwardedCall> call = Optional.empty();
    private CloseReason closeReason = CloseReason.OTHER;

    CallerConnection(CallerServer server) {
        this.server = server;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        codec = context.pipeline().context(HttpServerCodec.class);
        lastActivityMillis = server.nowMillis();
        idlePeriod = new IdlePeriod(lastActivityMillis, server.limits().idleTimeoutMillis());
        server.add(this);
    }

    /**
     * Records when bytes arrive, and when an incomplete request began. Called before the decoder.
     *
     * @param byteCount number of bytes
     * @return whether to decode the bytes; otherwise they are discarded
     */
    boolean onBytesReceived(int byteCount) {
        if (inputEnded) {
            onBytesDiscarded(byteCount);
            return false;
        }
        lastActivityMillis = server.nowMillis();
        if (!responding && partialSinceMillis < 0) {
            partialSinceMillis = lastActivityMillis;
        }
        if (head == null && headSize.isEmpty()) {
            limitsAtBegin = server.limits();
        }
        if (headSize.isIncompleteHeadTooLarge(requestLimits().maxHeaderBytes())) {
            rejectTooLarge(ErrorResponse.HEAD_TOO_LARGE);
            return false;
        }
        headSize.recordReceived(byteCount);
        return true;
    }

    /** Returns the limits of the request that is being read: those at its begin or the present ones, as it may know both. */
    private CallLimits requestLimits() {
        return limitsAtBegin.mostGenerous(server.limits());
    }

    /** Bytes that stay unread turn the close into a reset, which may destroy the last response on its way. */
    private void onBytesDiscarded(int byteCount) {
        discardedBytes += byteCount;
        if (discardedBytes <= MAX_DISCARDED_BYTES) {
            return;
        }
        if (outputEndedAtMillis >= 0) {
            channel.close();
        } else {
            channel.config().setAutoRead(false);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (inputEnded) {
            return;
        }
        headSize.recordDecoded();
        if (message.decoderResult().isFailure()) {
            rejectMalformed(message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpRequest request) {
            beginRequest(request);
        }
        if (message instanceof HttpContent content && head != null) {
            appendBody(content);
        }
    }

    private void beginRequest(HttpRequest request) {
        head = request;
        headArrivedAtMillis = server.nowMillis();
        body = new ByteArrayOutputStream();
        if (RequestHeadSize.isTooLarge(request, requestLimits().maxHeaderBytes())) {
            rejectTooLarge(ErrorResponse.HEAD_TOO_LARGE);
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > requestLimits().maxBodyBytes()) {
            rejectTooLarge(ErrorResponse.BODY_TOO_LARGE);
            return;
        }
        continueExpected = HttpUtil.is100ContinueExpected(request);
        sendContinueIfDue();
    }

    /** Asks for the body of an incomplete request once all earlier requests have been answered. */
    private void sendContinueIfDue() {
        if (continueExpected && head != null && !responding && pendingRequests.isEmpty()) {
            continueExpected = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void appendBody(HttpContent content) {
        ByteBuf data = content.content();
        if (body.size() + data.readableBytes() > requestLimits().maxBodyBytes()) {
            rejectTooLarge(ErrorResponse.BODY_TOO_LARGE);
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
        byte[] bytes = body.toByteArray();
        // Otherwise a kept connection would hold the body while it is idle.
        body = null;
        boolean hasBody = bytes.length > 0
                || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || HttpUtil.isTransferEncodingChunked(request);
        pendingRequests.add(new CallRequest(
                request.method(), request.uri(), request.headers(), bytes, hasBody, headArrivedAtMillis));
        if (!keepAlive(request.headers())) {
            endInput();
        } else if (pendingRequests.size() >= MAX_PIPELINED_REQUESTS) {
            channel.config().setAutoRead(false);
        }
        // The caller may have closed the connection after the request. The event loop reads the socket until it is
        // empty before it runs tasks, so startNext sees the close.
        scheduleNext();
    }

    private void scheduleNext() {
        server.tasks().execute("next-request", this::startNext, channel::close);
    }

    private void startNext() {
        while (!responding && !closing && !pendingRequests.isEmpty() && channel.isActive()) {
            CallRequest request = pendingRequests.poll();
            channel.config().setAutoRead(true);
            responding = true;
            Response response = new Response(keepAlive(request.headers()));
            if (server.rejecting()) {
                server.sendError(response, ErrorResponse.STOPPING);
                continue;
            }
            Optional<ForwardedCall> started = server.router().route(request, response);
            call = responding ? started : Optional.empty();
        }
        if (responding || closing || !channel.isActive()) {
            return;
        }
        if (rejection.isPresent()) {
            responding = true;
            server.sendError(new Response(false), rejection.get());
        } else {
            sendContinueIfDue();
        }
    }

    private static boolean keepAlive(HttpHeaders headers) {
        return !headers.containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    }

    /** Reads on, so that a disconnect of the caller is noticed, but no further request. */
    private void endInput() {
        inputEnded = true;
        channel.config().setAutoRead(true);
    }

    private void endOutput() {
        if (discardedBytes <= MAX_DISCARDED_BYTES && channel instanceof DuplexChannel duplex) {
            outputEndedAtMillis = server.nowMillis();
            duplex.shutdownOutput();
        } else {
            channel.close();
        }
    }

    /** Closes a connection whose caller has not closed it after the last response. */
    void closeIfOutputEnded(long nowMillis) {
        if (outputEndedAtMillis >= 0 && nowMillis - outputEndedAtMillis > CALLER_CLOSE_TIMEOUT_MILLIS) {
            channel.close();
        }
    }

    private void rejectMalformed(Throwable cause) {
        ErrorResponse error = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException
                ? ErrorResponse.HEAD_TOO_LARGE
                : ErrorResponse.BAD_REQUEST;
        reject(error);
    }

    /**
     * Rejects a request that cannot be read completely, after the responses to the earlier ones. The rejection closes the
     * connection, because later bytes have no known framing.
     */
    private void reject(ErrorResponse error) {
        endInput();
        head = null;
        body = null;
        rejection = Optional.of(error);
        scheduleNext();
    }

    /** Rejects a request that exceeds a limit. Before the first configuration, the limits are not known. */
    private void rejectTooLarge(ErrorResponse error) {
        reject(server.hasConfiguration() ? error : ErrorResponse.NO_CONFIGURATION);
    }

    /** Rejects an incomplete request that stopped arriving. */
    void rejectIfSlow(long nowMillis) {
        boolean incomplete = head != null || partialSinceMillis >= 0;
        boolean slow = !responding
                && !inputEnded
                && incomplete
                && nowMillis - lastActivityMillis > requestLimits().headerTimeoutMillis();
        if (slow) {
            reject(ErrorResponse.SLOW_REQUEST);
        }
    }

    /** Rejects an incomplete request because the daemon is about to exit. */
    void rejectIncomplete() {
        boolean incomplete = head != null || partialSinceMillis >= 0;
        if (!inputEnded && incomplete) {
            reject(ErrorResponse.STOPPING);
        }
    }

    /**
     * Returns whether the connection has been idle for too long.
     *
     * @param nowMillis current time, in milliseconds
     * @param limits the limits in force
     * @param stoppingIdleMillis idle time after which a stopping daemon closes a connection, in milliseconds; empty if it
     *     is not stopping
     */
    boolean isIdleTooLong(long nowMillis, CallLimits limits, OptionalLong stoppingIdleMillis) {
        boolean requestOpen = responding || !pendingRequests.isEmpty() || head != null || partialSinceMillis >= 0;
        boolean written = lastWrite.stream().allMatch(ChannelFuture::isDone);
        if (channel == null || requestOpen || inputEnded || !written) {
            return false;
        }
        idlePeriod.raiseLimit(limits.idleTimeoutMillis());
        return stoppingIdleMillis.isPresent()
                ? idlePeriod.isLongerThan(stoppingIdleMillis.getAsLong(), nowMillis)
                : idlePeriod.hasExpired(nowMillis);
    }

    void closeIdle() {
        closeReason = CloseReason.IDLE;
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.remove(this);
        server.onConnectionClosed(closeReason, pendingRequests.size(), head != null || partialSinceMillis >= 0);
        pendingRequests.clear();
        call.ifPresent(ForwardedCall::cancel);
        call = Optional.empty();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        call.ifPresent(forwarded -> forwarded.onWritabilityChanged(channel.isWritable()));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        server.onConnectionFailure(cause);
        boolean connectionLost = cause instanceof IOException;
        if (connectionLost || inputEnded || channel == null) {
            context.close();
        } else {
            reject(ErrorResponse.INTERNAL_FAILURE);
        }
    }

    private void onResponseEnded(boolean keepAlive) {
        responding = false;
        call = Optional.empty();
        lastActivityMillis = server.nowMillis();
        if (keepAlive) {
            // A call that is answered immediately ends inside the loop of startNext, which then continues by itself.
            scheduleNext();
        }
    }

    /** Writes the response to one request. */
    private final class Response implements ResponseWriter {
        private boolean keepAlive;
        private boolean begun;
        private boolean ended;
        /** Limit for the idle period after the response, in milliseconds. */
        private long idleMillis;

        private final ChunkedBody chunkedBody = new ChunkedBody(codec);

        Response(boolean keepAlive) {
            this.keepAlive = keepAlive;
        }

        @Override
        public void send(HttpResponseStatus status, HttpHeaders headers, byte[] bytes) {
            if (begun) {
                abort();
            }
            if (ended) {
                return;
            }
            ended = true;
            setConnectionHeader(headers);
            headers.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            writeLast(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    status,
                    Unpooled.wrappedBuffer(bytes),
                    headers,
                    DefaultHttpHeadersFactory.trailersFactory().newHeaders()));
        }

        @Override
        public void sendOwn(HttpResponseStatus status, HttpHeaders headers, byte[] bytes, boolean notRun) {
            if (notRun && server.router().forPeers()) {
                headers.set(PeerTranslator.NOT_RUN, "1");
            }
            send(status, headers, bytes);
        }

        @Override
        public void whenWritten(Runnable action) {
            lastWrite.ifPresentOrElse(write -> write.addListener(written -> action.run()), action);
        }

        @Override
        public void begin(HttpResponseStatus status, HttpHeaders headers) {
            if (ended) {
                return;
            }
            begun = true;
            setConnectionHeader(headers);
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            channel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
        }

        @Override
        public boolean write(byte[] bytes) {
            if (!ended) {
                chunkedBody.write(bytes);
            }
            return channel.isWritable();
        }

        @Override
        public void flush() {
            chunkedBody.writeChunks();
            channel.flush();
        }

        @Override
        public void end() {
            if (ended) {
                return;
            }
            ended = true;
            chunkedBody.writeChunks();
            writeLast(new DefaultLastHttpContent());
        }

        @Override
        public void abort() {
            if (ended) {
                return;
            }
            ended = true;
            closing = true;
            flush();
            endInput();
            onResponseEnded(false);
            closeReason = CloseReason.ABORTED;
            channel.close();
        }

        private void setConnectionHeader(HttpHeaders headers) {
            boolean requestFollows = head != null || !pendingRequests.isEmpty() || rejection.isPresent();
            keepAlive = keepAlive && (!server.stopping() || requestFollows);
            idleMillis = server.limits().idleTimeoutMillis();
            if (!keepAlive) {
                closing = true;
                endInput();
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            } else if (idleMillis >= MILLIS_PER_SECOND) {
                headers.set(KEEP_ALIVE, "timeout=" + idleMillis / MILLIS_PER_SECOND);
            }
        }

        private void onWritten(boolean success) {
            if (!success) {
                channel.close();
            } else if (keepAlive) {
                idlePeriod = new IdlePeriod(server.nowMillis(), idleMillis);
            } else {
                endOutput();
            }
        }

        private void writeLast(HttpObject last) {
            ChannelFuture written = channel.writeAndFlush(last);
            lastWrite = Optional.of(written);
            written.addListener(done -> onWritten(done.isSuccess()));
            onResponseEnded(keepAlive);
        }
    }
}
