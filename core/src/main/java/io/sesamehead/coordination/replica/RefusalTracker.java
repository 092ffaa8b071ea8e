package io.sesamehead.coordination.replica;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tracks which models refuse calls, or run more calls than they have slots, for longer than a short peak. Not
 * thread-safe.
 */
final class RefusalTracker {
    /** Rate of refused calls from which a model counts as refusing, in calls per second. */
    private static final double MIN_REFUSED_PER_SECOND = 1;
    /** Time over which calls must be refused, in milliseconds: longer than calls take to move away from a lost group. */
    private static final long SUSTAINED_MILLIS = 500;
    /** Time after the last refusal in which spares are still used, in milliseconds: the mean interval at one a second. */
    private static final long RECENT_MILLIS = 1_000;
    /** Increase over the decayed rate that shows another refusal, in calls per second; above rounding errors. */
    private static final double REFUSAL_EPSILON = 0.001;

    private final Map<String, Overload> overloads = new HashMap<>();
    private final Map<String, Rate> rates = new HashMap<>();

    /**
     * A time during which calls are refused.
     *
     * @param beganAtMillis time of the first refusal
     * @param lastAtMillis time of the last refusal
     */
    private record Overload(long beganAtMillis, long lastAtMillis) {}

    private record Rate(double refusedPerSecond, long atMillis) {}

    /**
     * Records the load of a model.
     *
     * @param model the model
     * @param demand its load
     * @param slots number of calls that its groups can run
     * @param nowMillis current monotonic time, in milliseconds
     */
    void update(String model, ModelDemand demand, double slots, long nowMillis) {
        boolean refusing = demand.refusedPerSecond() >= MIN_REFUSED_PER_SECOND;
        boolean refusedAgain = refusedSince(model, demand.refusedPerSecond(), nowMillis);
        boolean full = demand.running() > slots;
        if (full || (refusing && refusedAgain)) {
            Overload before = overloads.get(model);
            overloads.put(model, new Overload(before == null ? nowMillis : before.beganAtMillis(), nowMillis));
        } else if (!refusing) {
            overloads.remove(model);
        }
    }

    /** Returns the models whose calls have been refused for some time and still are. */
    Set<String> refusing(long nowMillis) {
        return overloads.entrySet().stream()
                .filter(entry -> isSustained(entry.getValue(), nowMillis))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    private static boolean isSustained(Overload overload, long nowMillis) {
        return overload.lastAtMillis() - overload.beganAtMillis() >= SUSTAINED_MILLIS
                && nowMillis - overload.lastAtMillis() <= RECENT_MILLIS;
    }

    /**
     * Returns whether a call was refused since the last step. The rate decays over seconds, so that it stays high long
     * after a short peak; only a rate above the decayed one shows that calls are still refused.
     */
    private boolean refusedSince(String model, double refusedPerSecond, long nowMillis) {
        Rate last = rates.put(model, new Rate(refusedPerSecond, nowMillis));
        if (last == null) {
            return refusedPerSecond > 0;
        }
        double decay = Math.exp(-(nowMillis - last.atMillis()) / ModelDemand.REFUSAL_DECAY_MILLIS);
        return refusedPerSecond > last.refusedPerSecond() * decay + REFUSAL_EPSILON;
    }
}
