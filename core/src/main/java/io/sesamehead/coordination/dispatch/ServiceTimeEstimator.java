package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.catalog.EngineProfile;
import java.util.HashMap;
import java.util.Map;

/** Estimates how long calls wait and run, from the configuration and from calls that ended. Not thread-safe. */
public final class ServiceTimeEstimator {
    /** Run time assumed before a call of the service has ended, in milliseconds. */
    private static final double FIRST_RUN_MILLIS = 500;
    /** Weight of a new run time in the average. */
    private static final double RUN_WEIGHT = 0.05;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Double> runMillis = new HashMap<>();

    /**
     * Records how long a call ran.
     *
     * @param target where it ran
     * @param millis from sending to its end, in milliseconds
     */
    public void recordRunTime(Target target, long millis) {
        runMillis.merge(kind(target), (double) millis, (old, value) -> old + (value - old) * RUN_WEIGHT);
    }

    /**
     * Estimates how long a call waits for a place.
     *
     * @param target where it would go
     * @param load calls in flight there
     * @return the time, in milliseconds; 0 if a place is free
     */
    public long waitMillis(Target target, int load) {
        int ahead = load - target.slots() + 1;
        if (ahead <= 0) {
            return 0;
        }
        return (long) (ahead * runMillis.getOrDefault(kind(target), FIRST_RUN_MILLIS) / target.slots());
    }

    /**
     * Estimates when a call's first event, or the answer of a plain call, comes.
     *
     * @param target where it would go
     * @param load calls in flight there
     * @param promptTokens tokens to read
     * @return the time, in milliseconds
     */
    public long firstEventMillis(Target target, int load, int promptTokens) {
        long wait = waitMillis(target, load);
        if (target.engine().isEmpty() || promptTokens == 0) {
            return wait + (long) (double) runMillis.getOrDefault(kind(target), FIRST_RUN_MILLIS);
        }
        EngineProfile profile = target.engine().get();
        double read = promptTokens / profile.prefillTokensPerSecond() * MILLIS_PER_SECOND;
        double step = profile.stepMillis() + profile.perSequenceMillis() * Math.min(load, target.slots());
        // A running batch ends its pass before it reads a new prompt, and then makes the first event.
        double passes = 2 * profile.stepsPerEvent() * step;
        return wait + (long) ((read + passes) * target.timeFactor());
    }

    private static String kind(Target target) {
        return target.key().replica().model().orElse(target.upstream().service().value());
    }
}
