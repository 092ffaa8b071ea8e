package io.sesamehead.coordination.replica;

import com.google.common.collect.Sets;
import io.sesamehead.coordination.catalog.ModelProfile;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tracks how highly the models are utilized and which need another group more than the spares that it uses. Not
 * thread-safe.
 */
final class ModelUtilization {
    /** Fraction of a model's slots in use above which the reserve may be used for another group. */
    private static final double HIGH_UTILIZATION = 0.6;
    /**
     * Time for which a model's utilization must stay that high, in milliseconds. Calls pile up at a lost group for
     * about this long.
     */
    private static final long SUSTAINED_UTILIZATION_MILLIS = 3_000;

    private final Map<String, Long> highUtilizationSince = new HashMap<>();
    private final RefusalTracker refusals = new RefusalTracker();

    /**
     * Records since when each model has been highly utilized. A lost group makes its model look busy until its calls
     * have moved to other groups. Groups formed for such a short peak would use the spares needed to repair the next
     * loss.
     */
    void update(FleetView view, Map<String, Integer> groups, long nowMillis) {
        for (ModelProfile model : view.engine().models()) {
            if (utilization(view, model, groups) > HIGH_UTILIZATION) {
                highUtilizationSince.putIfAbsent(model.name(), nowMillis);
            } else {
                highUtilizationSince.remove(model.name());
            }
            double slots = (double) view.engine().slots() * groups.getOrDefault(model.name(), 0);
            refusals.update(model.name(), demand(view, model), slots, nowMillis);
        }
    }

    /** Returns the models that have been highly utilized, or whose calls have been refused, for some time. */
    Set<String> underProvisioned(long nowMillis) {
        return Sets.union(highlyUtilized(nowMillis), refusals.refusing(nowMillis));
    }

    /**
     * Returns whether another group of a model may use the reserve. Where calls are refused, groups are formed until the
     * model is no longer highly utilized, so that a few refusals don't use all spares. The first is formed in any case,
     * since calls may be refused in one failure domain while the groups of another have slots.
     *
     * @param model the model
     * @param groups number of groups by model, with those that are forming
     * @param forming number of groups of the model that are forming
     */
    boolean mayUseReserve(
            FleetView view, ModelProfile model, Map<String, Integer> groups, int forming, long nowMillis) {
        if (highlyUtilized(nowMillis).contains(model.name())) {
            return true;
        }
        boolean needed = forming == 0 || utilization(view, model, groups) > HIGH_UTILIZATION;
        return needed && refusals.refusing(nowMillis).contains(model.name());
    }

    private Set<String> highlyUtilized(long nowMillis) {
        return highUtilizationSince.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue() >= SUSTAINED_UTILIZATION_MILLIS)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Returns the models, the one that needs another group most first. */
    static List<ModelProfile> byNeed(FleetView view, Map<String, Integer> groups) {
        List<ModelProfile> models = new ArrayList<>(view.engine().models());
        models.sort(Comparator.comparingDouble((ModelProfile model) -> need(view, model, groups))
                .reversed());
        return models;
    }

    private static double need(FleetView view, ModelProfile model, Map<String, Integer> groups) {
        int count = groups.getOrDefault(model.name(), 0);
        if (count == 0) {
            return Double.MAX_VALUE;
        }
        // A slower model occupies its groups longer for the same share of the work.
        return view.trafficSeen() ? utilization(view, model, groups) : model.share() * model.timeFactor() / count;
    }

    private static double utilization(FleetView view, ModelProfile model, Map<String, Integer> groups) {
        ModelDemand demand = demand(view, model);
        double slots = (double) view.engine().slots() * Math.max(1, groups.getOrDefault(model.name(), 0));
        return (demand.running() + demand.refusedPerSecond()) / slots;
    }

    private static ModelDemand demand(FleetView view, ModelProfile model) {
        return view.demand().getOrDefault(model.name(), ModelDemand.NONE);
    }
}
