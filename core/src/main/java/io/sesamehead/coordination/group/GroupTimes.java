package io.sesamehead.coordination.group;

import io.sesamehead.state.Epoch;
import io.sesamehead.state.Group;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.GroupState;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Tracks how long each group has been forming, broken or being released. */
final class GroupTimes {
    private final Map<Epoch, Long> formingSince = new HashMap<>();
    private final Map<GroupId, Long> brokenSince = new HashMap<>();
    private final Map<GroupId, Long> releasingSince = new HashMap<>();

    void observe(long nowMillis, Collection<Group> groups) {
        update(formingSince, nowMillis, keys(groups, GroupState.FORMING, Group::epoch));
        update(brokenSince, nowMillis, keys(groups, GroupState.BROKEN, Group::id));
        update(releasingSince, nowMillis, keys(groups, GroupState.RELEASING, Group::id));
    }

    /** Returns how long a group has been forming in an epoch, in milliseconds; a repair starts a new epoch. */
    long formingMillis(long nowMillis, Epoch epoch) {
        return nowMillis - formingSince.getOrDefault(epoch, nowMillis);
    }

    long brokenMillis(long nowMillis, GroupId group) {
        return nowMillis - brokenSince.getOrDefault(group, nowMillis);
    }

    long releasingSinceMillis(long nowMillis, GroupId group) {
        return releasingSince.getOrDefault(group, nowMillis);
    }

    private static <K> Set<K> keys(Collection<Group> groups, GroupState state, Function<Group, K> key) {
        return groups.stream().filter(group -> group.state() == state).map(key).collect(Collectors.toSet());
    }

    private static <K> void update(Map<K, Long> since, long nowMillis, Set<K> present) {
        since.keySet().retainAll(present);
        present.forEach(id -> since.putIfAbsent(id, nowMillis));
    }
}
