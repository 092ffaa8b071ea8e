package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.catalog.EngineProfile;
import java.util.HashMap;
import java.util.Map;

/** Estimates how long calls wait and run, from the configuration and from completed calls. Not thread-safe. */
public final class ServiceTimeEstimator {
    /** Run time assumed until the first call of a service or model has ended, in milliseconds. */
    private static final double DEFAULT_RUN_MILLIS = 500;
    /** Weight of the newest run time in the moving average. */
    private static final double RUN_WEIGHT = 0.05;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<String, Double> runMillis = new HashMap<>();
    /** Run times without waiting for a slot, as far as they can be told apart. */
    private final Map<String, Double> unqueuedMillis = new HashMap<>();

    /**
     * Records the run time of a call.
     *
     * @param target where the call ran
     * @param millis time from sending the call to its end, in milliseconds
     */
    public void recordRunTime(Target target, long millis) {
        runMillis.merge(averageKey(target), (double) millis, (old, value) -> old + (value - old) * RUN_WEIGHT);
    }

    /**
     * Records the run time of a call.
     *
     * @param target where the call ran
     * @param millis time from sending the call to its end, in milliseconds
     * @param load number of calls in flight at the target when it ended
     */
    public void recordRunTime(Target target, long millis, int load) {
        recordRunTime(target, millis);
        if (load <= target.slots()) {
            unqueuedMillis.merge(averageKey(target), (double) millis, (old, value) -> old + (value - old) * RUN_WEIGHT);
        }
    }

    /**
     * Returns the mean time that a call of a target's pool occupies a slot.
     *
     * @param target one of the pool's targets
     * @return the time, in milliseconds
     */
    public double meanRunMillis(Target target) {
        Double unqueued = unqueuedMillis.get(averageKey(target));
        return unqueued != null ? unqueued : runMillis.getOrDefault(averageKey(target), DEFAULT_RUN_MILLIS);
    }

    /**
     * Estimates how long a call waits for a slot.
     *
     * @param target where the call would be sent
     * @param load number of calls in flight at the target
     * @return the wait in milliseconds, 0 if a slot is free
     */
    public long waitMillis(Target target, int load) {
        int ahead = load - target.slots() + 1;
        if (ahead <= 0) {
            return 0;
        }
        return (long) (ahead * runMillis.getOrDefault(averageKey(target), DEFAULT_RUN_MILLIS) / target.slots());
    }

    /**
     * Estimates the time until the first event of a call, or until the answer of a plain call.
     *
     * @param target where the call would be sent
     * @param load number of calls in flight at the target
     * @param promptTokens number of prompt tokens, 0 for a plain call
     * @return the time, in milliseconds
     */
    public long firstEventMillis(Target target, int load, int promptTokens) {
        long wait = waitMillis(target, load);
        if (target.engine().isEmpty() || promptTokens == 0) {
            return wait + (long) (double) runMillis.getOrDefault(averageKey(target), DEFAULT_RUN_MILLIS);
        }
        EngineProfile profile = target.engine().get();
        double prefillMillis = promptTokens / profile.prefillTokensPerSecond() * MILLIS_PER_SECOND;
        double stepMillis = profile.stepMillis() + profile.perSequenceMillis() * Math.min(load, target.slots());
        // The running batch finishes its pass before the prefill, and another pass produces the first event.
        double passMillis = 2 * profile.stepsPerEvent() * stepMillis;
        return wait + (long) ((prefillMillis + passMillis) * target.timeFactor());
    }

    /**
     * Estimates the time until the end of a call.
     *
     * @param target where the call would be sent
     * @param load number of calls in flight at the target
     * @param promptTokens number of prompt tokens, 0 for a plain call
     * @param ranMillis time for which a stream that would be resumed has run, in milliseconds
     * @return the time, in milliseconds, at least that until the first event
     */
    public long endMillis(Target target, int load, int promptTokens, long ranMillis) {
        double run = runMillis.getOrDefault(averageKey(target), DEFAULT_RUN_MILLIS);
        return Math.max(
                firstEventMillis(target, load, promptTokens), waitMillis(target, load) + (long) run - ranMillis);
    }

    private static String averageKey(Target target) {
        return target.key().replica().model().orElse(target.upstream().service().value());
    }
}
