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

/** Keeps one dialled connection to an address and dials again after it breaks. */
// A failed dial or close shows as the end of the channel, on which the link dials again.
@SuppressWarnings("FutureReturnValueIgnored")
final class PeerLink {
    private static final long FIRST_BACKOFF_MILLIS = 100;

    /** Upper bound of the wait, below the 16 s in which a configuration is to be everywhere. */
    private static final long MAX_BACKOFF_MILLIS = 5_000;

    private final InetSocketAddress address;
    private final EventLoop loop;
    private final Function<PeerLink, Bootstrap> bootstraps;
    private volatile PeerConnection connection;
    private volatile boolean closed;
    private Channel channel;
    private long backoffMillis = FIRST_BACKOFF_MILLIS;

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
        channel.closeFuture().addListener(ignored -> redial());
    }

    void established(PeerConnection established) {
        connection = established;
        backoffMillis = FIRST_BACKOFF_MILLIS;
        if (closed) {
            established.close();
        }
    }

    private void redial() {
        connection = null;
        if (closed || loop.isShuttingDown()) {
            return;
        }
        long wait = backoffMillis / 2 + ThreadLocalRandom.current().nextLong(backoffMillis);
        backoffMillis = Math.min(backoffMillis * 2, MAX_BACKOFF_MILLIS);
        Logger.debug("peer: dials {} again in {} ms", address, wait);
        loop.schedule(this::dial, wait, TimeUnit.MILLISECONDS);
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
