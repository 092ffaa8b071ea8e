package io.sesamehead.coordination.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts how often a request was running when its upstream broke off. A request that did so several times is not sent
 * again. Other daemons' counts come by report. Not thread-safe.
 */
public final class CrashHistory {
    /** Crashes after which a request is refused. Innocent requests rarely meet that many in the time remembered. */
    private static final int LIMIT = 3;
    /** How long a crash is remembered, in milliseconds: well above the longest deadline of a call and its returns. */
    private static final long MEMORY_MILLIS = 60_000;
    /** Requests remembered at most. */
    private static final int CAPACITY = 4_096;

    private final Map<CallFingerprint, Entry> entries = new HashMap<>();

    private record Entry(int crashes, long lastMillis) {}

    /**
     * Records that a request was running when its upstream broke off.
     *
     * @param fingerprint the request's fingerprint
     * @param nowMillis present steady time
     */
    public void recordCrash(CallFingerprint fingerprint, long nowMillis) {
        if (entries.size() >= CAPACITY) {
            entries.values().removeIf(entry -> nowMillis - entry.lastMillis() > MEMORY_MILLIS);
        }
        if (entries.size() >= CAPACITY && !entries.containsKey(fingerprint)) {
            return;
        }
        Entry old = entries.get(fingerprint);
        boolean forgotten = old == null || nowMillis - old.lastMillis() > MEMORY_MILLIS;
        entries.put(fingerprint, new Entry(forgotten ? 1 : old.crashes() + 1, nowMillis));
    }

    /**
     * Records that a request ran to its end, so that the crashes that it met had another cause.
     *
     * @param fingerprint the request's fingerprint
     */
    public void recordCompleted(CallFingerprint fingerprint) {
        entries.remove(fingerprint);
    }

    /**
     * Tells whether a request is refused because of its crashes.
     *
     * @param fingerprint the request's fingerprint
     * @param nowMillis present steady time
     * @return true after the limit of crashes in the time remembered
     */
    public boolean refused(CallFingerprint fingerprint, long nowMillis) {
        return crashes(fingerprint, nowMillis) >= LIMIT;
    }

    /**
     * Returns how many crashes are known of a request.
     *
     * @param fingerprint the request's fingerprint
     * @param nowMillis present steady time
     * @return the count, 0 for a request that is not known or forgotten
     */
    public int crashes(CallFingerprint fingerprint, long nowMillis) {
        Entry entry = entries.get(fingerprint);
        boolean remembered = entry != null && nowMillis - entry.lastMillis() <= MEMORY_MILLIS;
        return remembered ? entry.crashes() : 0;
    }
}
