package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.coordination.replica.ModelDemand;
import java.util.HashMap;
import java.util.Map;

/** Demand for each model across all daemons: calls in flight at its groups and recently refused calls. */
final class ModelLoads {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Double> refused = new HashMap<>();
    private final Map<String, Integer> unreported = new HashMap<>();
    private long decayedAtMillis;

    /** Records a call that this daemon refused. */
    void recordLocalRefusal(String model, long nowMillis) {
        recordRemoteRefusals(model, 1, nowMillis);
        unreported.merge(model, 1, Integer::sum);
    }

    /** Records calls that another daemon refused. */
    void recordRemoteRefusals(String model, int count, long nowMillis) {
        decay(nowMillis);
        refused.merge(model, (double) count, Double::sum);
    }

    /** Returns and resets this daemon's refusals since the last report. */
    Map<String, Integer> drainUnreported() {
        Map<String, Integer> counts = Map.copyOf(unreported);
        unreported.clear();
        return counts;
    }

    Map<String, ModelDemand> demand(Iterable<Target> targets, TargetTable table, long nowMillis) {
        decay(nowMillis);
        Map<String, Integer> inFlight = new HashMap<>();
        for (Target target : targets) {
            target.key()
                    .replica()
                    .model()
                    .ifPresent(model -> inFlight.merge(model, table.inFlight(target.key()), Integer::sum));
        }
        Map<String, ModelDemand> demand = new HashMap<>();
        inFlight.forEach((model, count) -> demand.put(model, new ModelDemand(count, refusedPerSecond(model))));
        refused.forEach(
                (model, count) -> demand.computeIfAbsent(model, name -> new ModelDemand(0, refusedPerSecond(name))));
        return demand;
    }

    private double refusedPerSecond(String model) {
        return refused.getOrDefault(model, 0.0) * MILLIS_PER_SECOND / ModelDemand.REFUSAL_DECAY_MILLIS;
    }

    private void decay(long nowMillis) {
        double factor = Math.exp(-(nowMillis - decayedAtMillis) / ModelDemand.REFUSAL_DECAY_MILLIS);
        decayedAtMillis = nowMillis;
        refused.replaceAll((model, count) -> count * factor);
    }
}
