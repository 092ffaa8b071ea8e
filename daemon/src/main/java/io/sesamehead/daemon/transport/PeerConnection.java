package io.sesamehead.daemon.transport;

import io.netty.channel.Channel;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Hello;
import java.util.concurrent.atomic.AtomicBoolean;

/** One TCP connection to a peer on which Hello was exchanged. */
// A failed write or close shows as the end of the channel, which the handler reports.
@SuppressWarnings("FutureReturnValueIgnored")
public final class PeerConnection {
    private final Channel channel;
    private final Hello peer;
    private final long incarnation;
    private final boolean dialled;
    private final FrameCounters counters;
    private final AtomicBoolean dropped = new AtomicBoolean();

    PeerConnection(Channel channel, Hello peer, long incarnation, boolean dialled, FrameCounters counters) {
        this.channel = channel;
        this.peer = peer;
        this.incarnation = incarnation;
        this.dialled = dialled;
        this.counters = counters;
    }

    /**
     * Returns what the peer said of itself.
     *
     * @return the peer's Hello
     */
    public Hello peer() {
        return peer;
    }

    /**
     * Returns the random number of this connection, equal on both sides.
     *
     * @return the connection incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Tells which side opened the connection.
     *
     * @return true when this daemon did
     */
    public boolean dialled() {
        return dialled;
    }

    /**
     * Sends a frame unless the outbound queue is full.
     *
     * @param frame the frame
     * @return false when the frame was dropped and counted
     */
    public boolean send(Frame frame) {
        if (!writable()) {
            dropped.set(true);
            counters.dropped(frame);
            return false;
        }
        channel.writeAndFlush(frame, channel.voidPromise());
        return true;
    }

    /**
     * Tells whether the outbound queue takes a frame now.
     *
     * @return true when {@link #send} would not drop a frame
     */
    public boolean writable() {
        return channel.isActive() && channel.isWritable();
    }

    /**
     * Tells once whether a frame was dropped since the last call, so that the sender repeats its whole state.
     *
     * @return true when a frame was dropped
     */
    public boolean testAndClearDropped() {
        return dropped.getAndSet(false);
    }

    /**
     * Tells whether the connection still stands.
     *
     * @return true while it is open
     */
    public boolean active() {
        return channel.isActive();
    }

    /** Closes the connection. */
    public void close() {
        channel.close();
    }

    @Override
    public String toString() {
        return peer.getDaemon() + (dialled ? " (dialled)" : " (accepted)");
    }
}
