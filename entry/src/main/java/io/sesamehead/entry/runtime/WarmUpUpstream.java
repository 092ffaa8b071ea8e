package io.sesamehead.entry.runtime;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.port.SampleHeaders;

/** One connection of the upstream of {@link CallWarmUp}, which answers with an event stream or a plain response. */
final class WarmUpUpstream extends SimpleChannelInboundHandler<HttpObject> {
    private static final int EVENTS = 12;

    private final EventLoop loop;
    private final CallTranslator translator;
    private final SampleHeaders samples;
    private HttpRequest request;

    WarmUpUpstream(EventLoop loop, CallTranslator translator, SampleHeaders samples) {
        this.loop = loop;
        this.translator = translator;
        this.samples = samples;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message instanceof HttpRequest head) {
            request = head;
        }
        if (message instanceof LastHttpContent && request != null) {
            String requestId = translator.readCall(request.headers()).requestId();
            if (request.uri().startsWith(WarmUpDeployment.STREAM_PATH)) {
                beginStream(context, requestId);
            } else {
                respond(context, requestId);
            }
        }
    }

    private void beginStream(ChannelHandlerContext context, String requestId) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_EVENT_STREAM)
                .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        samples.writeResponse(head.headers(), requestId);
        context.writeAndFlush(head);
        sendEvent(context, 1);
    }

    /** Sends the events one by one, as an engine does. */
    private void sendEvent(ChannelHandlerContext context, int id) {
        if (id > EVENTS) {
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
            return;
        }
        ByteBuf event = ByteBufUtil.writeUtf8(context.alloc(), "id: " + id + "\ndata: warm-up\n\n");
        context.writeAndFlush(new DefaultHttpContent(event));
        loop.execute(() -> sendEvent(context, id + 1));
    }

    private void respond(ChannelHandlerContext context, String requestId) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, ByteBufUtil.writeUtf8(context.alloc(), "x".repeat(800)));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        samples.writeResponse(response.headers(), requestId);
        context.writeAndFlush(response);
    }
}
