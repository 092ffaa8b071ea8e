package io.sesamehead.coordination.replica;

import io.sesamehead.coordination.catalog.ModelProfile;
import io.sesamehead.state.InstanceId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Copies models to the hosts of free upstreams, so that a group that loses a member is complete again in the time of a
 * load from the host. Not thread-safe.
 */
final class SpareStaging {
    /** Loads may slow one another down at most by this factor before a copy is ordered again. */
    private static final int LOAD_FACTOR = 3;

    private final Map<InstanceId, Pending> pending = new HashMap<>();

    private record Pending(String model, long untilMillis) {}

    void plan(
            FleetView view,
            List<UpstreamEntry> free,
            LoadLimiter limiter,
            long nowMillis,
            List<ReplicaAction> actions) {
        pending.values().removeIf(order -> order.untilMillis() <= nowMillis);
        for (List<UpstreamEntry> domain : MemberChoice.byFabricDomain(free).values()) {
            planDomain(view, domain, limiter, nowMillis, actions);
        }
    }

    void onResult(ReplicaAction.Stage stage, OrderResult result) {
        if (result != OrderResult.ACCEPTED && result != OrderResult.UNKNOWN) {
            pending.remove(stage.target());
        }
    }

    private void planDomain(
            FleetView view,
            List<UpstreamEntry> domain,
            LoadLimiter limiter,
            long nowMillis,
            List<ReplicaAction> actions) {
        Map<String, Integer> copies = countCopies(view, domain);
        List<UpstreamEntry> sorted = new ArrayList<>(domain);
        sorted.sort(Comparator.comparing(UpstreamEntry::id));
        for (UpstreamEntry spare : sorted) {
            ModelProfile wanted = mostWanted(view, copies);
            if (pending.containsKey(spare.id()) || !worthStaging(view, spare, wanted, copies)) {
                continue;
            }
            if (!limiter.tryStart(nowMillis, 1, wanted.loadMillis(), view)) {
                return;
            }
            copyOf(view, spare).ifPresent(model -> copies.merge(model, -1, Integer::sum));
            copies.merge(wanted.name(), 1, Integer::sum);
            pending.put(spare.id(), new Pending(wanted.name(), nowMillis + wanted.loadMillis() * LOAD_FACTOR));
            actions.add(new ReplicaAction.Stage(spare.id(), wanted.name()));
        }
    }

    /** A host without a copy gets one; a host with one changes only if the domain lacks the other model entirely. */
    private static boolean worthStaging(
            FleetView view, UpstreamEntry spare, ModelProfile wanted, Map<String, Integer> copies) {
        var copy = copyOf(view, spare);
        if (copy.isEmpty()) {
            return true;
        }
        return copies.getOrDefault(wanted.name(), 0) == 0 && copies.getOrDefault(copy.get(), 0) > 1;
    }

    private Map<String, Integer> countCopies(FleetView view, List<UpstreamEntry> domain) {
        Map<String, Integer> copies = new HashMap<>();
        for (UpstreamEntry spare : domain) {
            Pending order = pending.get(spare.id());
            if (order != null) {
                copies.merge(order.model(), 1, Integer::sum);
            } else {
                copyOf(view, spare).ifPresent(model -> copies.merge(model, 1, Integer::sum));
            }
        }
        return copies;
    }

    private static Optional<String> copyOf(FleetView view, UpstreamEntry spare) {
        return spare.staged().stream()
                .filter(model -> view.engine().model(model).isPresent())
                .findFirst();
    }

    private static ModelProfile mostWanted(FleetView view, Map<String, Integer> copies) {
        return view.engine().models().stream()
                .min(Comparator.comparingDouble(model -> copies.getOrDefault(model.name(), 0) / model.share()))
                .orElseThrow();
    }
}
