package io.sesamehead.coordination.replica;

import io.sesamehead.coordination.catalog.ModelProfile;
import io.sesamehead.state.InstanceId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Selects the free upstreams that form a group, all within one fabric domain. */
final class MemberSelector {
    /** Duration of a join whose model the upstream has already loaded, in milliseconds. */
    private static final long LOADED_READY_MILLIS = 200;

    /**
     * Free upstreams that could form a group.
     *
     * @param members the upstreams, the head first
     * @param loads number of members that need a load from the weight store
     * @param readyMillis time until all members are ready, in milliseconds
     * @param remainingFree number of free upstreams that remain in the fabric domain
     */
    record Candidate(List<UpstreamEntry> members, int loads, long readyMillis, int remainingFree) {}

    private MemberSelector() {}

    /**
     * Selects the best members for a group: those that are ready first, then the failure domain with the fewest groups
     * of the model, then the fabric domain with the fewest free upstreams left.
     *
     * @param free upstreams to select from
     * @param model the group's model
     * @param loadsAllowed whether members may need a load; otherwise all must have the model loaded or on their host
     * @param groupsByFailureDomain number of existing groups of the model, by failure domain
     */
    static Optional<Candidate> select(
            List<UpstreamEntry> free,
            ModelProfile model,
            boolean loadsAllowed,
            Map<String, Integer> groupsByFailureDomain) {
        List<UpstreamEntry> usable = loadsAllowed
                ? free
                : free.stream().filter(entry -> hasModel(entry, model.name())).toList();
        List<Candidate> candidates = new ArrayList<>();
        byFabricDomain(usable)
                .values()
                .forEach(domain -> bestInDomain(domain, model).ifPresent(candidates::add));
        Comparator<Candidate> preference = Comparator.comparingLong(Candidate::readyMillis)
                .thenComparing(candidate -> groupsByFailureDomain.getOrDefault(failureDomain(candidate), 0))
                .thenComparingInt(Candidate::remainingFree);
        return candidates.stream().min(preference);
    }

    static Map<String, List<UpstreamEntry>> byFabricDomain(List<UpstreamEntry> entries) {
        Map<String, List<UpstreamEntry>> domains = new HashMap<>();
        for (UpstreamEntry entry : entries) {
            domains.computeIfAbsent(entry.fabricDomain(), name -> new ArrayList<>())
                    .add(entry);
        }
        return domains;
    }

    /**
     * Counts the groups of a model by the failure domain of their head.
     *
     * @param entries the service's upstreams as listed in the registry
     * @param model the model
     * @param formingHeads heads of groups of the model that are being formed
     */
    static Map<String, Integer> groupsByFailureDomain(
            List<UpstreamEntry> entries, ModelProfile model, Set<InstanceId> formingHeads) {
        Map<String, Integer> counts = new HashMap<>();
        for (UpstreamEntry entry : entries) {
            boolean existing = entry.membership()
                    .filter(Membership::head)
                    .flatMap(membership -> membership.replica().model())
                    .filter(model.name()::equals)
                    .isPresent();
            if (existing || formingHeads.contains(entry.id())) {
                counts.merge(entry.failureDomain().value(), 1, Integer::sum);
            }
        }
        return counts;
    }

    static String failureDomain(Candidate candidate) {
        return candidate.members().get(0).failureDomain().value();
    }

    static boolean hasModel(UpstreamEntry entry, String model) {
        return entry.loaded().contains(model) || entry.staged().contains(model);
    }

    private static Optional<Candidate> bestInDomain(List<UpstreamEntry> free, ModelProfile model) {
        if (free.size() < model.groupSize()) {
            return Optional.empty();
        }
        List<UpstreamEntry> sorted = new ArrayList<>(free);
        sorted.sort(Comparator.<UpstreamEntry>comparingLong(entry -> readyMillis(entry, model))
                .thenComparing(entry -> entry.staged().isEmpty() ? 0 : 1)
                .thenComparing(UpstreamEntry::id));
        List<UpstreamEntry> members = List.copyOf(sorted.subList(0, model.groupSize()));
        int loads = (int) members.stream()
                .filter(entry -> readyMillis(entry, model) == model.loadMillis())
                .count();
        long ready = readyMillis(members.get(members.size() - 1), model);
        return Optional.of(new Candidate(members, loads, ready, free.size() - model.groupSize()));
    }

    private static long readyMillis(UpstreamEntry entry, ModelProfile model) {
        if (entry.loaded().contains(model.name())) {
            return LOADED_READY_MILLIS;
        }
        return entry.staged().contains(model.name()) ? model.warmLoadMillis() : model.loadMillis();
    }
}
