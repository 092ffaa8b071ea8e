package io.sesamehead.coordination.dispatch;

import com.google.common.hash.Hashing;
import io.sesamehead.state.DaemonId;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides when a subject that is refused because of its crashes may be tried again, so that one that was blamed wrongly
 * becomes usable. Daemons try at different times, so that the first informs the others. Not thread-safe.
 */
final class CrashTrials {
    /** Time from the last crash to the next trial, in milliseconds. Doubles with each crash after the refusal. */
    private static final long INTERVAL_MILLIS = 10_000;
    /** Number of crashes after which a subject is not tried again while its crashes are kept. */
    private static final int CRASHES_TO_END = 5;
    /** Interval between two trials of a subject by one daemon, in milliseconds: the first has ended by then. */
    private static final long SPACING_MILLIS = 3_000;
    /** Maximum number of subjects whose last trial is kept. */
    private static final int MAX_SUBJECTS = 4_096;

    private final DaemonId daemon;
    private final Map<CrashSubject, Long> triedAt = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<CrashSubject, Long> eldest) {
            return size() > MAX_SUBJECTS;
        }
    };

    /**
     * Creates the trials of one daemon.
     *
     * @param daemon the daemon; its id decides when it tries a subject
     */
    CrashTrials(DaemonId daemon) {
        this.daemon = daemon;
    }

    /**
     * Returns when this daemon may try a refused subject again.
     *
     * @param subject the subject
     * @param summary its crashes, at least as many as its refusal needs
     * @param crashesToRefuse number of crashes that its refusal needs
     * @return a monotonic time in milliseconds, {@link Long#MAX_VALUE} if it is not tried while its crashes are kept
     */
    long dueMillis(CrashSubject subject, CrashHistory.Summary summary, int crashesToRefuse) {
        if (summary.crashes() >= CRASHES_TO_END) {
            return Long.MAX_VALUE;
        }
        long interval = INTERVAL_MILLIS << (summary.crashes() - crashesToRefuse);
        long due = summary.lastMillis() + interval + (long) (interval * delayFraction(subject, summary.crashes()));
        return Math.max(due, triedAt.getOrDefault(subject, Long.MIN_VALUE / 2) + SPACING_MILLIS);
    }

    /**
     * Records a trial.
     *
     * @param subject the subject
     * @param nowMillis current monotonic time, in milliseconds
     */
    void recordTrial(CrashSubject subject, long nowMillis) {
        triedAt.put(subject, nowMillis);
    }

    /** Returns a fraction that differs between daemons, and for one daemon between trials. */
    private double delayFraction(CrashSubject subject, int crashes) {
        int hash = Hashing.murmur3_32_fixed()
                .newHasher()
                .putUnencodedChars(daemon.value())
                .putLong(subject.value())
                .putInt(crashes)
                .hash()
                .asInt();
        return Integer.toUnsignedLong(hash) / (double) (1L << Integer.SIZE);
    }
}
