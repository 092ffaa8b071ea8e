package io.sesamehead.coordination.request;

import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.state.AttemptId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Crash counts by fingerprint and the attempts that run on each upstream. Place 7, the last, in the lock order: nothing
 * else is locked while its lock is held.
 */
final class SuspectTable {
    private static final int CRASHES_TO_QUARANTINE = 2;

    /** Bound of the table's memory; the entries that end first are dropped beyond it. */
    private static final int MAX_ENTRIES = 10_000;

    private final long quarantineMillis;
    private final Map<AttemptId, Running> running = new HashMap<>();
    private final Map<Fingerprint, Entry> suspects = new HashMap<>();

    private record Running(Fingerprint fingerprint, UpstreamId upstream) {}

    private record Entry(int crashes, long endMillis) {}

    SuspectTable(long quarantineMillis) {
        this.quarantineMillis = quarantineMillis;
    }

    synchronized SuspectDecision tryBegin(
            AttemptId attempt, Fingerprint fingerprint, UpstreamId upstream, SuspectShare share, long nowMillis) {
        OptionalLong quarantine = quarantineRemainingMillis(fingerprint, nowMillis);
        if (quarantine.isPresent()) {
            return new SuspectDecision.Quarantined(quarantine.getAsLong());
        }
        if (suspects.containsKey(fingerprint)) {
            if (running.values().stream().anyMatch(other -> other.fingerprint().equals(fingerprint))) {
                return new SuspectDecision.Wait();
            }
            if (!share.allows(upstream) || runsSuspect(upstream)) {
                return new SuspectDecision.ChooseAnother();
            }
        }
        running.put(attempt, new Running(fingerprint, upstream));
        return new SuspectDecision.Run();
    }

    synchronized void recordCompleted(AttemptId attempt) {
        Running ended = running.remove(attempt);
        if (ended != null) {
            suspects.remove(ended.fingerprint());
        }
    }

    synchronized void recordAbandoned(AttemptId attempt) {
        running.remove(attempt);
    }

    synchronized ImmutableMap<Fingerprint, Integer> recordCrash(UpstreamId upstream, long nowMillis) {
        Set<Fingerprint> inFlight = new HashSet<>();
        running.values().removeIf(attempt -> {
            boolean here = attempt.upstream().equals(upstream);
            if (here) {
                inFlight.add(attempt.fingerprint());
            }
            return here;
        });
        ImmutableMap.Builder<Fingerprint, Integer> counts = ImmutableMap.builder();
        for (Fingerprint fingerprint : inFlight) {
            dropEnded(fingerprint, nowMillis);
            Entry known = suspects.get(fingerprint);
            int crashes = known == null ? 1 : known.crashes() + 1;
            put(fingerprint, crashes, nowMillis);
            counts.put(fingerprint, crashes);
        }
        return counts.buildOrThrow();
    }

    synchronized void mergeCrashCount(Fingerprint fingerprint, int crashes, long nowMillis) {
        dropEnded(fingerprint, nowMillis);
        Entry known = suspects.get(fingerprint);
        if (crashes > 0 && (known == null || crashes > known.crashes())) {
            put(fingerprint, crashes, nowMillis);
        }
    }

    synchronized OptionalLong quarantineRemainingMillis(Fingerprint fingerprint, long nowMillis) {
        dropEnded(fingerprint, nowMillis);
        Entry known = suspects.get(fingerprint);
        if (known == null || known.crashes() < CRASHES_TO_QUARANTINE) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(known.endMillis() - nowMillis);
    }

    private boolean runsSuspect(UpstreamId upstream) {
        return running.values().stream()
                .filter(attempt -> attempt.upstream().equals(upstream))
                .anyMatch(attempt -> suspects.containsKey(attempt.fingerprint()));
    }

    private void put(Fingerprint fingerprint, int crashes, long nowMillis) {
        if (suspects.size() >= MAX_ENTRIES && !suspects.containsKey(fingerprint)) {
            dropEarliest(nowMillis);
        }
        suspects.put(fingerprint, new Entry(crashes, nowMillis + quarantineMillis));
    }

    private void dropEarliest(long nowMillis) {
        suspects.values().removeIf(entry -> entry.endMillis() <= nowMillis);
        if (suspects.size() >= MAX_ENTRIES) {
            suspects.entrySet().stream()
                    .min(Map.Entry.comparingByValue(Comparator.comparingLong(Entry::endMillis)))
                    .ifPresent(earliest -> suspects.remove(earliest.getKey()));
        }
    }

    /** After a quarantine the request is still a suspect, so that it runs alone and its next crash quarantines it. */
    private void dropEnded(Fingerprint fingerprint, long nowMillis) {
        Entry known = suspects.get(fingerprint);
        if (known == null || known.endMillis() > nowMillis) {
            return;
        }
        if (known.crashes() < CRASHES_TO_QUARANTINE) {
            suspects.remove(fingerprint);
            return;
        }
        suspects.put(fingerprint, new Entry(CRASHES_TO_QUARANTINE - 1, known.endMillis() + quarantineMillis));
        dropEnded(fingerprint, nowMillis);
    }
}
