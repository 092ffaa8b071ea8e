package io.sesamehead.coordination.request;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedSet;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.state.DaemonId;
import java.util.Comparator;

/**
 * Upstreams on which one daemon may run suspects. A daemon can isolate only its own suspects from each other, so each
 * upstream runs the suspects of a single daemon. An innocent suspect then never shares an upstream with a crashing
 * request of another daemon.
 *
 * @param upstreams the upstreams of the share; empty for a daemon that is leaving, and for some daemons if there are
 *     more daemons than upstreams
 */
public record SuspectShare(ImmutableSet<UpstreamId> upstreams) {
    /**
     * Computes the share of a daemon. Daemons with the same view compute disjoint shares.
     *
     * @param self the daemon
     * @param live daemons that send to the upstreams and are not leaving
     * @param assigned all upstreams of the service, including those not serving now, so that a crash does not change
     *     shares
     * @return the share
     */
    public static SuspectShare of(DaemonId self, ImmutableSet<DaemonId> live, ImmutableSet<UpstreamId> assigned) {
        ImmutableSortedSet<DaemonId> daemons = ImmutableSortedSet.copyOf(Comparator.comparing(DaemonId::value), live);
        ImmutableSortedSet<UpstreamId> upstreams =
                ImmutableSortedSet.copyOf(Comparator.comparing(UpstreamId::value), assigned);
        int position = daemons.asList().indexOf(self);
        if (position < 0) {
            return new SuspectShare(ImmutableSet.of());
        }
        ImmutableSet.Builder<UpstreamId> share = ImmutableSet.builder();
        for (int i = 0; i < upstreams.size(); i++) {
            if (i % daemons.size() == position) {
                share.add(upstreams.asList().get(i));
            }
        }
        return new SuspectShare(share.build());
    }

    /**
     * Returns whether a suspect of the daemon may run on an upstream. A daemon with an empty share may use all
     * upstreams; otherwise its suspects would never run.
     *
     * @param upstream the upstream
     * @return true if it may run there
     */
    boolean allows(UpstreamId upstream) {
        return upstreams.isEmpty() || upstreams.contains(upstream);
    }
}
