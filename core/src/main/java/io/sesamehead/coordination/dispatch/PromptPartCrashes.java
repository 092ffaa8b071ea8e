package io.sesamehead.coordination.dispatch;

import io.sesamehead.state.DaemonId;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the part of a prompt that crashes each group that begins to answer it. The calls that a group was running when
 * it crashed are told apart by what they had received: a call whose answer had begun did not cause the crash, and a
 * part is cleared as soon as any daemon receives the beginning of an answer to a call with the part. Not thread-safe.
 */
public final class PromptPartCrashes {
    /** Number of crashes after which a part is refused that no daemon has received an answer to. */
    private static final int CRASHES_TO_REFUSE = 2;
    /** Number of crashes since the last answer after which any other part is refused. */
    private static final int CRASHES_TO_REFUSE_ANSWERED = 4;
    /**
     * Time in which a call with a part is answered and the answer becomes known to all daemons, in milliseconds. An
     * answer received up to this long before a lost call was sent clears the part as well, because many groups may be
     * lost at once.
     */
    private static final long ANSWER_VALIDITY_MILLIS = 1_000;
    /** Time for which other daemons may still report answers before a part is refused, in milliseconds: two reports. */
    private static final long CONFIRMATION_MILLIS = 300;
    /** Age from which a crash needs no further confirmation, in milliseconds: answers have been reported by then. */
    private static final long SETTLED_MILLIS = ANSWER_VALIDITY_MILLIS + 3_000;
    /** Maximum number of parts whose last answer is kept. */
    private static final int MAX_PARTS = 4_096;

    private final CrashHistory history;
    private final CrashTrials trials;
    private final Map<CrashSubject, Long> answeredAt = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<CrashSubject, Long> eldest) {
            return size() > MAX_PARTS;
        }
    };

    /**
     * Creates the decisions of one daemon.
     *
     * @param history the crashes known to the daemon
     * @param daemon the daemon; its id decides when it tries a refused part
     */
    public PromptPartCrashes(CrashHistory history, DaemonId daemon) {
        this.history = history;
        this.trials = new CrashTrials(daemon);
    }

    /**
     * Records that a call was lost in the crash of its group before its answer had begun.
     *
     * @param parts parts of the call's prompt
     * @param group the group
     * @param sentAtMillis monotonic time at which the call was sent, in milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     * @return whether a crash of any part was not known yet
     */
    public boolean recordLost(List<CrashSubject> parts, TargetKey group, long sentAtMillis, long nowMillis) {
        boolean added = false;
        for (CrashSubject part : parts) {
            added |= history.recordPartCrash(part, group, sentAtMillis - ANSWER_VALIDITY_MILLIS, nowMillis);
            reportAnswer(part);
        }
        return added;
    }

    /**
     * Records that the answer to a call has begun.
     *
     * @param parts parts of the call's prompt
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordAnswered(List<CrashSubject> parts, long nowMillis) {
        for (CrashSubject part : parts) {
            answeredAt.put(part, nowMillis);
            history.recordPartAnswered(part, nowMillis);
        }
    }

    /**
     * Merges a report from another daemon or from the store.
     *
     * @param report the crashes of one subject
     * @param nowMillis current monotonic time, in milliseconds
     * @return whether the report contained anything new
     */
    public boolean merge(CrashReport report, long nowMillis) {
        boolean changed = history.merge(report, nowMillis);
        reportAnswer(report.subject());
        return changed;
    }

    /** Tells the other daemons of an answer that this daemon received, once crashes of the part are known. */
    private void reportAnswer(CrashSubject part) {
        Long at = answeredAt.get(part);
        if (at != null) {
            history.recordPartAnswered(part, at);
        }
    }

    /**
     * Decides whether a new call may be sent. Allows a refused part to be tried again from time to time, so that a part
     * that was blamed wrongly becomes usable. Daemons try at different times, so that the first informs the others.
     *
     * @param parts parts of the call's prompt
     * @param nowMillis current monotonic time, in milliseconds
     * @return the verdict
     */
    public PromptPartVerdict admit(List<CrashSubject> parts, long nowMillis) {
        PromptPartVerdict verdict = verdict(parts, nowMillis);
        if (verdict instanceof PromptPartVerdict.Refused refused && takeTrial(refused.part(), nowMillis)) {
            return new PromptPartVerdict.Suspected(refused.part(), refused.crashes());
        }
        return verdict;
    }

    /**
     * Decides whether a call that has been admitted may be sent or go on waiting for its answer.
     *
     * @param parts parts of the call's prompt
     * @param nowMillis current monotonic time, in milliseconds
     * @return the verdict
     */
    public PromptPartVerdict verdict(List<CrashSubject> parts, long nowMillis) {
        PromptPartVerdict verdict = new PromptPartVerdict.Clear();
        int mostCrashes = 0;
        for (CrashSubject part : parts) {
            CrashHistory.Summary summary = history.summary(part, nowMillis);
            if (isRefused(summary, nowMillis)) {
                return new PromptPartVerdict.Refused(part, summary.crashes());
            }
            if (summary.crashes() > 0 && summary.crashes() >= mostCrashes) {
                mostCrashes = summary.crashes();
                verdict = new PromptPartVerdict.Suspected(part, mostCrashes);
            }
        }
        return verdict;
    }

    private static boolean isRefused(CrashHistory.Summary summary, long nowMillis) {
        int needed = crashesToRefuse(summary);
        if (summary.crashes() < needed) {
            return false;
        }
        long latest = summary.lastMillis();
        return nowMillis - summary.learnedAtMillis().get(needed - 1) >= CONFIRMATION_MILLIS
                || nowMillis - latest >= SETTLED_MILLIS;
    }

    private static int crashesToRefuse(CrashHistory.Summary summary) {
        return summary.completedBefore() ? CRASHES_TO_REFUSE_ANSWERED : CRASHES_TO_REFUSE;
    }

    private boolean takeTrial(CrashSubject part, long nowMillis) {
        CrashHistory.Summary summary = history.summary(part, nowMillis);
        if (nowMillis < trials.dueMillis(part, summary, crashesToRefuse(summary))) {
            return false;
        }
        trials.recordTrial(part, nowMillis);
        return true;
    }
}
