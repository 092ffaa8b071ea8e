package io.sesamehead.coordination.dispatch;

import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.LongStream;

/**
 * What one daemon knows of the crashes of one subject. Crashes and survivors are merged by union; a survivor takes
 * precedence over a crash of the same target up to the time at which it was known to go on.
 */
final class CrashEntry {
    /**
     * Number of crashes after which a request is refused. Innocent requests rarely see that many before one
     * completes.
     */
    static final int CRASHES_TO_REFUSE = 3;
    /** Time for which a crash is kept, in milliseconds: longer than callers usually retry a request. */
    static final long RETENTION_MILLIS = 600_000;
    /** Maximum number of crashes kept per subject, and of survivors: more than a refusal needs. */
    static final int MAX_CRASHES = 8;
    /**
     * Interval at which completions are recorded that clear no crash, in milliseconds. Otherwise each answer to a
     * popular part would be reported to all daemons.
     */
    private static final long COMPLETION_INTERVAL_MILLIS = RETENTION_MILLIS / 2;
    /**
     * Time after the last crash of a part before the part is stored, in milliseconds. Other daemons report within it
     * that they received answers.
     */
    private static final long PART_SETTLING_MILLIS = 500;

    /**
     * Time by which reports may be late, in milliseconds: a crash that a report states this much later than its survivor is
     * the same one.
     */
    private static final long LATE_REPORT_MILLIS = 3_000;
    /** Maximum time for which reports may wait in the queue of a paused daemon, in milliseconds. */
    private static final long MAX_PAUSE_MILLIS = 20_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<Long, Crash> crashes = new HashMap<>();
    /** Times until which targets are known to have gone on, by the hash of the crash that was counted there. */
    private final Map<Long, Long> survivedUntil = new HashMap<>();
    /** When this daemon first learned of the crashes that survivors have refuted. */
    private final Map<Long, Long> refutedLearnedAt = new HashMap<>();

    private long completedAt = NEVER;
    private long reportedAt = NEVER;
    private boolean crashedHere;
    private boolean part;
    private boolean stored;

    /**
     * A crash.
     *
     * @param atMillis when it happened, as far as this daemon first learned
     * @param earliestMillis earliest time that a report has stated, by which it is told and compared with survivors. A wrong
     *     clock of another daemon may have made it too early, so the crash is kept and cleared by its first time
     * @param learnedAtMillis when this daemon learned of it
     */
    private record Crash(long atMillis, long earliestMillis, long learnedAtMillis) {
        private Crash withStated(long millis) {
            boolean plausible = millis >= atMillis - MAX_PAUSE_MILLIS;
            return plausible ? new Crash(atMillis, Math.min(earliestMillis, millis), learnedAtMillis) : this;
        }
    }

    /**
     * Adds a crash, or notes another time that is stated for one.
     *
     * @return whether the crash is new
     */
    boolean addCrash(long crash, long atMillis, long nowMillis) {
        Crash known = crashes.get(crash);
        if (known != null) {
            // A report that was delayed states a later time than the others.
            crashes.put(crash, known.withStated(atMillis));
            return false;
        }
        if (atMillis <= completedAt || isSurvived(crash, atMillis) || crashes.size() >= MAX_CRASHES) {
            return false;
        }
        // A refuted crash that returns with late reports is not learned anew, so that the next proof refutes it.
        Long learnedBefore = refutedLearnedAt.get(crash);
        long learnedAtMillis = learnedBefore == null ? nowMillis : Math.max(learnedBefore, atMillis);
        crashes.put(crash, new Crash(atMillis, atMillis, learnedAtMillis));
        return true;
    }

    /**
     * Returns the hash under which a loss at a target counts. Attempts that ended in the same crash share one. An attempt
     * sent after a recorded crash reached a later incarnation, which may not be listed yet; a loss after the target was
     * found to have survived an earlier one is a new one.
     */
    long crashHash(TargetKey target, long sentAtMillis) {
        int number = 0;
        long crash = CrashHash.of(target, number);
        while (survivedUntil.containsKey(crash)
                || (crashes.containsKey(crash) && crashes.get(crash).atMillis() < sentAtMillis)) {
            number++;
            crash = CrashHash.of(target, number);
        }
        return crash;
    }

    /** Returns whether the last loss at a target counts as a crash. */
    boolean hasCrashAt(TargetKey target) {
        return crashes.containsKey(crashHash(target, Long.MIN_VALUE));
    }

