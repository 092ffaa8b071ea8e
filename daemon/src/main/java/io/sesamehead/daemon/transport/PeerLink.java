package io.sesamehead.daemon.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.tinylog.Logger;

/** Maintains one dialled connection to an address and reconnects with backoff after it is lost. */
// Futures are ignored: a failed dial or close ends the channel, and the link then reconnects.
@SuppressWarnings("FutureReturnValueIgnored")
final class PeerLink {
    private static final long INITIAL_BACKOFF_MILLIS = 100;

    /** Upper bound of the backoff; must be below the 16 s within which a configuration must reach every daemon. */
    private static final long MAX_BACKOFF_MILLIS = 5_000;

    private final InetSocketAddress address;
    private final EventLoop loop;
    private final Function<PeerLink, Bootstrap> bootstraps;
    private volatile PeerConnection connection;
    private volatile boolean closed;
    private Channel channel;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;

    PeerLink(InetSocketAddress address, EventLoop loop, Function<PeerLink, Bootstrap> bootstraps) {
        this.address = address;
        this.loop = loop;
        this.bootstraps = bootstraps;
    }

    void dial() {
        if (closed) {
            return;
        }
        ChannelFuture future = bootstraps.apply(this).connect(address);
        channel = future.channel();
        channel.closeFuture().addListener(ignored -> scheduleReconnect());
    }

    void established(PeerConnection established) {
        connection = established;
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        if (closed) {
            established.close();
        }
    }

    private void scheduleReconnect() {
        connection = null;
        if (closed || loop.isShuttingDown()) {
            return;
        }
        long delayMillis = backoffMillis / 2 + ThreadLocalRandom.current().nextLong(backoffMillis);
        backoffMillis = Math.min(backoffMillis * 2, MAX_BACKOFF_MILLIS);
        Logger.debug("peer: reconnecting to {} in {} ms", address, delayMillis);
        loop.schedule(this::dial, delayMillis, TimeUnit.MILLISECONDS);
    }

    PeerConnection connection() {
        return connection;
    }

    void close() {
        closed = true;
        loop.execute(() -> {
            if (channel != null) {
                channel.close();
            }
        });
    }
}
