package io.sesamehead.coordination.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The highest number of groups that each model has had. A model with fewer groups has lost some, and forming them again
 * is a repair. Groups of evacuated failure domains don't count, so that they are replaced elsewhere; when they return
 * beside their replacements, the peak stays as it was. Not thread-safe.
 */
final class GroupPeaks {
    private final Map<String, Integer> peaks = new HashMap<>();
    /** Groups above the peak since an evacuation ended, by model. */
    private final Map<String, Integer> surplus = new HashMap<>();
    /** Groups that were in an evacuated failure domain when they were last counted. */
    private final Set<ReplicaKey> evacuated = new HashSet<>();

    /**
     * A group that serves or is forming.
     *
     * @param key the group
     * @param model its model
     * @param evacuated whether its head is in an evacuated failure domain
     */
    record CountedGroup(ReplicaKey key, String model, boolean evacuated) {}

    /** Returns the number of groups by model, without those of evacuated failure domains. */
    static Map<String, Integer> capacity(Collection<CountedGroup> groups) {
        Map<String, Integer> counts = new HashMap<>();
        groups.stream()
                .filter(group -> !group.evacuated())
                .forEach(group -> counts.merge(group.model(), 1, Integer::sum));
        return counts;
    }

    /**
     * Updates the peaks. A new lease holder also counts the groups that it starts to dissolve at its first step, so that
     * it replaces them. Groups dissolved later have been counted while they served; counting them together with their
     * replacements would count them twice.
     *
     * @param groups the groups that serve or are forming
     * @param existing all groups that are listed or forming
     * @param dissolving the groups that are being dissolved
     */
    void update(Collection<CountedGroup> groups, Set<ReplicaKey> existing, Set<ReplicaKey> dissolving) {
        Map<String, Integer> counts = capacity(groups);
        updateSurplus(groups, counts, existing);
        if (peaks.isEmpty()) {
            countBeforeEvacuation(groups).forEach((model, count) -> counts.merge(model, count, Math::max));
            dissolving.forEach(key -> key.model().ifPresent(model -> counts.merge(model, 1, Integer::sum)));
        }
        counts.forEach((model, count) -> peaks.merge(model, count - surplus.getOrDefault(model, 0), Math::max));
    }

    /** Returns whether another group of a model would replace a lost or evacuated one. */
    boolean isRepair(String model, int count) {
        return count < peaks.getOrDefault(model, 0);
    }

    private void updateSurplus(Collection<CountedGroup> groups, Map<String, Integer> counts, Set<ReplicaKey> existing) {
        surplus.replaceAll((model, count) -> Math.min(count, abovePeak(model, counts)));
        for (CountedGroup group : groups) {
            if (group.evacuated()) {
                evacuated.add(group.key());
            } else if (evacuated.remove(group.key())) {
                surplus.put(group.model(), abovePeak(group.model(), counts));
            }
        }
        evacuated.retainAll(existing);
    }

    private int abovePeak(String model, Map<String, Integer> counts) {
        return Math.max(0, counts.getOrDefault(model, 0) - peaks.getOrDefault(model, 0));
    }

    /**
     * Estimates the number of groups by model before the evacuation, for a lease holder that starts during one. Groups
     * newer than all evacuated ones are taken for replacements that a former holder has formed. Counting them as well
     * would make each new holder order them again.
     */
    private static Map<String, Integer> countBeforeEvacuation(Collection<CountedGroup> groups) {
        long newestEvacuated = groups.stream()
                .filter(CountedGroup::evacuated)
                .mapToLong(group -> group.key().epoch())
                .max()
                .orElse(Long.MIN_VALUE);
        Map<String, Integer> counts = new HashMap<>();
        groups.stream()
                .filter(group -> group.key().epoch() <= newestEvacuated)
                .forEach(group -> counts.merge(group.model(), 1, Integer::sum));
        return counts;
    }
}
