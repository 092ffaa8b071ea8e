package io.sesamehead.coordination.request;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.state.DaemonId;
import java.util.Comparator;

/**
 * The upstreams on which one daemon may run suspects. Suspects are kept apart within a daemon only, so each upstream
 * takes those of one daemon: an innocent suspect never shares an upstream with the crashing request of another daemon.
 *
 * @param upstreams the upstreams of the share; empty for a daemon that is leaving, and for some daemons when there are
 *     more of them than upstreams
 */
public record SuspectShare(ImmutableSet<UpstreamId> upstreams) {
    /**
     * Computes the share of a daemon. All daemons with the same view get shares that do not overlap.
     *
     * @param self the daemon
     * @param live daemons that send to the upstreams and are not leaving
     * @param assigned all upstreams of the service, with those that do not serve now, so that a crash moves no share
     * @return the share
     */
    public static SuspectShare of(DaemonId self, ImmutableSet<DaemonId> live, ImmutableSet<UpstreamId> assigned) {
        ImmutableSortedSet<DaemonId> daemons = ImmutableSortedSet.copyOf(Comparator.comparing(DaemonId::value), live);
        ImmutableSortedSet<UpstreamId> upstreams =
                ImmutableSortedSet.copyOf(Comparator.comparing(UpstreamId::value), assigned);
        int place = daemons.asList().indexOf(self);
        if (place < 0) {
            return new SuspectShare(ImmutableSet.of());
        }
        ImmutableSet.Builder<UpstreamId> share = ImmutableSet.builder();
        for (int i = 0; i < upstreams.size(); i++) {
            if (i % daemons.size() == place) {
                share.add(upstreams.asList().get(i));
            }
        }
        return new SuspectShare(share.build());
    }

    /**
     * Tells whether a suspect of the daemon may run on an upstream. A daemon without a share may use all upstreams;
     * otherwise its suspects would never run.
     *
     * @param upstream the upstream
     * @return true when it may
     */
    boolean allows(UpstreamId upstream) {
        return upstreams.isEmpty() || upstreams.contains(upstream);
    }
}
