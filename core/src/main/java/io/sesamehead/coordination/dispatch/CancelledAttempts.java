package io.sesamehead.coordination.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Attempts that were stopped before their targets answered, because the caller left or the time ran out. A target that ends
 * soon after may have ended under them. Not thread-safe.
 */
public final class CancelledAttempts {
    /** Time for which an attempt is kept, in milliseconds: the registry drops an upstream that ended within it. */
    private static final long KEPT_MILLIS = 5_000;
    /** Attempts kept at most: some seconds of a daemon's calls. */
    private static final int CAPACITY = 1_024;

    private final Deque<CancelledAttempt> stopped = new ArrayDeque<>();

    /**
     * An attempt that was stopped.
     *
     * @param request the request
     * @param target where it ran
     * @param sentAtMillis steady time at which it was sent
     * @param cancelledAtMillis steady time at which it was stopped
     */
    public record CancelledAttempt(
            CallFingerprint request, TargetKey target, long sentAtMillis, long cancelledAtMillis) {}

    /**
     * Keeps an attempt.
     *
     * @param attempt the attempt, stopped now
     */
    public void add(CancelledAttempt attempt) {
        if (stopped.size() >= CAPACITY) {
            stopped.removeFirst();
        }
        stopped.addLast(attempt);
    }

    /**
     * Takes out the attempts that a target may have ended under.
     *
     * @param target the target, which has ended
     * @param nowMillis present steady time
     * @return attempts that were stopped at it lately
     */
    public List<CancelledAttempt> take(TargetKey target, long nowMillis) {
        List<CancelledAttempt> taken = new ArrayList<>();
        Iterator<CancelledAttempt> all = stopped.iterator();
        while (all.hasNext()) {
            CancelledAttempt attempt = all.next();
            if (nowMillis - attempt.cancelledAtMillis() > KEPT_MILLIS) {
                all.remove();
            } else if (attempt.target().equals(target)) {
                all.remove();
                taken.add(attempt);
            }
        }
        return taken;
    }
}
