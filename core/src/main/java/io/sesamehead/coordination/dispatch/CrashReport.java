package io.sesamehead.coordination.dispatch;

import com.google.common.collect.ImmutableMap;
import java.util.OptionalLong;

/**
 * Crashes of one subject, as a daemon reports them to others. Holds ages instead of times because daemons do not
 * share a clock.
 *
 * @param subject what the crashes are counted against
 * @param ageMillisByCrash time since each crash, in milliseconds, by the hash of the target incarnation that crashed
 * @param completedAgeMillis time since a call of the subject last completed, in milliseconds, empty if no completion is
 *     known
 */
public record CrashReport(
        CrashSubject subject, ImmutableMap<Long, Long> ageMillisByCrash, OptionalLong completedAgeMillis) {
    /**
     * Returns the report with its ages advanced.
     *
     * @param millis time since the report was made, in milliseconds
     * @return the aged report
     */
    public CrashReport aged(long millis) {
        ImmutableMap.Builder<Long, Long> ages = ImmutableMap.builder();
        ageMillisByCrash.forEach((crash, age) -> ages.put(crash, age + millis));
        OptionalLong completed = completedAgeMillis.isPresent()
                ? OptionalLong.of(completedAgeMillis.getAsLong() + millis)
                : OptionalLong.empty();
        return new CrashReport(subject, ages.buildOrThrow(), completed);
    }
}
