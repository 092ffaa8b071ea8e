package io.sesamehead.coordination.dispatch;

import io.sesamehead.state.DaemonId;

/**
 * Decides whether a request that has crashed targets may be sent. A request that is refused is tried again a few times,
 * because nothing else clears it if its losses are neither proved nor refuted as crashes. Not thread-safe.
 */
public final class RequestCrashes {
    private final CrashHistory history;
    private final TargetSurvival survival;
    private final CrashTrials trials;

    /**
     * Creates the decisions of one daemon.
     *
     * @param history the crashes known to the daemon
     * @param survival which targets went on after losses
     * @param daemon the daemon; its id decides when it tries a refused request
     */
    public RequestCrashes(CrashHistory history, TargetSurvival survival, DaemonId daemon) {
        this.history = history;
        this.survival = survival;
        this.trials = new CrashTrials(daemon);
    }

    /**
     * Returns whether a new call of a request must be refused.
     *
     * @param request the subject of the request
     * @param nowMillis current monotonic time, in milliseconds
     * @return false if the request is not refused, or a trial of it is due
     */
    public boolean mustRefuse(CrashSubject request, long nowMillis) {
        return history.isRefused(request, nowMillis) && nowMillis < trialDueMillis(request, nowMillis);
    }

    /**
     * Records that a call of a request is sent. It is a trial if the request is refused.
     *
     * @param request the subject of the request
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordAdmitted(CrashSubject request, long nowMillis) {
        if (history.isRefused(request, nowMillis)) {
            trials.recordTrial(request, nowMillis);
        }
    }

    /**
     * Returns the earliest time at which a refused request may be sent: when two of its crashes are left because others
     * were lost answers, or at its next trial.
     *
     * @param request the subject of the request
     * @param nowMillis current monotonic time, in milliseconds
     * @return the time from now, in milliseconds
     */
    public long retryAfterMillis(CrashSubject request, long nowMillis) {
        CrashHistory.Summary summary = history.summary(request, nowMillis);
        int surplus = summary.crashes() - CrashEntry.CRASHES_TO_REFUSE;
        if (surplus < 0) {
            return 0;
        }
        long refutedAt = summary.learnedAtMillis().get(surplus) + survival.proofMillis();
        long expiresAt = summary.lastMillis() + CrashEntry.RETENTION_MILLIS;
        long retryAt = Math.min(trialDueMillis(request, nowMillis), expiresAt);
        if (refutedAt > nowMillis) {
            retryAt = Math.min(retryAt, refutedAt);
        }
        return Math.max(0, retryAt - nowMillis);
    }

    private long trialDueMillis(CrashSubject request, long nowMillis) {
        CrashHistory.Summary summary = history.summary(request, nowMillis);
        return trials.dueMillis(request, summary, CrashEntry.CRASHES_TO_REFUSE);
    }
}
