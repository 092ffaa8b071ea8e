package io.sesamehead.coordination.replica;

import io.sesamehead.coordination.catalog.ModelProfile;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Chooses the free upstreams that form a group, all within one fabric domain. */
final class MemberSelector {
    /** Time of a join whose model the upstream already holds, in milliseconds. */
    private static final long LOADED_READY_MILLIS = 200;

    /**
     * Free upstreams that could form a group.
     *
     * @param members the upstreams, the head first
     * @param loads members that need a load from the weight store
     * @param readyMillis time until all are ready, in milliseconds
     * @param remainingFree free upstreams that the domain keeps
     */
    record Candidate(List<UpstreamEntry> members, int loads, long readyMillis, int remainingFree) {}

    private MemberSelector() {}

    /**
     * Finds the best members for a group.
     *
     * @param free upstreams to choose from
     * @param model the group's model
     * @param loadsAllowed whether members may need a load; otherwise all must have the model on their host
     * @param groupsByFailureDomain groups of the model that exist, by failure domain
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
