package io.sesamehead.entry.runtime;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.ReferenceCountUtil;
import io.sesamehead.coordination.catalog.CallLimits;
import io.sesamehead.coordination.catalog.RouteTable;
import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.coordination.drain.StopSchedule;
import io.sesamehead.entry.transport.RequestHeadSize;
import io.sesamehead.state.Endpoint;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Accepts the callers' connections and closes those that time out. */
final class CallerServer {
    /** Interval of the check for idle and slow connections, in milliseconds. */
    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 500;
    /**
     * Delay between a decision to close and the close, in milliseconds. The event loop reads all sockets in between, so
     * that no connection is closed whose next request has arrived, and accepts waiting connections.
     */
    private static final long CLOSE_DELAY_MILLIS = 1;
    /** Retry-After value of a request rejected during the stop, in milliseconds: another daemon can take it at once. */
    private static final long STOPPING_RETRY_AFTER_MILLIS = 50;
    /** Maximum number of connections waiting to be accepted. */
    private static final int ACCEPT_BACKLOG = 512;

    private static final int MAX_CHUNK_BYTES = 65_536;
    /** Maximum number of reads from one socket in one event loop iteration; Netty's default for sockets. */
    private static final int MAX_READS_PER_LOOP = 16;

    private final CallEnvironment environment;
    private final EventLoopTasks tasks;
    private final CallRouter router;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private Optional<Channel> listener = Optional.empty();
    private long acceptedConnections;
    private OptionalLong stoppingIdleMillis = OptionalLong.empty();

    CallerServer(CallEnvironment environment, CallRouter router) {
        this.environment = environment;
        this.tasks = new EventLoopTasks(environment.loop(), environment.log());
        this.router = router;
    }

