package io.sesamehead.coordination.dispatch;

import com.google.common.collect.ImmutableMap;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;

/**
 * Knows which targets broke off while they ran a request. A request that ended several targets is not sent again. The
 * daemons tell one another this state, not its changes: reports are merged by union, so that lost, repeated and late ones
 * do no harm. Not thread-safe.
 */
public final class CrashHistory {
    /** Targets after which a request is refused. Innocent requests rarely meet that many without running to their end. */
    private static final int LIMIT = 3;
    /** How long a crash is remembered, in milliseconds: longer than callers usually repeat a request. */
    private static final long MEMORY_MILLIS = 600_000;
    /** Requests remembered at most: some hundred bytes each. */
    private static final int CAPACITY = 4_096;
    /** Part of the requests that is forgotten at once when there are too many: sorting them takes a millisecond. */
    private static final int FORGOTTEN_PART = 16;
    /** Crashes remembered of a request: more than its refusal needs. */
    private static final int MAX_CRASHES = 8;
    /** Reports in which own news is told: a relay that falls silent is left within four of them. */
    private static final int NEWS_REPORTS = 5;
    /** News in one report at most, requests with most crashes first: about a kilobyte. */
    private static final int MAX_NEWS = 32;
    /** Interval at which older knowledge is told again, in milliseconds: a daemon that returns hears it in time. */
    private static final long REPEAT_MILLIS = 1_000;
    /** Refused requests kept in the store at most: an object of some ten kilobytes. */
    private static final int MAX_REFUSED = 256;
    /** Refused requests told again at a time, and as many others: half a kilobyte each. */
    private static final int REPEATED = 16;

    private final Map<CallFingerprint, Entry> entries = new HashMap<>();
    private final Map<CallFingerprint, Integer> news = new LinkedHashMap<>();
    private long repeatedAtMillis = Long.MIN_VALUE / 2;
    private boolean newlyRefused;

    private static final class Entry {
        private final Map<Long, Long> brokenOffAt = new HashMap<>();
        private long completedAt = Long.MIN_VALUE / 2;
        private long toldAt = Long.MIN_VALUE / 2;
        private boolean seenHere;

        private boolean addCrash(long crash, long atMillis) {
            if (atMillis <= completedAt || brokenOffAt.containsKey(crash) || brokenOffAt.size() >= MAX_CRASHES) {
                return false;
            }
            brokenOffAt.put(crash, atMillis);
            return true;
        }

        private boolean complete(long atMillis) {
            if (atMillis <= completedAt) {
                return false;
            }
            completedAt = atMillis;
            brokenOffAt.values().removeIf(at -> at <= atMillis);
            return true;
        }

        private int crashes() {
            return brokenOffAt.size();
        }

        private long lastMillis() {
            long last = completedAt;
            for (long at : brokenOffAt.values()) {
                last = Math.max(last, at);
            }
            return last;
        }

        private boolean remembered(long nowMillis) {
            return nowMillis - lastMillis() <= MEMORY_MILLIS;
        }

        private boolean refused() {
            return crashes() >= LIMIT;
        }

        private CrashReport report(CallFingerprint request, long nowMillis) {
            ImmutableMap.Builder<Long, Long> ages = ImmutableMap.builder();
            brokenOffAt.forEach((crash, at) -> ages.put(crash, Math.max(0, nowMillis - at)));
            boolean completed = nowMillis - completedAt <= MEMORY_MILLIS;
            return new CrashReport(
                    request,
                    ages.buildOrThrow(),
                    completed ? OptionalLong.of(Math.max(0, nowMillis - completedAt)) : OptionalLong.empty());
        }
    }

    /**
     * Records that a request was running when its target broke off. Several attempts that one crash ended count once; an
     * attempt that was sent after a crash of the same target met a later life of it, which may not be listed yet.
     *
     * @param request the request
     * @param target the target
     * @param sentAtMillis steady time at which the attempt was sent
     * @param nowMillis present steady time
     */
    public void recordCrash(CallFingerprint request, TargetKey target, long sentAtMillis, long nowMillis) {
        Entry entry = entryOf(request, nowMillis);
        int life = 0;
        long crash = hash(target, life);
        while (entry.brokenOffAt.getOrDefault(crash, Long.MAX_VALUE) < sentAtMillis) {
            life++;
            crash = hash(target, life);
        }
        if (entry.addCrash(crash, nowMillis)) {
            entry.seenHere = true;
            newlyRefused |= entry.refused();
            news.put(request, NEWS_REPORTS);
        }
    }

    /**
     * Records that a request ran to its end, so that the crashes that it met had another cause.
     *
     * @param request the request
     * @param nowMillis present steady time
     */
    public void recordCompleted(CallFingerprint request, long nowMillis) {
        Entry entry = entries.get(request);
        if (entry != null && entry.crashes() > 0 && entry.complete(nowMillis)) {
            news.put(request, NEWS_REPORTS);
        }
    }

    /**
     * Tells whether a request is refused because of its crashes.
     *
     * @param request the request
     * @param nowMillis present steady time
     * @return true after the limit of crashes in the time remembered
     */
    public boolean isRefused(CallFingerprint request, long nowMillis) {
        Entry entry = entries.get(request);
        return entry != null && entry.refused() && entry.remembered(nowMillis);
    }

