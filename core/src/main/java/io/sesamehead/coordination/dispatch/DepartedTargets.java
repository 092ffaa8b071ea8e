package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.replica.LeavingUpstreams.UpstreamIncarnation;
import io.sesamehead.coordination.replica.Membership;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.state.InstanceId;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

/**
 * Tells targets whose upstreams have vanished from targets that were withdrawn: drained, left or closed by an order, or
 * no longer configured. An upstream whose group is dissolved around it may have crashed although its entry is still
 * listed, so it is watched until its entry shows that it goes on. Not thread-safe.
 */
public final class DepartedTargets {
    /** Time for which a departed target is watched, in milliseconds: the registry removes a dead upstream within it. */
    private static final long WATCH_MILLIS = 5_000;

    /** Upstreams of the serving targets. */
    private Map<TargetKey, Set<UpstreamIncarnation>> serving = Map.of();

    private final Map<TargetKey, Departure> departures = new HashMap<>();

    /** Upstreams of a departed target that have not shown since that they go on. */
    private record Departure(Set<UpstreamIncarnation> upstreams, long sinceMillis) {}

    /**
     * Observes a change of the registry or of the configuration.
     *
     * @param servingKeys targets that now accept calls
     * @param entries all entries of the registry
     * @param nowMillis current monotonic time, in milliseconds
     * @return evidence against targets that have departed, now or recently
     */
    public Map<TargetKey, TargetEvidence> update(
            Set<TargetKey> servingKeys, Collection<UpstreamEntry> entries, long nowMillis) {
        serving.forEach((key, upstreams) -> {
            if (!servingKeys.contains(key)) {
                departures.put(key, new Departure(upstreams, nowMillis));
            }
        });
        departures.keySet().removeAll(servingKeys);
        serving = upstreamsOf(servingKeys, entries);
        return judge(entries, nowMillis);
    }

    private static Map<TargetKey, Set<UpstreamIncarnation>> upstreamsOf(
            Set<TargetKey> keys, Collection<UpstreamEntry> entries) {
        Map<TargetKey, Set<UpstreamIncarnation>> upstreams = new HashMap<>();
        for (UpstreamEntry entry : entries) {
            TargetKey key = targetOf(entry);
            if (keys.contains(key)) {
                upstreams.computeIfAbsent(key, name -> new HashSet<>()).add(incarnation(entry));
            }
        }
        return upstreams;
    }

    private Map<TargetKey, TargetEvidence> judge(Collection<UpstreamEntry> entries, long nowMillis) {
        Map<TargetKey, TargetEvidence> evidence = new HashMap<>();
        if (departures.isEmpty()) {
            return evidence;
        }
        Map<InstanceId, UpstreamEntry> listed = new HashMap<>();
        entries.forEach(entry -> listed.put(entry.id(), entry));
        Iterator<Map.Entry<TargetKey, Departure>> all = departures.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<TargetKey, Departure> departed = all.next();
            TargetKey key = departed.getKey();
            Departure departure = departed.getValue();
            departure.upstreams().removeIf(upstream -> goesOn(upstream, key, listed));
            if (departure.upstreams().stream().anyMatch(upstream -> isGone(upstream, listed))) {
                evidence.put(key, new TargetEvidence.Vanished());
                all.remove();
            } else if (departure.upstreams().isEmpty() || nowMillis - departure.sinceMillis() > WATCH_MILLIS) {
                evidence.put(key, new TargetEvidence.Withdrawn());
                all.remove();
            }
        }
        return evidence;
    }

    /** Whether an upstream has written its entry anew since it was part of the target. */
    private static boolean goesOn(UpstreamIncarnation upstream, TargetKey key, Map<InstanceId, UpstreamEntry> listed) {
        UpstreamEntry entry = listed.get(upstream.upstream());
        return entry != null
                && incarnation(entry).equals(upstream)
                && (entry.leaving() || !targetOf(entry).equals(key));
    }

    private static boolean isGone(UpstreamIncarnation upstream, Map<InstanceId, UpstreamEntry> listed) {
        UpstreamEntry entry = listed.get(upstream.upstream());
        return entry == null || !incarnation(entry).equals(upstream);
    }

    private static TargetKey targetOf(UpstreamEntry entry) {
        return entry.membership()
                .map(Membership::replica)
                .map(TargetKey::of)
                .orElseGet(() -> TargetKey.of(entry.id(), entry.startedAtEpochMillis()));
    }

    private static UpstreamIncarnation incarnation(UpstreamEntry entry) {
        return new UpstreamIncarnation(entry.id(), entry.startedAtEpochMillis());
    }
}
