package io.sesamehead.coordination.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Groups upstreams by the group that they report. */
public final class ReplicaIndex {
    private static final Comparator<UpstreamEntry> BY_RANK =
            Comparator.comparingInt(entry -> entry.membership().orElseThrow().rank());

    private ReplicaIndex() {}

    /**
     * Builds the groups from the members' reports.
     *
     * @param entries the upstreams of one service
     * @return the groups by key, in the order in which their first member is listed
     */
    public static Map<ReplicaKey, Replica> of(Collection<UpstreamEntry> entries) {
        Map<ReplicaKey, List<UpstreamEntry>> members = new LinkedHashMap<>();
        for (UpstreamEntry entry : entries) {
            entry.membership()
                    .ifPresent(membership -> members.computeIfAbsent(membership.replica(), key -> new ArrayList<>())
                            .add(entry));
        }
        Map<ReplicaKey, Replica> replicas = new LinkedHashMap<>();
        members.forEach((key, list) -> {
            list.sort(BY_RANK);
            replicas.put(key, new Replica(key, list));
        });
        return replicas;
    }
}
