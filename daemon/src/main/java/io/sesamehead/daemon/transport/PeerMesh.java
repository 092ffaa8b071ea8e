package io.sesamehead.daemon.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MessageSizeEstimator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Hello;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * TCP connections between daemons. A daemon dials every peer that it sends to and accepts connections from peers that
 * send to it; answers travel on the connection of the question.
 */
// A failed close or dial shows as the end of the channel, which the link and the handler report.
@SuppressWarnings("FutureReturnValueIgnored")
public final class PeerMesh implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Three of the heartbeats that the accepting side returns every 5 s. */
    private static final int SILENCE_SECONDS = 15;

    /** Bounds the outbound queue of a connection; frames above it are dropped. */
    private static final WriteBufferWaterMark QUEUE_BYTES = new WriteBufferWaterMark(128 << 10, 512 << 10);

    /** Without it a frame that another thread hands to the network thread counts as 8 bytes until it is encoded. */
    private static final MessageSizeEstimator FRAME_SIZES = () -> message -> switch (message) {
        case Frame frame -> frame.getSerializedSize();
        case ByteBuf buffer -> buffer.readableBytes();
        default -> 0;
    };

    private final Supplier<Hello> self;
    private final FrameCounters counters;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Map<InetSocketAddress, PeerLink> links = new ConcurrentHashMap<>();
    private final Set<PeerConnection> accepted = ConcurrentHashMap.newKeySet();
    private volatile PeerListener listener;
    private Channel server;

    /**
     * Creates a mesh that is not started.
     *
     * @param self this daemon's Hello without a connection incarnation
     * @param counters frame counters
     */
    public PeerMesh(Supplier<Hello> self, FrameCounters counters) {
        this.self = self;
        this.counters = counters;
        this.group =
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("peer", true), NioIoHandler.newFactory());
        this.loop = (EventLoop) group.next();
    }

    /**
     * Sets the receiver of connections and frames. Called once; connections accepted before are closed.
     *
     * @param receiver called on the network thread
     */
    public void setListener(PeerListener receiver) {
        listener = receiver;
    }

    /**
     * Binds the peer address.
     *
     * @param address where to listen; port 0 picks a free port
     * @return the bound address
     * @throws IllegalStateException if the address cannot be bound
     */
    public InetSocketAddress listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, QUEUE_BYTES)
                .childOption(ChannelOption.MESSAGE_SIZE_ESTIMATOR, FRAME_SIZES)
                .childHandler(initializer(false, connection -> accepted.add(connection)))
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            close();
            throw new IllegalStateException(
                    "the peer address " + Addresses.text(address) + " cannot be bound: "
                            + bound.cause().getMessage(),
                    bound.cause());
        }
        server = bound.channel();
        return (InetSocketAddress) server.localAddress();
    }

    /**
     * Dials the given addresses and closes links to all others.
     *
     * @param addresses the wanted addresses
     */
    public void setPeerAddresses(Set<InetSocketAddress> addresses) {
        for (InetSocketAddress address : addresses) {
            links.computeIfAbsent(address, this::open);
        }
        links.forEach((address, link) -> {
            if (!addresses.contains(address) && links.remove(address, link)) {
                link.close();
            }
        });
    }

    private PeerLink open(InetSocketAddress address) {
        PeerLink link = new PeerLink(address, loop, this::bootstrap);
        loop.execute(link::dial);
        return link;
    }

    private Bootstrap bootstrap(PeerLink link) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, QUEUE_BYTES)
                .option(ChannelOption.MESSAGE_SIZE_ESTIMATOR, FRAME_SIZES)
                .handler(initializer(true, link::established));
    }

    private ChannelInitializer<SocketChannel> initializer(boolean dialled, Consumer<PeerConnection> onHello) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                if (listener == null) {
                    // The daemon is still starting; the peer dials again.
                    channel.close();
                    return;
                }
                long incarnation = ThreadLocalRandom.current().nextLong();
                channel.pipeline()
                        .addLast(new ReadTimeoutHandler(SILENCE_SECONDS))
                        .addLast(new FrameCodec(counters))
                        .addLast(new PeerChannelHandler(self, dialled, incarnation, listener, counters, onHello));
            }
        };
    }

    /**
     * Finds the dialled connection to an address.
     *
     * @param address the peer address
     * @return the connection, or empty while it is not established
     */
    public Optional<PeerConnection> connection(InetSocketAddress address) {
        PeerLink link = links.get(address);
        return link == null ? Optional.empty() : Optional.ofNullable(link.connection());
    }

    /**
     * Returns all established dialled connections.
     *
     * @return a snapshot
     */
    public List<PeerConnection> dialled() {
        List<PeerConnection> connections = new ArrayList<>();
        for (PeerLink link : links.values()) {
            PeerConnection connection = link.connection();
            if (connection != null && connection.active()) {
                connections.add(connection);
            }
        }
        return connections;
    }

    /**
     * Returns all accepted connections.
     *
     * @return a snapshot
     */
    public List<PeerConnection> accepted() {
        accepted.removeIf(connection -> !connection.active());
        return List.copyOf(accepted);
    }

    @Override
    public void close() {
        links.values().forEach(PeerLink::close);
        links.clear();
        if (server != null) {
            server.close();
        }
        boolean ended = group.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly(3, TimeUnit.SECONDS);
        Logger.debug("peer: network thread ended: {}", ended);
    }
}
