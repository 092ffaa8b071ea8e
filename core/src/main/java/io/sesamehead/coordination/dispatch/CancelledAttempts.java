package io.sesamehead.coordination.dispatch;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Attempts that were cancelled before their targets answered, because the caller disconnected or the deadline passed. A
 * target that fails shortly afterwards may have been crashed by one of them. Not thread-safe.
 */
public final class CancelledAttempts {
    /** Time for which an attempt is kept, in milliseconds: the registry removes a dead upstream within it. */
    private static final long RETENTION_MILLIS = 5_000;
    /** Maximum number of attempts kept: a few seconds of calls of one daemon. */
    private static final int MAX_ATTEMPTS = 1_024;

    private final Deque<CancelledAttempt> attempts = new ArrayDeque<>();

    /**
     * A cancelled attempt.
     *
     * @param request the request
     * @param parts parts of its prompt, empty if its answer had begun
     * @param target where the attempt ran
     * @param sentAtMillis monotonic time at which the attempt was sent, in milliseconds
     * @param cancelledAtMillis monotonic time at which the attempt was cancelled, in milliseconds
     */
    public record CancelledAttempt(
            CrashSubject request,
            ImmutableList<CrashSubject> parts,
            TargetKey target,
            long sentAtMillis,
            long cancelledAtMillis) {}

    /**
     * Adds an attempt. The oldest one is evicted if there are too many.
     *
     * @param attempt the attempt, cancelled just now
     */
    public void add(CancelledAttempt attempt) {
        if (attempts.size() >= MAX_ATTEMPTS) {
            attempts.removeFirst();
        }
        attempts.addLast(attempt);
    }

    /**
     * Removes and returns the attempts that may have crashed a target.
     *
     * @param target the target, which has failed
     * @param nowMillis current monotonic time, in milliseconds
     * @return recent attempts that were cancelled at the target
     */
    public List<CancelledAttempt> take(TargetKey target, long nowMillis) {
        List<CancelledAttempt> taken = new ArrayList<>();
        Iterator<CancelledAttempt> all = attempts.iterator();
        while (all.hasNext()) {
            CancelledAttempt attempt = all.next();
            if (nowMillis - attempt.cancelledAtMillis() > RETENTION_MILLIS) {
                all.remove();
            } else if (attempt.target().equals(target)) {
                all.remove();
                taken.add(attempt);
            }
        }
        return taken;
    }
}
