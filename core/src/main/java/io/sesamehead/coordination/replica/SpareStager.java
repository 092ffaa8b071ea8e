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
final class SpareStager {
    /** Loads may slow one another down at most by this factor before a copy is ordered again. */
    private static final int MAX_LOAD_SLOWDOWN = 3;

    private final Map<InstanceId, PendingCopy> pending = new HashMap<>();

    private record PendingCopy(String model, long expiresAtMillis) {}

    /**
     * A copy to make.
     *
     * @param target the upstream
     * @param model the model
     * @param missingCopies copies that still lack for a group, or a large number for a spare
     */
    private record Copy(UpstreamEntry target, ModelProfile model, int missingCopies) {}

    void plan(
            FleetView view,
            List<ModelProfile> byNeed,
            Set<String> underProvisioned,
            List<UpstreamEntry> free,
            LoadLimiter limiter,
            long nowMillis,
            List<ReplicaAction> actions) {
        pending.values().removeIf(order -> order.expiresAtMillis() <= nowMillis);
        for (Optional<Copy> next = bestCopy(byNeed, underProvisioned, free);
                next.isPresent();
                next = bestCopy(byNeed, underProvisioned, free)) {
            Copy copy = next.get();
            long loadMillis = copy.model().loadMillis();
            if (!limiter.tryStart(nowMillis, 1, loadMillis, view)) {
                return;
            }
            pending.put(
                    copy.target().id(),
                    new PendingCopy(copy.model().name(), nowMillis + loadMillis * MAX_LOAD_SLOWDOWN));
            actions.add(new ReplicaAction.Stage(copy.target().id(), copy.model().name()));
        }
    }

    void onResult(ReplicaAction.Stage stage, OrderResult result) {
        if (result != OrderResult.ACCEPTED && result != OrderResult.UNKNOWN) {
            pending.remove(stage.target());
        }
    }

    private Optional<Copy> bestCopy(List<ModelProfile> byNeed, Set<String> underProvisioned, List<UpstreamEntry> free) {
        List<Copy> copies = new ArrayList<>();
        for (List<UpstreamEntry> domain : MemberSelector.byFabricDomain(free).values()) {
            copyToUnstaged(byNeed, domain).ifPresent(copies::add);
            conversion(byNeed, underProvisioned, domain).ifPresent(copies::add);
        }
        return copies.stream()
                .min(Comparator.comparingInt(Copy::missingCopies)
                        .thenComparingInt(copy -> byNeed.indexOf(copy.model()))
                        .thenComparing(copy -> copy.target().id()));
    }

    private Optional<Copy> copyToUnstaged(List<ModelProfile> byNeed, List<UpstreamEntry> domain) {
        List<UpstreamEntry> unstaged = new ArrayList<>();
        for (UpstreamEntry entry : domain) {
            if (!pending.containsKey(entry.id()) && stagedModel(byNeed, entry).isEmpty()) {
                unstaged.add(entry);
            }
        }
        if (unstaged.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Integer> copies = countCopies(byNeed, domain);
        Copy best = new Copy(unstaged.get(0), leastCopied(byNeed, copies), Integer.MAX_VALUE);
        for (ModelProfile model : byNeed) {
            int missingCopies = model.groupSize() - copies.getOrDefault(model.name(), 0);
            if (missingCopies > 0 && missingCopies <= unstaged.size() && missingCopies < best.missingCopies()) {
                best = new Copy(unstaged.get(0), model, missingCopies);
            }
        }
        return Optional.of(best);
    }

    /** Finds a spare of a model with places to spare whose conversion helps to complete a group of one that lacks them. */
    private Optional<Copy> conversion(
            List<ModelProfile> byNeed, Set<String> underProvisioned, List<UpstreamEntry> domain) {
        List<UpstreamEntry> convertible = new ArrayList<>();
        for (UpstreamEntry entry : domain) {
            boolean needed =
                    stagedModel(byNeed, entry).map(underProvisioned::contains).orElse(true);
            if (!needed && !pending.containsKey(entry.id())) {
                convertible.add(entry);
            }
        }
        if (convertible.isEmpty()) {
            return Optional.empty();
        }
        Map<String, Integer> copies = countCopies(byNeed, domain);
        return byNeed.stream()
                .filter(model -> underProvisioned.contains(model.name()))
                .map(model ->
                        new Copy(convertible.get(0), model, model.groupSize() - copies.getOrDefault(model.name(), 0)))
                .filter(copy -> copy.missingCopies() > 0 && copy.missingCopies() <= convertible.size())
                .findFirst();
    }

    private Map<String, Integer> countCopies(List<ModelProfile> models, List<UpstreamEntry> domain) {
        Map<String, Integer> copies = new HashMap<>();
        for (UpstreamEntry spare : domain) {
            PendingCopy pendingCopy = pending.get(spare.id());
            if (pendingCopy != null) {
                copies.merge(pendingCopy.model(), 1, Integer::sum);
            } else {
                stagedModel(models, spare).ifPresent(model -> copies.merge(model, 1, Integer::sum));
            }
        }
        return copies;
    }

    private static Optional<String> stagedModel(List<ModelProfile> models, UpstreamEntry spare) {
        return models.stream()
                .map(ModelProfile::name)
                .filter(model -> MemberSelector.hasModel(spare, model))
                .findFirst();
    }

    private static ModelProfile leastCopied(List<ModelProfile> models, Map<String, Integer> copies) {
        return models.stream()
                .min(Comparator.comparingDouble(model -> copies.getOrDefault(model.name(), 0) / model.share()))
                .orElseThrow();
    }
}
