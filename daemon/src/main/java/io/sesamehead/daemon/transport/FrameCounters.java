package io.sesamehead.daemon.transport;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame;
import io.sesamehead.daemon.protocol.generated.PeerProtocol.Frame.BodyCase;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/** Counts the frames and bytes of peer connections by frame kind and direction. */
public final class FrameCounters {
    private final Map<BodyCase, TrafficCounters> sent = new EnumMap<>(BodyCase.class);
    private final Map<BodyCase, TrafficCounters> received = new EnumMap<>(BodyCase.class);
    private final Map<BodyCase, Counter> dropped = new EnumMap<>(BodyCase.class);
    private final Counter unmatched;

    /**
     * Registers the counters.
     *
     * @param metrics registry for the counters
     */
    public FrameCounters(MetricRegistry metrics) {
        for (BodyCase kind : BodyCase.values()) {
            String name = kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
            sent.put(kind, TrafficCounters.register(metrics, "peer.sent." + name));
            received.put(kind, TrafficCounters.register(metrics, "peer.received." + name));
            dropped.put(kind, metrics.counter("peer.dropped." + name));
        }
        unmatched = metrics.counter("peer.unmatched");
    }

    void sent(Frame frame, int bytes) {
        sent.get(frame.getBodyCase()).add(bytes);
    }

    void received(Frame frame, int bytes) {
        received.get(frame.getBodyCase()).add(bytes);
    }

    void dropped(Frame frame) {
        dropped.get(frame.getBodyCase()).inc();
    }

    /** Counts a frame of a forwarded call that matches no active attempt. */
    public void unmatched() {
        unmatched.inc();
    }

    private record TrafficCounters(Counter messages, Counter bytes) {
        static TrafficCounters register(MetricRegistry metrics, String prefix) {
            return new TrafficCounters(metrics.counter(prefix + ".messages"), metrics.counter(prefix + ".bytes"));
        }

        void add(int size) {
            messages.inc();
            bytes.inc(size);
        }
    }
}
