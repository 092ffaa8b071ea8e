package io.sesamehead.coordination.dispatch;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.util.OptionalLong;

/**
 * Crashes of one subject, as a daemon reports them to others. Holds ages instead of times because daemons do not
 * share a clock.
 *
 * @param subject what the crashes are counted against
 * @param ageMillisByCrash time since each crash, in milliseconds, by the hash of the target incarnation that crashed
 * @param completedAgeMillis time since a call of the subject last completed, in milliseconds, empty if no completion is
 *     known
 * @param survivorAgeMillisByCrash time since the target incarnation was last known to go on, in milliseconds, by the same
 *     hash; losses there up to that time were no crashes
 */
public record CrashReport(
        CrashSubject subject,
        ImmutableMap<Long, Long> ageMillisByCrash,
        OptionalLong completedAgeMillis,
        ImmutableMap<Long, Long> survivorAgeMillisByCrash) {
    /**
     * Creates a report that refutes no crash.
     *
     * @param subject what the crashes are counted against
     * @param ageMillisByCrash time since each crash, in milliseconds, by the hash of the target incarnation that crashed
     * @param completedAgeMillis time since a call of the subject last completed, in milliseconds, if any did
     */
    public CrashReport(
            CrashSubject subject, ImmutableMap<Long, Long> ageMillisByCrash, OptionalLong completedAgeMillis) {
        this(subject, ageMillisByCrash, completedAgeMillis, ImmutableMap.of());
    }

    /**
     * Returns the report with its ages advanced.
     *
     * @param millis time since the report was made, in milliseconds
     * @return the aged report
     */
    public CrashReport aged(long millis) {
        OptionalLong completed = completedAgeMillis.isPresent()
                ? OptionalLong.of(completedAgeMillis.getAsLong() + millis)
                : OptionalLong.empty();
        return new CrashReport(
                subject, aged(ageMillisByCrash, millis), completed, aged(survivorAgeMillisByCrash, millis));
    }

    private static ImmutableMap<Long, Long> aged(ImmutableMap<Long, Long> ages, long millis) {
        return ImmutableMap.copyOf(Maps.transformValues(ages, age -> age + millis));
    }
}
