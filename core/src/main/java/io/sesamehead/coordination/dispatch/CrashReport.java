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
        CallFingerprint request, ImmutableMap<Long, Long> ageMillisByCrash, OptionalLong completedAgeMillis) {}
