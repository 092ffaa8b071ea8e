package io.sesamehead.entry.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.ScheduledFuture;
import io.sesamehead.entry.runtime.Clocks;
import io.sesamehead.state.Endpoint;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Pool of keep-alive client connections by peer. Confined to the event loop. */
public final class HttpConnectionPool {
    /** Maximum idle time of a reused connection in milliseconds: an idle connection may die unnoticed. */
    private static final long MAX_IDLE_MILLIS = 3_000;
    /** Fraction of the peer's keep-alive timeout during which an idle connection is reused. */
    private static final double KEEP_ALIVE_FRACTION = 0.5;
    /** Connect timeout in milliseconds, too short to wait for the retransmission of a lost SYN. */
    private static final int CONNECT_TIMEOUT_MILLIS = 800;

    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final EventLoop loop;
    private final Clocks clocks;
    private final Consumer<Endpoint> onRefused;
    private final Map<Endpoint, ArrayDeque<ClientConnection>> idle = new HashMap<>();
    private long openedConnections;

    /**
     * Creates an empty pool.
     *
     * @param loop the event loop
     * @param clocks clocks for idle times
     * @param onRefused receives each peer that has refused a connection
     */
    public HttpConnectionPool(EventLoop loop, Clocks clocks, Consumer<Endpoint> onRefused) {
        this.loop = loop;
        this.clocks = clocks;
        this.onRefused = onRefused;
    }

    /**
     * Sends a request.
     *
     * @param peer the peer
     * @param request the request; released after it is written
     * @param freshness maximum idle time of a reused connection; otherwise a new one is opened
     * @param listener receives the response
     * @return a handle to cancel the exchange
     */
    public Exchange send(Endpoint peer, FullHttpRequest request, Freshness freshness, ExchangeListener listener) {
        Exchange exchange = new Exchange(listener);
        ClientConnection idleConnection = takeIdle(peer, freshness, listener.requestId());
        if (idleConnection != null) {
            exchange.start(idleConnection, request);
        } else {
            connect(peer, request, exchange);
        }
        return exchange;
    }

    /** Which idle connections may carry a request. */
    public enum Freshness {
        /** Any connection that should still be open. */
        ANY(MAX_IDLE_MILLIS),
        /** A connection used within the last second: a request that may not be retried is lost if its connection is dead. */
        RECENT(1_000);

        private final long maxIdleMillis;

        Freshness(long maxIdleMillis) {
            this.maxIdleMillis = maxIdleMillis;
        }
    }

    /**
     * Returns the total number of connections opened.
     *
     * @return the number of connections
     */
    public long openedConnections() {
        return openedConnections;
    }

    /** Closes connections whose idle time exceeds the maximum for reuse. */
    public void closeExpired() {
        long now = clocks.steadyMillis();
        idle.values()
                .forEach(queue -> queue.removeIf(connection -> {
                    boolean old = now - connection.idleSinceMillis() > MAX_IDLE_MILLIS;
                    if (old) {
                        connection.close();
                    }
                    return old;
                }));
        idle.values().removeIf(ArrayDeque::isEmpty);
    }

    /** Takes the connection used last. One that has carried an attempt of the same request is left for others. */
    private ClientConnection takeIdle(Endpoint peer, Freshness freshness, Optional<String> requestId) {
        Iterator<ClientConnection> latestFirst =
                idle.getOrDefault(peer, new ArrayDeque<>()).descendingIterator();
        while (latestFirst.hasNext()) {
            ClientConnection connection = latestFirst.next();
            if (!connection.isUsable() || !isFresh(connection, freshness)) {
                latestFirst.remove();
                connection.close();
            } else if (requestId.isEmpty() || !connection.isAmbiguousFor(requestId.get())) {
                latestFirst.remove();
                return connection;
            }
        }
        return null;
    }

