package io.sesamehead.daemon.transport;

import io.netty.channel.Channel;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Hello;
import java.util.concurrent.atomic.AtomicBoolean;

/** A TCP connection to a peer on which the Hello messages were exchanged. */
// Futures are ignored: a failed write or close ends the channel, which the handler reports.
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
     * Returns the Hello message of the peer.
     *
     * @return the peer's Hello
     */
    public Hello peer() {
        return peer;
    }

    /**
     * Returns the random number that identifies this connection; it is the same on both sides.
     *
     * @return the connection incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Whether this daemon opened the connection.
     *
     * @return true if this daemon dialled the peer
     */
    public boolean dialled() {
        return dialled;
    }

    /**
     * Sends a frame unless the outbound queue is full.
     *
     * @param frame the frame
     * @return false if the frame was dropped and counted
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
     * Whether the connection is open and its outbound queue has room.
     *
     * @return true if {@link #send} would not drop a frame
     */
    public boolean writable() {
        return channel.isActive() && channel.isWritable();
    }

    /**
     * Returns whether a frame was dropped since the last call and clears the mark. The sender uses this to resend its whole
     * state.
     *
     * @return true if a frame was dropped
     */
    public boolean testAndClearDropped() {
        return dropped.getAndSet(false);
    }

    /**
     * Whether the connection is open.
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
