package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetTable;
import io.sesamehead.coordination.replica.ModelDemand;
import java.util.HashMap;
import java.util.Map;

/** Demand for each model over all daemons: calls running at its groups, and calls refused lately. */
final class ModelLoads {
    /** Time in which a counted refusal loses most of its weight, in milliseconds. */
    private static final double DECAY_MILLIS = 2_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Double> refused = new HashMap<>();
    private final Map<String, Integer> unreported = new HashMap<>();
    private long decayedAt;

    /** Counts a call that this daemon refused. */
    void recordLocalRefusal(String model, long nowMillis) {
        recordRemoteRefusals(model, 1, nowMillis);
        unreported.merge(model, 1, Integer::sum);
    }

    /** Counts calls that another daemon refused. */
    void recordRemoteRefusals(String model, int count, long nowMillis) {
        decay(nowMillis);
        refused.merge(model, (double) count, Double::sum);
    }

    /** Returns this daemon's refusals since the last report, and begins the next one. */
    Map<String, Integer> drainUnreported() {
        Map<String, Integer> counts = Map.copyOf(unreported);
        unreported.clear();
        return counts;
    }

    Map<String, ModelDemand> demand(Iterable<Target> targets, TargetTable table, long nowMillis) {
        decay(nowMillis);
        Map<String, Integer> running = new HashMap<>();
        for (Target target : targets) {
            target.key()
                    .replica()
                    .model()
                    .ifPresent(model -> running.merge(model, table.inFlight(target.key()), Integer::sum));
        }
        Map<String, ModelDemand> demand = new HashMap<>();
        running.forEach((model, count) -> demand.put(model, new ModelDemand(count, refusedPerSecond(model))));
        refused.forEach(
                (model, count) -> demand.computeIfAbsent(model, name -> new ModelDemand(0, refusedPerSecond(name))));
        return demand;
    }

    private double refusedPerSecond(String model) {
        return refused.getOrDefault(model, 0.0) * MILLIS_PER_SECOND / DECAY_MILLIS;
    }

    private void decay(long nowMillis) {
        double factor = Math.exp(-(nowMillis - decayedAt) / DECAY_MILLIS);
        decayedAt = nowMillis;
        refused.replaceAll((model, count) -> count * factor);
    }
}
