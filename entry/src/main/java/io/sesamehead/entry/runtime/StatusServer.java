package io.sesamehead.entry.runtime;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.sesamehead.state.Endpoint;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Supplier;

/** HTTP server for the platform's readiness probes and for metrics. */
final class StatusServer {
    /** Maximum number of connections waiting to be accepted. */
    private static final int ACCEPT_BACKLOG = 32;

    /** A response page. */
    record Page(HttpResponseStatus status, String text) {}

    private final Map<String, Supplier<Page>> pages;

    StatusServer(Map<String, Supplier<Page>> pages) {
        this.pages = Map.copyOf(pages);
    }

    void listen(EventLoop loop, Endpoint endpoint) throws InterruptedException {
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec()).addLast(new Handler());
                    }
                })
                .bind(endpoint.host(), endpoint.port())
                .sync();
    }

    private final class Handler extends SimpleChannelInboundHandler<HttpObject> {
        private HttpRequest request;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message.decoderResult().isFailure()) {
                context.close();
                return;
            }
            if (message instanceof HttpRequest head) {
                request = head;
            }
            if (message instanceof LastHttpContent && request != null) {
                respond(context);
            }
        }

        private void respond(ChannelHandlerContext context) {
            Supplier<Page> page = pages.get(request.uri());
            Page found = page == null ? new Page(HttpResponseStatus.NOT_FOUND, "") : page.get();
            var response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, found.status(), Unpooled.copiedBuffer(found.text(), StandardCharsets.UTF_8));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            var written = context.writeAndFlush(response);
            if (!HttpUtil.isKeepAlive(request)) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The client disconnected; it sends its next request on a new connection.
            context.close();
        }
    }
}
