package io.sesamehead.daemon.runtime;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.transport.FrameCounters;
import io.sesamehead.daemon.transport.PeerConnection;

/** Calls that run in another failure domain. */
@Singleton
public final class CallForwarding implements PeerTraffic.CallFrames {
    private final FrameCounters counters;

    @Inject
    CallForwarding(FrameCounters counters) {
        this.counters = counters;
    }

    @Override
    public void received(PeerConnection connection, Frame frame) {
        counters.unmatched();
    }

    @Override
    public void disconnected(PeerConnection connection) {}
}
