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
 * Stages models on the hosts of free upstreams. Loads are scarce, so they first go where the fewest copies complete a
 * group, first of an under-provisioned model, and then to warm spares, with which a group that loses a member is complete
 * again within the time of a load from the host. When one model is under-provisioned and another is not, spares of the second are converted to the
 * first if that completes a group. Not thread-safe.
 */
final class SpareStager {
    /** Maximum factor by which concurrent loads may slow each other down before a copy is ordered again. */
    private static final int MAX_LOAD_SLOWDOWN = 3;

    private final Map<InstanceId, PendingCopy> pending = new HashMap<>();

    private record PendingCopy(String model, long expiresAtMillis) {}

    /**
     * A copy of a model's weights to a host.
     *
     * @param target the upstream
     * @param model the model
     * @param missingCopies number of copies still missing for a group, or {@link Integer#MAX_VALUE} for a spare
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
        pending.values().removeIf(copy -> copy.expiresAtMillis() <= nowMillis);
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
            copyToUnstaged(byNeed, underProvisioned, domain).ifPresent(copies::add);
            conversion(byNeed, underProvisioned, domain).ifPresent(copies::add);
        }
        return copies.stream()
                .min(Comparator.comparing((Copy copy) -> !completesGroupOf(underProvisioned, copy))
                        .thenComparingInt(Copy::missingCopies)
                        .thenComparingInt(copy -> byNeed.indexOf(copy.model()))
                        .thenComparing(
                                copy -> stagedModel(byNeed, copy.target()).isPresent())
                        .thenComparing(copy -> copy.target().id()));
    }

    private static boolean completesGroupOf(Set<String> models, Copy copy) {
        return models.contains(copy.model().name()) && copy.missingCopies() < Integer.MAX_VALUE;
    }

    private Optional<Copy> copyToUnstaged(
            List<ModelProfile> byNeed, Set<String> underProvisioned, List<UpstreamEntry> domain) {
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
        Copy spare = new Copy(unstaged.get(0), leastCopied(byNeed, copies), Integer.MAX_VALUE);
        return Optional.of(byNeed.stream()
                .map(model ->
                        new Copy(unstaged.get(0), model, model.groupSize() - copies.getOrDefault(model.name(), 0)))
                .filter(copy -> copy.missingCopies() > 0 && copy.missingCopies() <= unstaged.size())
                .min(Comparator.comparing((Copy copy) -> !completesGroupOf(underProvisioned, copy))
                        .thenComparingInt(Copy::missingCopies))
                .orElse(spare));
    }

    /**
     * Finds a spare of a sufficiently provisioned model whose conversion helps to complete a group of an
     * under-provisioned one.
     */
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
