package io.sesamehead.coordination.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Records which targets crashed while they ran a request, or requests with a common part in their prompts, so that what
 * crashed several targets is not sent again. Decides about requests; {@link PromptPartCrashes} decides about parts.
 * Daemons gossip the state rather than its changes: reports are merged by union, so lost, duplicate and late reports
 * are harmless. Not thread-safe.
 */
public final class CrashHistory {
    /** Maximum number of requests kept, a few hundred bytes each. */
    private static final int MAX_REQUESTS = 4_096;
    /**
     * One in this many requests is evicted at once when the table is full, because sorting them takes a millisecond.
     */
    private static final int EVICTION_DIVISOR = 16;
    /** Number of reports that repeat a local update: a relay that fails is replaced within four of them. */
    private static final int UPDATE_REPEATS = 5;
    /** Maximum number of updates in one report, about a kilobyte. Requests with the most crashes come first. */
    private static final int MAX_UPDATES_PER_REPORT = 32;
    /**
     * Interval at which older records are resent, in milliseconds, so that a daemon that returns catches up in time.
     */
    private static final long RESEND_INTERVAL_MILLIS = 1_000;
    /** Maximum number of refused requests kept in the store: an object of about ten kilobytes. */
    private static final int MAX_STORED_REQUESTS = 256;
    /** Number of refused requests resent at a time, and of other requests: half a kilobyte for each of the two. */
    private static final int RESEND_BATCH_SIZE = 16;

    private final Map<CrashSubject, CrashEntry> entries = new HashMap<>();
    private final Map<CrashSubject, Integer> pendingUpdates = new LinkedHashMap<>();
    private long lastResendMillis = Long.MIN_VALUE / 2;
    private final Set<CrashSubject> settlingParts = new LinkedHashSet<>();
    private boolean refusalsChanged;

    /**
     * Records that a request was running when its target crashed. Attempts that ended in the same crash count once. An
     * attempt sent after a recorded crash of the target reached a later incarnation, which may not be listed yet, and
     * counts as a new crash.
     *
     * @param subject the subject
     * @param target the target
     * @param sentAtMillis monotonic time at which the attempt was sent, in milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordCrash(CrashSubject subject, TargetKey target, long sentAtMillis, long nowMillis) {
        CrashEntry entry = getOrCreate(subject, nowMillis);
        if (addOwnCrash(subject, entry, entry.crashHash(target, sentAtMillis), nowMillis, nowMillis)) {
            refusalsChanged |= entry.refused();
        }
    }

    /**
     * Records a crash of a group against a part of the prompts that it ran. Attempts that ended in the same crash count
     * once.
     *
     * @param part the subject of the part
     * @param group the group
     * @param atMillis monotonic time before which an answer to a call with the part proves nothing, in milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     * @return whether the crash was not known yet
     */
    boolean recordPartCrash(CrashSubject part, TargetKey group, long atMillis, long nowMillis) {
        CrashEntry entry = getOrCreate(part, nowMillis);
        entry.markPart();
        boolean added = addOwnCrash(part, entry, entry.crashHash(group, Long.MIN_VALUE), atMillis, nowMillis);
        if (added && entry.refused()) {
            settlingParts.add(part);
        }
        return added;
    }

    private boolean addOwnCrash(CrashSubject subject, CrashEntry entry, long crash, long atMillis, long nowMillis) {
        if (!entry.addCrash(crash, atMillis, nowMillis)) {
            return false;
        }
        entry.markCrashedHere();
        pendingUpdates.put(subject, UPDATE_REPEATS);
        return true;
    }