    /**
     * Records that a target went on after a loss there.
     *
     * @return whether this is new
     */
    boolean addSurvivor(long crash, long untilMillis) {
        boolean known = survivedUntil.containsKey(crash);
        survivedUntil.merge(crash, untilMillis, Math::max);
        Crash recorded = crashes.get(crash);
        boolean refutes = recorded != null && isSurvived(crash, recorded.earliestMillis());
        if (refutes) {
            crashes.remove(crash);
            refutedLearnedAt.putIfAbsent(crash, recorded.learnedAtMillis());
        }
        if (survivedUntil.size() > MAX_CRASHES) {
            survivedUntil.remove(Collections.min(survivedUntil.entrySet(), Map.Entry.comparingByValue())
                    .getKey());
            refutedLearnedAt.keySet().retainAll(survivedUntil.keySet());
        }
        return refutes || !known;
    }

    private boolean isSurvived(long crash, long atMillis) {
        return atMillis <= survivedUntil.getOrDefault(crash, NEVER) + LATE_REPORT_MILLIS;
    }

    boolean complete(long atMillis) {
        boolean clears = crashes.values().removeIf(crash -> crash.atMillis() <= atMillis);
        if (!clears && atMillis <= completedAt + COMPLETION_INTERVAL_MILLIS) {
            return false;
        }
        completedAt = Math.max(completedAt, atMillis);
        return true;
    }

    Collection<Long> crashHashes() {
        return List.copyOf(crashes.keySet());
    }

    long learnedAtMillis(long crash) {
        return crashes.get(crash).learnedAtMillis();
    }

    int crashCount() {
        return crashes.size();
    }

    long lastEventMillis() {
        LongStream times = LongStream.concat(
                crashes.values().stream().mapToLong(Crash::atMillis),
                survivedUntil.values().stream().mapToLong(Long::longValue));
        return Math.max(completedAt, times.max().orElse(NEVER));
    }

    boolean retained(long nowMillis) {
        return nowMillis - lastEventMillis() <= RETENTION_MILLIS;
    }

    boolean refused() {
        return crashCount() >= CRASHES_TO_REFUSE;
    }

    /** Returns whether the store keeps the subject: it is refused, or the store may list crashes that were none. */
    boolean storable(long nowMillis) {
        boolean settled = !part
                || crashes.values().stream()
                        .allMatch(crash -> nowMillis - crash.learnedAtMillis() >= PART_SETTLING_MILLIS);
        boolean refutesStored = !survivedUntil.isEmpty() && crashCount() + survivedUntil.size() >= CRASHES_TO_REFUSE;
        return (refused() || refutesStored) && retained(nowMillis) && settled;
    }

    CrashHistory.Summary summary(long nowMillis) {
        return new CrashHistory.Summary(
                crashes.values().stream().map(Crash::atMillis).sorted().toList(),
                crashes.values().stream().map(Crash::learnedAtMillis).sorted().toList(),
                nowMillis - completedAt <= RETENTION_MILLIS);
    }

    CrashReport report(CrashSubject subject, long nowMillis) {
        ImmutableMap.Builder<Long, Long> ages = ImmutableMap.builder();
        crashes.forEach((hash, crash) -> ages.put(hash, Math.max(0, nowMillis - crash.earliestMillis())));
        ImmutableMap.Builder<Long, Long> survivorAges = ImmutableMap.builder();
        survivedUntil.forEach((hash, until) -> survivorAges.put(hash, Math.max(0, nowMillis - until)));
        boolean completed = nowMillis - completedAt <= RETENTION_MILLIS;
        return new CrashReport(
                subject,
                ages.buildOrThrow(),
                completed ? OptionalLong.of(Math.max(0, nowMillis - completedAt)) : OptionalLong.empty(),
                survivorAges.buildOrThrow());
    }

    long reportedAtMillis() {
        return reportedAt;
    }

    void markReported(long nowMillis) {
        reportedAt = nowMillis;
    }

    boolean crashedHere() {
        return crashedHere;
    }

    void markCrashedHere() {
        crashedHere = true;
    }

    boolean isPart() {
        return part;
    }

    void markPart() {
        part = true;
    }

    boolean isStored() {
        return stored;
    }

    void setStored(boolean nowStored) {
        stored = nowStored;
    }
}
