package io.sesamehead.coordination.dispatch;

import com.google.common.collect.ImmutableMap;
import java.util.OptionalLong;

/**
 * What one daemon knows of the crashes of a request, as it tells the others. Ages instead of times, since daemons share no
 * clock.
 *
 * @param request the request
 * @param ageMillisByCrash time since each crash, in milliseconds, by the hash of the target that broke off
 * @param completedAgeMillis time since the request last ran to its end, in milliseconds, empty if it is not known to have
 */
public record CrashReport(
        CallFingerprint request, ImmutableMap<Long, Long> ageMillisByCrash, OptionalLong completedAgeMillis) {
    /**
     * Returns the report as of a later time.
     *
     * @param millis time since the report was made, in milliseconds
     * @return the same with higher ages
     */
    public CrashReport aged(long millis) {
        ImmutableMap.Builder<Long, Long> ages = ImmutableMap.builder();
        ageMillisByCrash.forEach((crash, age) -> ages.put(crash, age + millis));
        OptionalLong completed = completedAgeMillis.isPresent()
                ? OptionalLong.of(completedAgeMillis.getAsLong() + millis)
                : OptionalLong.empty();
        return new CrashReport(request, ages.buildOrThrow(), completed);
    }
}