    /**
     * Records that a request completed, which means that its earlier crashes had another cause.
     *
     * @param subject the subject
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordCompleted(CrashSubject subject, long nowMillis) {
        CrashEntry entry = entries.get(subject);
        if (entry != null && entry.crashCount() > 0 && complete(entry, nowMillis)) {
            pendingUpdates.put(subject, UPDATE_REPEATS);
        }
    }

    /**
     * Records that a call with a part was answered, if crashes of the part are known.
     *
     * @param part the subject of the part
     * @param atMillis monotonic time of the answer, in milliseconds
     */
    void recordPartAnswered(CrashSubject part, long atMillis) {
        CrashEntry entry = entries.get(part);
        if (entry != null && complete(entry, atMillis)) {
            pendingUpdates.put(part, UPDATE_REPEATS);
        }
    }

    /**
     * Takes back crashes whose targets are known to have gone on since, so that an answer that was lost does not count as
     * a crash. Crashes count at once and are taken back later, because a request that does crash its targets must not be
     * sent on while there is no proof yet.
     *
     * @param survival which targets went on
     * @param lastProgressMillis returns when any daemon last saw progress at a target, in milliseconds
     * @param nowMillis current monotonic time, in milliseconds
     * @return the crashes that were taken back
     */
    public List<Refutation> refuteCrashes(
            TargetSurvival survival, ToLongFunction<TargetKey> lastProgressMillis, long nowMillis) {
        List<Refutation> refutations = new ArrayList<>();
        entries.forEach((subject, entry) -> {
            for (long crash : entry.crashHashes()) {
                long learnedAtMillis = entry.learnedAtMillis(crash);
                OptionalLong until = survival.survivedUntil(crash, learnedAtMillis, lastProgressMillis);
                if (until.isPresent() && addSurvivor(entry, crash, until.getAsLong())) {
                    refutations.add(new Refutation(subject, entry.crashCount(), nowMillis - learnedAtMillis));
                    if (entry.crashedHere()) {
                        pendingUpdates.put(subject, UPDATE_REPEATS);
                    }
                }
            }
        });
        return refutations;
    }

    /**
     * A crash that was taken back.
     *
     * @param subject what it was counted against
     * @param crashesLeft number of crashes that the subject still has
     * @param learnedMillisAgo time since this daemon learned of the crash, in milliseconds
     */
    public record Refutation(CrashSubject subject, int crashesLeft, long learnedMillisAgo) {}

    /** Records a survivor. The store must learn that a subject which it lists as refused is not. */
    private boolean addSurvivor(CrashEntry entry, long crash, long untilMillis) {
        boolean refusedBefore = entry.refused();
        boolean added = entry.addSurvivor(crash, untilMillis);
        refusalsChanged |= refusedBefore && !entry.refused() && (entry.crashedHere() || entry.isStored());
        return added;
    }

    /** Records a completion. The store must not keep what this daemon wrote there and a completion has cleared. */
    private boolean complete(CrashEntry entry, long atMillis) {
        boolean recorded = entry.complete(atMillis);
        if (entry.isStored() && !entry.refused()) {
            entry.setStored(false);
            refusalsChanged = true;
        }
        return recorded;
    }

    /**
     * What is known of the crashes of a subject.
     *
     * @param atMillis monotonic times of the crashes in milliseconds, earliest first
     * @param learnedAtMillis monotonic times at which this daemon learned of them in milliseconds, earliest first
     * @param completedBefore whether a call of the subject has completed within the retention
     */
    record Summary(List<Long> atMillis, List<Long> learnedAtMillis, boolean completedBefore) {
        private static final Summary EMPTY = new Summary(List.of(), List.of(), false);

        int crashes() {
            return atMillis.size();
        }

        /** Returns the time of the last crash. */
        long lastMillis() {
            return atMillis.get(atMillis.size() - 1);
        }
    }

    /**
     * Returns what is known of the crashes of a subject.
     *
     * @param subject the subject
     * @param nowMillis current monotonic time, in milliseconds
     * @return the summary, without crashes if the subject is unknown or its record has expired
     */
    Summary summary(CrashSubject subject, long nowMillis) {
        CrashEntry entry = entries.get(subject);
        if (entry == null || !entry.retained(nowMillis)) {
            return Summary.EMPTY;
        }
        return entry.summary(nowMillis);
    }