    void listen(EventLoop loop, Endpoint endpoint) throws InterruptedException {
        listener = Optional.of(new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmpty())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                })
                .bind(endpoint.host(), endpoint.port())
                .sync()
                .channel());
        tasks.repeat("connection-timeouts", this::closeTimedOut, TIMEOUT_CHECK_INTERVAL_MILLIS);
    }

    /** Reads until the socket is empty, so that a close right after a request is seen together with it. */
    private static RecvByteBufAllocator readUntilEmpty() {
        return new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS_PER_LOOP);
    }

    /** Adds the handlers of a new connection. */
    void accept(Channel channel) {
        acceptedConnections++;
        if (router.forPeers() && !isFromPeer(channel)) {
            environment.metrics().count("connections_of_strangers");
            channel.close();
            return;
        }
        if (connections.size() >= environment.settings().maxConnections()) {
            environment.metrics().count("connections_refused");
            channel.close();
            return;
        }
        CallerConnection connection = new CallerConnection(this);
        channel.pipeline()
                .addLast(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        if (connection.onBytesReceived(((ByteBuf) message).readableBytes())) {
                            context.fireChannelRead(message);
                        } else {
                            ReferenceCountUtil.release(message);
                        }
                    }
                })
                .addLast(new HttpServerCodec(
                        RequestHeadSize.DECODER_LIMIT_BYTES, RequestHeadSize.DECODER_LIMIT_BYTES, MAX_CHUNK_BYTES))
                .addLast(connection);
    }

    private boolean isFromPeer(Channel channel) {
        return channel.remoteAddress() instanceof InetSocketAddress address
                && environment.peerReporter().directory().isPeer(address.getAddress());
    }

    /** Closes each connection after its next response from now on, and refuses requests when the schedule says so. */
    void beginStop(StopSchedule schedule) {
        environment.beginStop(schedule);
    }

    /**
     * Stops accepting connections, after those that wait to be accepted, and closes idle ones.
     *
     * @param idleMillis idle time after which a connection is closed, in milliseconds
     */
    void stopAccepting(long idleMillis) {
        if (stoppingIdleMillis.isEmpty()) {
            stoppingIdleMillis = OptionalLong.of(idleMillis);
            scheduleListenerClose();
        }
        closeTimedOut();
    }

    private void scheduleListenerClose() {
        long acceptedBefore = acceptedConnections;
        tasks.schedule(
                "close-listener", () -> closeListenerIfIdle(acceptedBefore), CLOSE_DELAY_MILLIS, this::closeListener);
    }

    /** Closes the listener, which resets the connections that wait, once the event loop has found none to accept. */
    private void closeListenerIfIdle(long acceptedBefore) {
        if (acceptedConnections > acceptedBefore) {
            // The event loop accepts a limited number of connections at a time.
            scheduleListenerClose();
        } else {
            closeListener();
        }
    }

    private void closeListener() {
        listener.ifPresent(Channel::close);
        listener = Optional.empty();
    }

    /** Returns whether no connection is open or can be opened. */
    boolean isClosed() {
        return listener.isEmpty() && connections.isEmpty();
    }

    /** Ends each open request: a call with what is known of it, an incomplete request with a refusal. */
    void answerOpenRequests() {
        environment.endCallsForStop();
        for (CallerConnection connection : List.copyOf(connections)) {
            tasks.run("reject-incomplete", connection::rejectIncomplete, () -> {});
        }
    }

    boolean rejecting() {
        return environment.isRefusing();
    }

    int openConnections() {
        return connections.size();
    }

    boolean stopping() {
        return environment.isStopping();
    }

    EventLoopTasks tasks() {
        return tasks;
    }

    CallRouter router() {
        return router;
    }

    /** Returns the limits that hold now for a request that begins. */
    CallLimits limits() {
        CallLimits ofCallers = environment
                .activeConfig()
                .table()
                .map(RouteTable::config)
                .map(ServingConfig::limits)
                .orElse(CallLimits.DEFAULT);
        return router.forPeers() ? ofCallers.ofPassedOnCall() : ofCallers;
    }

    boolean hasConfiguration() {
        return environment.activeConfig().table().isPresent();
    }

    long nowMillis() {
        return environment.clocks().steadyMillis();
    }

    void add(CallerConnection connection) {
        connections.add(connection);
    }

    void remove(CallerConnection connection) {
        connections.remove(connection);
    }

    /**
     * Logs a connection that was closed by this daemon, or with requests that were neither answered nor refused.
     *
     * @param unanswered number of complete requests that had not been started
     * @param partial whether a request was incomplete
     */
    void onConnectionClosed(CloseReason reason, int unanswered, boolean partial) {
        if (reason == CloseReason.OTHER && unanswered == 0) {
            return;
        }
        environment.metrics().count("connections_closed{reason=\"" + reason + "\"}");
        environment
                .log()
                .write(
                        EventLog.Component.CALL,
                        "connection-closed",
                        "reason",
                        reason,
                        "unanswered",
                        unanswered,
                        "partial",
                        partial,
                        "config",
                        environment.configVersion());
    }

    void sendError(ResponseWriter responseWriter, ErrorResponse error) {
        environment.metrics().count("calls_refused{reason=\"" + error.type() + "\"}");
        environment.log().write(EventLog.Component.CALL, "refused", "reason", error.type());
        environment.sendError(responseWriter, error, STOPPING_RETRY_AFTER_MILLIS);
    }

    void onConnectionFailure(Throwable cause) {
        environment.metrics().count("connections_failed");
        environment.log().write(EventLog.Component.CALL, "connection-failed", "cause", cause);
    }

    private void closeTimedOut() {
        long now = nowMillis();
        CallLimits limits = limits();
        for (CallerConnection connection : List.copyOf(connections)) {
            connection.rejectIfSlow(now);
            connection.closeIfOutputEnded(now);
        }
        List<CallerConnection> idle = connections.stream()
                .filter(connection -> connection.isIdleTooLong(now, limits, stoppingIdleMillis))
                .toList();
        if (!idle.isEmpty()) {
            tasks.schedule("close-idle", () -> closeStillIdle(idle), CLOSE_DELAY_MILLIS, () -> {});
        }
    }

    private void closeStillIdle(List<CallerConnection> idle) {
        long now = nowMillis();
        CallLimits limits = limits();
        idle.stream()
                .filter(connection -> connection.isIdleTooLong(now, limits, stoppingIdleMillis))
                .forEach(CallerConnection::closeIdle);
    }
}
