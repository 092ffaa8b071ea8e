package io.sesamehead.coordination.dispatch;

/** This daemon's calls in flight at one target and what they have shown of it. */
final class LocalCalls {
    /** Weight of the newest event interval in the moving average. */
    private static final double INTERVAL_WEIGHT = 0.2;

    private int inFlight;
    private int paused;
    private long inFlightSinceMillis;
    private long lastProgressMillis = Long.MIN_VALUE / 2;
    private double intervalMillis;
    private long suspectedUntil = Long.MIN_VALUE;

    void recordSent(long nowMillis) {
        if (waiting() == 0) {
            inFlightSinceMillis = nowMillis;
        }
        inFlight++;
    }

    void recordProgress(long nowMillis) {
        double interval = nowMillis - silentSinceMillis();
        intervalMillis += (interval - intervalMillis) * INTERVAL_WEIGHT;
        lastProgressMillis = nowMillis;
        suspectedUntil = Long.MIN_VALUE;
    }

    void recordEnded() {
        inFlight = Math.max(0, inFlight - 1);
    }

    void recordPaused() {
        paused = Math.min(inFlight, paused + 1);
    }

    void recordResumed(long nowMillis) {
        if (waiting() == 0) {
            inFlightSinceMillis = nowMillis;
        }
        paused = Math.max(0, paused - 1);
    }

    void suspectUntil(long untilMillis) {
        suspectedUntil = untilMillis;
    }

    void endSuspicion() {
        suspectedUntil = Long.MIN_VALUE;
    }

    boolean suspected(long nowMillis) {
        return nowMillis < suspectedUntil;
    }

    int inFlight() {
        return inFlight;
    }

    /** Returns the number of calls whose responses are read as they arrive. */
    int waiting() {
        return inFlight - paused;
    }

    long inFlightSinceMillis() {
        return inFlightSinceMillis;
    }

    long lastProgressMillis() {
        return lastProgressMillis;
    }

    /** Returns the average interval between events or answers, in milliseconds, 0 if unknown. */
    double intervalMillis() {
        return intervalMillis;
    }

    /** Returns since when the target has been silent, if any calls are waiting. */
    long silentSinceMillis() {
        return Math.max(inFlightSinceMillis, lastProgressMillis);
    }

    /** Shifts all times after a pause of this process. */
    void compensatePause(long pauseMillis) {
        inFlightSinceMillis += pauseMillis;
        lastProgressMillis += pauseMillis;
    }
}
