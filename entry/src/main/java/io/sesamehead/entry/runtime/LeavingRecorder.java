package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.replica.LeavingUpstreams.UpstreamIncarnation;
import io.sesamehead.coordination.replica.UpstreamEntry;
import java.util.List;

/** Records in the registry which upstreams are leaving, from their own responses and from reports of other daemons. */
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

    /** Records an upstream's own statement that it is leaving. */
    void recordFromUpstream(UpstreamEntry upstream) {
        record(upstream.incarnation(), "its answer");
    }

    /** Records that another daemon reported an upstream as leaving. */
    void recordFromPeer(UpstreamIncarnation incarnation, String daemon) {
        record(incarnation, daemon);
    }

    /** Returns the recently recorded upstreams, for the next report to the other daemons. */
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
