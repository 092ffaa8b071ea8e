package io.sesamehead.daemon.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.ReadTimeoutException;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Hello;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tinylog.Logger;

/** Exchanges Hello on one channel and passes later frames to the listener. */
// A failed write or close shows as the end of the channel.
@SuppressWarnings("FutureReturnValueIgnored")
final class PeerChannelHandler extends SimpleChannelInboundHandler<Frame> {
    private final Supplier<Hello> self;
    private final long dialledIncarnation;
    private final boolean dialled;
    private final PeerListener listener;
    private final FrameCounters counters;
    private final Consumer<PeerConnection> onHello;
    private PeerConnection connection;

    /**
     * Creates the handler of one channel.
     *
     * @param self this daemon's Hello without a connection incarnation
     * @param dialled whether this daemon opened the channel
     * @param incarnation the connection incarnation when dialled; ignored otherwise
     * @param listener receives the frames
     * @param counters frame counters
     * @param onHello called when the peer has said Hello
     */
    PeerChannelHandler(
            Supplier<Hello> self,
            boolean dialled,
            long incarnation,
            PeerListener listener,
            FrameCounters counters,
            Consumer<PeerConnection> onHello) {
        super(Frame.class);
        this.self = self;
        this.dialled = dialled;
        this.dialledIncarnation = incarnation;
        this.listener = listener;
        this.counters = counters;
        this.onHello = onHello;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (dialled) {
            sendHello(context, dialledIncarnation);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
        if (connection != null) {
            listener.received(connection, frame);
            return;
        }
        if (!frame.hasHello()) {
            Logger.warn("peer: closed a connection that did not start with Hello");
            context.close();
            return;
        }
        acceptHello(context, frame.getHello());
    }

    private void acceptHello(ChannelHandlerContext context, Hello hello) {
        long incarnation = dialled ? dialledIncarnation : hello.getConnection();
        if (!dialled) {
            sendHello(context, incarnation);
        }
        connection = new PeerConnection(context.channel(), hello, incarnation, dialled, counters);
        onHello.accept(connection);
        listener.connected(connection);
    }

    private void sendHello(ChannelHandlerContext context, long incarnation) {
        Hello hello = self.get().toBuilder().setConnection(incarnation).build();
        context.writeAndFlush(Frame.newBuilder().setHello(hello).build());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (connection != null) {
            listener.disconnected(connection);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof ReadTimeoutException) {
            Logger.info("peer: closed {} because it was silent", connection);
        } else {
            Logger.debug("peer: closed {}: {}", connection, cause.toString());
        }
        context.close();
    }
}