    /**
     * Returns how many targets are known to have ended under a request.
     *
     * @param request the request
     * @param nowMillis present steady time
     * @return the count, 0 for a request that is not known or forgotten
     */
    public int crashCount(CallFingerprint request, long nowMillis) {
        Entry entry = entries.get(request);
        return entry == null || !entry.remembered(nowMillis) ? 0 : entry.crashes();
    }

    /**
     * Takes what another daemon or the store knows. Taking the same twice, or late, changes nothing.
     *
     * @param report what is known of one request
     * @param nowMillis present steady time
     * @return whether anything of it was new
     */
    public boolean merge(CrashReport report, long nowMillis) {
        if (report.ageMillisByCrash().isEmpty() && !entries.containsKey(report.request())) {
            return false;
        }
        Entry entry = entryOf(report.request(), nowMillis);
        boolean refusedBefore = entry.refused();
        boolean changed = report.completedAgeMillis().isPresent()
                && entry.complete(nowMillis - report.completedAgeMillis().getAsLong());
        for (Map.Entry<Long, Long> crash : report.ageMillisByCrash().entrySet()) {
            if (crash.getValue() <= MEMORY_MILLIS) {
                changed |= entry.addCrash(crash.getKey(), nowMillis - crash.getValue());
            }
        }
        newlyRefused |= entry.seenHere && !refusedBefore && entry.refused();
        return changed;
    }

    /**
     * Tells whether a request has become refused, or has crashed once more, of whose crashes this daemon has seen one.
     *
     * @return true once after each such change
     */
    public boolean takeNewlyRefused() {
        boolean taken = newlyRefused;
        newlyRefused = false;
        return taken;
    }

    /**
     * Returns what is known of the refused requests.
     *
     * @param nowMillis present steady time
     * @return those that crashed last, if there are very many
     */
    public List<CrashReport> refusedRequests(long nowMillis) {
        return entries.entrySet().stream()
                .filter(entry -> entry.getValue().refused() && entry.getValue().remembered(nowMillis))
                .sorted(Comparator.comparingLong((Map.Entry<CallFingerprint, Entry> entry) ->
                        -entry.getValue().lastMillis()))
                .limit(MAX_REFUSED)
                .map(entry -> entry.getValue().report(entry.getKey(), nowMillis))
                .toList();
    }

    /**
     * Returns what the next report tells: own news in several reports, and all that is known in turn, so that it also
     * reaches daemons that do not hear one another.
     *
     * @param nowMillis present steady time
     * @return one row for each request
     */
    public List<CrashReport> nextReport(long nowMillis) {
        List<CrashReport> rows = new ArrayList<>();
        news.keySet().retainAll(entries.keySet());
        news.keySet().stream()
                .sorted(Comparator.comparingInt(request -> -entries.get(request).crashes()))
                .limit(MAX_NEWS)
                .toList()
                .forEach(request -> {
                    tell(request, nowMillis, rows);
                    news.computeIfPresent(request, (key, left) -> left <= 1 ? null : Integer.valueOf(left - 1));
                });
        if (nowMillis - repeatedAtMillis >= REPEAT_MILLIS) {
            repeatedAtMillis = nowMillis;
            entries.values().removeIf(entry -> !entry.remembered(nowMillis));
            tellAgain(Entry::refused, nowMillis, rows);
            tellAgain(entry -> !entry.refused(), nowMillis, rows);
        }
        return rows;
    }

    private void tellAgain(Predicate<Entry> chosen, long nowMillis, List<CrashReport> rows) {
        entries.entrySet().stream()
                .filter(entry -> entry.getValue().toldAt < nowMillis && chosen.test(entry.getValue()))
                .sorted(Comparator.comparingLong(entry -> entry.getValue().toldAt))
                .limit(REPEATED)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(request -> tell(request, nowMillis, rows));
    }

    private void tell(CallFingerprint request, long nowMillis, List<CrashReport> rows) {
        Entry entry = entries.get(request);
        entry.toldAt = nowMillis;
        rows.add(entry.report(request, nowMillis));
    }

    private Entry entryOf(CallFingerprint request, long nowMillis) {
        Entry known = entries.get(request);
        if (known != null && known.remembered(nowMillis)) {
            return known;
        }
        if (known == null && entries.size() >= CAPACITY) {
            forgetLeastSuspected(nowMillis);
        }
        Entry entry = new Entry();
        entries.put(request, entry);
        return entry;
    }

    /** The loss of many targets at once records many innocent requests; they must not push out those that are refused. */
    private void forgetLeastSuspected(long nowMillis) {
        entries.values().removeIf(entry -> !entry.remembered(nowMillis));
        int surplus = entries.size() - CAPACITY + CAPACITY / FORGOTTEN_PART;
        entries.entrySet().stream()
                .sorted(Comparator.comparingInt((Map.Entry<CallFingerprint, Entry> entry) ->
                                entry.getValue().crashes())
                        .thenComparingLong(entry -> entry.getValue().lastMillis()))
                .limit(Math.max(0, surplus))
                .map(Map.Entry::getKey)
                .toList()
                .forEach(entries::remove);
    }

    private static long hash(TargetKey target, int life) {
        return Hashing.sipHash24()
                .newHasher()
                .putUnencodedChars(target.name())
                .putLong(target.generation())
                .putInt(life)
                .hash()
                .asLong();
    }
}