    /**
     * Returns whether a request is refused because of its crashes.
     *
     * @param subject the subject
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if the retained crashes have reached the limit
     */
    public boolean isRefused(CrashSubject subject, long nowMillis) {
        CrashEntry entry = entries.get(subject);
        return entry != null && entry.refused() && entry.retained(nowMillis);
    }

    /**
     * Returns the number of known crashes of a request.
     *
     * @param subject the subject
     * @param nowMillis current monotonic time, in milliseconds
     * @return the count, 0 if the request is unknown or its record has expired
     */
    public int crashCount(CrashSubject subject, long nowMillis) {
        CrashEntry entry = entries.get(subject);
        return entry == null || !entry.retained(nowMillis) ? 0 : entry.crashCount();
    }

    /**
     * Returns the targets at which no crash of a request is known. A crashed target is listed for a while, and its
     * successor may listen at the same address: an answer that the successor loses would count as another crash of the
     * target, which no later entry of the target can refute.
     *
     * @param request the subject of the request
     * @param targets the targets
     * @param nowMillis current monotonic time, in milliseconds
     * @return the other targets, in the same order
     */
    public List<Target> targetsWithoutCrash(CrashSubject request, List<Target> targets, long nowMillis) {
        CrashEntry entry = entries.get(request);
        if (entry == null || !entry.retained(nowMillis)) {
            return targets;
        }
        return targets.stream()
                .filter(target -> !entry.hasCrashAt(target.key()))
                .toList();
    }

    /**
     * Merges a report from another daemon or from the store. Duplicate and late reports have no effect.
     *
     * @param report the crashes of one subject
     * @param nowMillis current monotonic time, in milliseconds
     * @return whether the report contained anything new
     */
    public boolean merge(CrashReport report, long nowMillis) {
        boolean informative = !report.ageMillisByCrash().isEmpty()
                || !report.survivorAgeMillisByCrash().isEmpty();
        if (!informative && !entries.containsKey(report.subject())) {
            return false;
        }
        CrashEntry entry = getOrCreate(report.subject(), nowMillis);
        boolean refusedBefore = entry.refused();
        boolean changed = report.completedAgeMillis().isPresent()
                && complete(entry, nowMillis - report.completedAgeMillis().getAsLong());
        // Survivors come first, so that a sender that does not know of them cannot bring back their crashes.
        for (Map.Entry<Long, Long> survivor : report.survivorAgeMillisByCrash().entrySet()) {
            if (survivor.getValue() <= CrashEntry.RETENTION_MILLIS) {
                changed |= addSurvivor(entry, survivor.getKey(), nowMillis - survivor.getValue());
            }
        }
        for (Map.Entry<Long, Long> crash : report.ageMillisByCrash().entrySet()) {
            if (crash.getValue() <= CrashEntry.RETENTION_MILLIS) {
                changed |= entry.addCrash(crash.getKey(), nowMillis - crash.getValue(), nowMillis);
            }
        }
        if (entry.crashedHere() && !refusedBefore && entry.refused()) {
            if (entry.isPart()) {
                settlingParts.add(report.subject());
            } else {
                refusalsChanged = true;
            }
        }
        return changed;
    }

    /**
     * Returns whether the refused subjects that this daemon stores have changed since the last call: a subject that
     * crashed at this daemon has become refused, or has crashed here again, or one that it stored has been cleared.
     * Resets the result to false.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return true once after each such change
     */
    public boolean takeRefusalsChanged(long nowMillis) {
        settlingParts.removeIf(part -> {
            CrashEntry entry = entries.get(part);
            boolean storable = entry != null && entry.storable(nowMillis);
            refusalsChanged |= storable;
            return storable || entry == null || !entry.refused();
        });
        boolean taken = refusalsChanged;
        refusalsChanged = false;
        return taken;
    }