    private boolean isFresh(ClientConnection connection, Freshness freshness) {
        long age = clocks.steadyMillis() - connection.idleSinceMillis();
        long limit = freshness.maxIdleMillis;
        if (connection.keepAliveMillis() > 0) {
            limit = Math.min(limit, (long) (connection.keepAliveMillis() * KEEP_ALIVE_FRACTION));
        }
        return age <= limit;
    }

    private void connect(Endpoint peer, FullHttpRequest request, Exchange exchange) {
        connect(peer, connection -> exchange.start(connection, request), cause -> {
            request.release();
            if (refused(cause)) {
                onRefused.accept(peer);
            }
            exchange.failToConnect(String.valueOf(cause.getMessage()));
        });
    }

    /**
     * Tests whether a connection can be opened. The connection is kept for a later request.
     *
     * @param peer the peer
     * @param onConnected called if it was opened
     */
    public void probe(Endpoint peer, Runnable onConnected) {
        connect(
                peer,
                connection -> {
                    addIdle(peer, connection);
                    onConnected.run();
                },
                cause -> {});
    }

    /**
     * Closes the idle connections to a peer.
     *
     * @param peer the peer
     */
    public void closeIdle(Endpoint peer) {
        ArrayDeque<ClientConnection> connections = idle.remove(peer);
        if (connections != null) {
            connections.forEach(ClientConnection::close);
        }
    }

    private void connect(Endpoint peer, Consumer<ClientConnection> onConnected, Consumer<Throwable> onFailed) {
        openedConnections++;
        ResponseDecoder decoder = new ResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        ClientConnection connection =
                new ClientConnection(decoder, done -> addIdle(peer, done), closed -> removeIdle(peer, closed));
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(decoder)
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection);
                    }
                });
        bootstrap.connect(peer.host(), peer.port()).addListener(connected -> {
            if (connected.isSuccess()) {
                onConnected.accept(connection);
            } else {
                onFailed.accept(connected.cause());
            }
        });
    }

    private static boolean refused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    private void addIdle(Endpoint peer, ClientConnection connection) {
        connection.markIdle(clocks.steadyMillis());
        idle.computeIfAbsent(peer, key -> new ArrayDeque<>()).addLast(connection);
    }

    private void removeIdle(Endpoint peer, ClientConnection connection) {
        ArrayDeque<ClientConnection> queue = idle.get(peer);
        if (queue != null) {
            queue.remove(connection);
        }
    }

    /** A request in flight. */
    public final class Exchange {
        private final ExchangeListener listener;
        private ClientConnection connection;
        private boolean cancelled;
        private ScheduledFuture<?> timeout;

        private Exchange(ExchangeListener listener) {
            this.listener = listener;
        }

        /** Cancels the exchange and closes its connection, which signals the peer to drop the request. */
        public void cancel() {
            cancelled = true;
            clearTimeout();
            if (connection != null) {
                connection.close();
            }
        }

        /**
         * Pauses or resumes reading from the peer.
         *
         * @param autoRead whether to read
         */
        public void setAutoRead(boolean autoRead) {
            if (connection != null && !cancelled) {
                connection.setAutoRead(autoRead);
            }
        }

        /**
         * Fails the exchange if it does not complete within the timeout.
         *
         * @param timeoutMillis timeout from now, in milliseconds
         */
        void failAfter(long timeoutMillis) {
            timeout = loop.schedule(
                    () -> {
                        boolean sent = connection != null;
                        cancel();
                        listener.onFailure(sent, "no response within " + timeoutMillis + " ms");
                    },
                    timeoutMillis,
                    TimeUnit.MILLISECONDS);
        }

        void clearTimeout() {
            if (timeout != null) {
                timeout.cancel(false);
            }
        }

        private void start(ClientConnection ready, FullHttpRequest request) {
            if (cancelled) {
                request.release();
                ready.close();
                return;
            }
            connection = ready;
            ready.send(request, listener);
        }

        private void failToConnect(String reason) {
            if (!cancelled) {
                clearTimeout();
                listener.onFailure(false, "cannot connect: " + reason);
            }
        }
    }
}
