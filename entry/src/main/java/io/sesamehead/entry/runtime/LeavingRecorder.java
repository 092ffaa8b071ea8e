package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.replica.LeavingUpstreams.UpstreamIncarnation;
import io.sesamehead.coordination.replica.UpstreamEntry;
import java.util.List;

/** Takes what upstreams say of their end, from their answers and from other daemons, into the registry. */
final class LeavingRecorder {
    private final Clocks clocks;
    private final UpstreamRegistry registry;
    private final EventLog log;
    private final Runnable onChange;

    LeavingRecorder(Clocks clocks, UpstreamRegistry registry, EventLog log, Runnable onChange) {
        this.clocks = clocks;
        this.registry = registry;
        this.log = log;
        this.onChange = onChange;
    }

    /** Takes an upstream's own word. */
    void recordFromUpstream(UpstreamEntry upstream) {
        record(new UpstreamIncarnation(upstream.id(), upstream.startedAtEpochMillis()), "its answer");
    }

    /** Takes the word of another daemon. */
    void recordFromPeer(UpstreamIncarnation incarnation, String daemon) {
        record(incarnation, daemon);
    }

    /** Returns what the next report tells. */
    List<UpstreamIncarnation> toAnnounce() {
        return registry.leaving().toAnnounce(clocks.steadyMillis());
    }

    private void record(UpstreamIncarnation incarnation, String source) {
        if (registry.recordLeaving(incarnation, clocks.steadyMillis())) {
            log.write(EventLog.Component.GROUP, "leaving", "upstream", incarnation.upstream(), "from", source);
            onChange.run();
        }
    }
}
