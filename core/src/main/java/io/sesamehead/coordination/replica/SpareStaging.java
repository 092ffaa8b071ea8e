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

/**
 * Copies models to the hosts of free upstreams. Loads are scarce, so they go first where the fewest complete a group, and
 * then to spares, with which a group that loses a member is complete again in the time of a load from the host. Under
 * a load in which one model lacks places and another does not, spares of the second get the first one's weights where
 * that completes a group. Not thread-safe.
 */
final class SpareStaging {
    /** Loads may slow one another down at most by this factor before a copy is ordered again. */
    private static final int LOAD_FACTOR = 3;

    private final Map<InstanceId, Pending> pending = new HashMap<>();

    private record Pending(String model, long untilMillis) {}

    /**
     * A copy to make.
     *
     * @param target the upstream
     * @param model the model
     * @param missing copies that still lack for a group, or a large number for a spare
     */
    private record Copy(UpstreamEntry target, ModelProfile model, int missing) {}

    void plan(
            FleetView view,
            List<ModelProfile> byNeed,
            Set<String> shortModels,
            List<UpstreamEntry> free,
            LoadLimiter limiter,
            long nowMillis,
            List<ReplicaAction> actions) {
        pending.values().removeIf(order -> order.untilMillis() <= nowMillis);
        for (Optional<Copy> next = best(byNeed, shortModels, free);
                next.isPresent();
                next = best(byNeed, shortModels, free)) {
            Copy copy = next.get();
            long loadMillis = copy.model().loadMillis();
            if (!limiter.tryStart(nowMillis, 1, loadMillis, view)) {
                return;
            }
            pending.put(copy.target().id(), new Pending(copy.model().name(), nowMillis + loadMillis * LOAD_FACTOR));
            actions.add(new ReplicaAction.Stage(copy.target().id(), copy.model().name()));
        }
    }

    void onResult(ReplicaAction.Stage stage, OrderResult result) {
        if (result != OrderResult.ACCEPTED && result != OrderResult.UNKNOWN) {
            pending.remove(stage.target());
        }
    }

    private Optional<Copy> best(List<ModelProfile> byNeed, Set<String> shortModels, List<UpstreamEntry> free) {
        List<Copy> copies = new ArrayList<>();
        for (List<UpstreamEntry> domain : MemberChoice.byFabricDomain(free).values()) {
            ofDomain(byNeed, domain).ifPresent(copies::add);
            converted(byNeed, shortModels, domain).ifPresent(copies::add);
        }
        return copies.stream()
                .min(Comparator.comparingInt(Copy::missing)
                        .thenComparingInt(copy -> byNeed.indexOf(copy.model()))
                        .thenComparing(copy -> copy.target().id()));
    }

    private Optional<Copy> ofDomain(List<ModelProfile> byNeed, List<UpstreamEntry> domain) {
        List<UpstreamEntry> empty = new ArrayList<>();
        for (UpstreamEntry entry : domain) {
            if (!pending.containsKey(entry.id()) && copyOf(byNeed, entry).isEmpty()) {
                empty.add(entry);
            }
        }
        if (empty.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Integer> copies = countCopies(byNeed, domain);
        Copy best = new Copy(empty.get(0), leastCopied(byNeed, copies), Integer.MAX_VALUE);
        for (ModelProfile model : byNeed) {
            int missing = model.size() - copies.getOrDefault(model.name(), 0);
            if (missing > 0 && missing <= empty.size() && missing < best.missing()) {
                best = new Copy(empty.get(0), model, missing);
            }
        }
        return Optional.of(best);
    }

    /** Finds a spare of a model with places to spare whose conversion helps to complete a group of one that lacks them. */
    private Optional<Copy> converted(List<ModelProfile> byNeed, Set<String> shortModels, List<UpstreamEntry> domain) {
        List<UpstreamEntry> others = new ArrayList<>();
        for (UpstreamEntry entry : domain) {
            boolean needed = copyOf(byNeed, entry).map(shortModels::contains).orElse(true);
            if (!needed && !pending.containsKey(entry.id())) {
                others.add(entry);
            }
        }
        if (others.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Integer> copies = countCopies(byNeed, domain);
        return byNeed.stream()
                .filter(model -> shortModels.contains(model.name()))
                .map(model -> new Copy(others.get(0), model, model.size() - copies.getOrDefault(model.name(), 0)))
                .filter(copy -> copy.missing() > 0 && copy.missing() <= others.size())
                .findFirst();
    }

    private Map<String, Integer> countCopies(List<ModelProfile> models, List<UpstreamEntry> domain) {
        Map<String, Integer> copies = new HashMap<>();
        for (UpstreamEntry spare : domain) {
            Pending order = pending.get(spare.id());
            if (order != null) {
                copies.merge(order.model(), 1, Integer::sum);
            } else {
                copyOf(models, spare).ifPresent(model -> copies.merge(model, 1, Integer::sum));
            }
        }
        return copies;
    }

    private static Optional<String> copyOf(List<ModelProfile> models, UpstreamEntry spare) {
        return models.stream()
                .map(ModelProfile::name)
                .filter(model -> MemberChoice.hasModel(spare, model))
                .findFirst();
    }

    private static ModelProfile leastCopied(List<ModelProfile> models, Map<String, Integer> copies) {
        return models.stream()
                .min(Comparator.comparingDouble(model -> copies.getOrDefault(model.name(), 0) / model.share()))
                .orElseThrow();
    }
}
