package io.sesamehead.coordination.group;

import io.sesamehead.state.Group;
import io.sesamehead.state.GroupId;
import io.sesamehead.state.GroupState;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Since when the controller has seen each group broken or being released. */
final class GroupTimes {
    private final Map<GroupId, Long> brokenSince = new HashMap<>();
    private final Map<GroupId, Long> releasingSince = new HashMap<>();

    void observe(long nowMillis, Collection<Group> groups) {
        update(brokenSince, nowMillis, ids(groups, GroupState.BROKEN));
        update(releasingSince, nowMillis, ids(groups, GroupState.RELEASING));
    }

    long brokenMillis(long nowMillis, GroupId group) {
        return nowMillis - brokenSince.getOrDefault(group, nowMillis);
    }

    long releasingSinceMillis(long nowMillis, GroupId group) {
        return releasingSince.getOrDefault(group, nowMillis);
    }

    private static Set<GroupId> ids(Collection<Group> groups, GroupState state) {
        return groups.stream()
                .filter(group -> group.state() == state)
                .map(Group::id)
                .collect(Collectors.toSet());
    }

    private static void update(Map<GroupId, Long> since, long nowMillis, Set<GroupId> present) {
        since.keySet().retainAll(present);
        present.forEach(id -> since.putIfAbsent(id, nowMillis));
    }
}
