package io.sesamehead.coordination.admission;

import java.util.ArrayDeque;

/**
 * Fractions of the calls of a pool that were admitted lately. They tell how many calls all daemons have sent since a report
 * was made, because all compute the same fractions.
 */
final class AdmittedHistory {
    /** Time for which fractions are kept, in milliseconds: above the age of any report that is used. */
    private static final long KEPT_MILLIS = 500;

    private record Sample(double fraction, long sinceMillis) {}

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();

    void add(double fraction, long nowMillis) {
        samples.addLast(new Sample(fraction, nowMillis));
        while (samples.size() > 1 && nowMillis - samples.peekFirst().sinceMillis() > KEPT_MILLIS) {
            samples.removeFirst();
        }
    }

    /** Returns the mean fraction in a time; everything was admitted before the first sample. */
    double meanSince(long fromMillis, long nowMillis) {
        double sum = 0;
        long untilMillis = nowMillis;
        for (Sample sample : (Iterable<Sample>) samples::descendingIterator) {
            long since = Math.max(fromMillis, sample.sinceMillis());
            sum += sample.fraction() * Math.max(0, untilMillis - since);
            untilMillis = Math.min(untilMillis, since);
        }
        sum += Math.max(0, untilMillis - fromMillis);
        return sum / Math.max(1, nowMillis - fromMillis);
    }
}