    /**
     * Returns reports of the refused subjects, which the caller stores, and of those whose crashes were taken back. The
     * latter keep a daemon that does not know this from listing them again.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return one report for each subject, limited to those with the most recent events
     */
    public List<CrashReport> refusedRequests(long nowMillis) {
        List<Map.Entry<CrashSubject, CrashEntry>> refused = entries.entrySet().stream()
                .filter(entry -> entry.getValue().storable(nowMillis))
                .sorted(Comparator.comparing((Map.Entry<CrashSubject, CrashEntry> entry) ->
                                !entry.getValue().refused())
                        .thenComparingLong(entry -> -entry.getValue().lastEventMillis()))
                .limit(MAX_STORED_REQUESTS)
                .toList();
        refused.forEach(entry -> entry.getValue().setStored(true));
        return refused.stream()
                .map(entry -> entry.getValue().report(entry.getKey(), nowMillis))
                .toList();
    }

    /**
     * Returns the content of the next report to other daemons. Local updates are repeated in several reports, and all
     * records are resent in turn, so that they also reach daemons that do not receive each other's reports.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return one report for each request
     */
    public List<CrashReport> nextReport(long nowMillis) {
        List<CrashReport> reports = new ArrayList<>();
        pendingUpdates.keySet().retainAll(entries.keySet());
        pendingUpdates.keySet().stream()
                .sorted(Comparator.comparingInt(subject -> -entries.get(subject).crashCount()))
                .limit(MAX_UPDATES_PER_REPORT)
                .toList()
                .forEach(subject -> {
                    addReport(subject, nowMillis, reports);
                    pendingUpdates.computeIfPresent(
                            subject, (key, remaining) -> remaining <= 1 ? null : Integer.valueOf(remaining - 1));
                });
        if (nowMillis - lastResendMillis >= RESEND_INTERVAL_MILLIS) {
            lastResendMillis = nowMillis;
            entries.values().removeIf(entry -> !entry.retained(nowMillis));
            resend(CrashEntry::refused, nowMillis, reports);
            resend(entry -> !entry.refused(), nowMillis, reports);
        }
        return reports;
    }

    private void resend(Predicate<CrashEntry> chosen, long nowMillis, List<CrashReport> reports) {
        entries.entrySet().stream()
                .filter(entry -> entry.getValue().reportedAtMillis() < nowMillis && chosen.test(entry.getValue()))
                .sorted(Comparator.comparingLong(entry -> entry.getValue().reportedAtMillis()))
                .limit(RESEND_BATCH_SIZE)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(subject -> addReport(subject, nowMillis, reports));
    }

    private void addReport(CrashSubject subject, long nowMillis, List<CrashReport> reports) {
        CrashEntry entry = entries.get(subject);
        entry.markReported(nowMillis);
        reports.add(entry.report(subject, nowMillis));
    }

    private CrashEntry getOrCreate(CrashSubject subject, long nowMillis) {
        CrashEntry known = entries.get(subject);
        if (known != null && known.retained(nowMillis)) {
            return known;
        }
        if (known == null && entries.size() >= MAX_REQUESTS) {
            evictLeastSuspected(nowMillis);
        }
        CrashEntry entry = new CrashEntry();
        entries.put(subject, entry);
        return entry;
    }

    /** Losing many targets at once records many innocent requests, which must not evict those that are refused. */
    private void evictLeastSuspected(long nowMillis) {
        entries.values().removeIf(entry -> !entry.retained(nowMillis));
        int surplus = entries.size() - MAX_REQUESTS + MAX_REQUESTS / EVICTION_DIVISOR;
        entries.entrySet().stream()
                .sorted(Comparator.comparingInt((Map.Entry<CrashSubject, CrashEntry> entry) ->
                                entry.getValue().crashCount())
                        .thenComparingLong(entry -> entry.getValue().lastEventMillis()))
                .limit(Math.max(0, surplus))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(entries::remove);
    }
}
