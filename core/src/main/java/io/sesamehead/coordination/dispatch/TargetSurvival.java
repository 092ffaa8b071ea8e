package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.replica.LeavingUpstreams.UpstreamIncarnation;
import io.sesamehead.coordination.replica.Membership;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.state.InstanceId;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Tells lost answers from crashes: shows which targets went on as the incarnations that they were after an attempt there
 * was lost. An upstream that has crashed comes back as another incarnation, and the store removes the entry of a silent
 * one, so an entry that stays listed for long enough belongs to a process that lives. Because an entry may also outlive
 * its upstream, the upstream must have made progress or changed its entry since. Not thread-safe.
 */
public final class TargetSurvival {
    /** Number of heartbeat intervals after which the store removes the entry of a silent upstream. */
    private static final int SILENT_HEARTBEATS = 3;
    /** Time that the store may take to remove such an entry and to tell of it, in milliseconds. */
    private static final long REMOVAL_DELAY_MILLIS = 1_000;
    /**
     * Time after a loss in which progress or a change of an entry may have come about before it, in milliseconds: bytes in
     * buffers, reports of peers and batches of the registry arrive later.
     */
    private static final long EVIDENCE_LAG_MILLIS = 500;
    /** Maximum time between two answers of the store, in milliseconds: entries may stay listed while it is away. */
    private static final long MAX_ANSWER_GAP_MILLIS = 2_500;
    /** Maximum number of targets kept, several times those of a large fleet. */
    private static final int MAX_TARGETS = 4_096;
    /** Number of losses at one target by one request that are told apart. */
    private static final int MAX_CRASH_NUMBERS = CrashEntry.MAX_CRASHES + 1;

    private final long removalMillis;
    /** Least recently listed first. */
    private final Map<TargetKey, Set<UpstreamIncarnation>> upstreamsByTarget = new LinkedHashMap<>(16, 0.75f, true);

    private final Map<Long, TargetKey> targetsByCrash = new HashMap<>();
    private Map<InstanceId, UpstreamEntry> listed = Map.of();
    private final Map<InstanceId, Long> changedAtMillis = new HashMap<>();
    /** How many hashes of each target are known. Most requests lose at most one answer at a target. */
    private int crashNumbers = 1;

    private long listedSinceMillis = Long.MIN_VALUE / 2;
    private long listedAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an empty record.
     *
     * @param heartbeatMillis interval at which upstreams write to the store, in milliseconds
     */
    public TargetSurvival(long heartbeatMillis) {
        this.removalMillis = SILENT_HEARTBEATS * heartbeatMillis;
    }

    /**
     * Observes the entries of the registry after a change. Only a target that has been seen to serve is known with all its
     * upstreams, among them one that may crash later.
     *
     * @param servingKeys targets that now accept calls
     * @param entries all entries
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void observe(Set<TargetKey> servingKeys, Collection<UpstreamEntry> entries, long nowMillis) {
        Map<InstanceId, UpstreamEntry> before = listed;
        Map<TargetKey, Set<UpstreamIncarnation>> members = new HashMap<>();
        listed = new HashMap<>();
        for (UpstreamEntry entry : entries) {
            listed.put(entry.id(), entry);
            UpstreamEntry known = before.get(entry.id());
            if (known != null && known.incarnation().equals(entry.incarnation()) && !known.equals(entry)) {
                changedAtMillis.put(entry.id(), nowMillis);
            }
            TargetKey target = targetOf(entry);
            if (servingKeys.contains(target)) {
                members.computeIfAbsent(target, key -> new HashSet<>()).add(entry.incarnation());
            }
        }
        changedAtMillis.keySet().retainAll(listed.keySet());
        members.forEach(this::remember);
    }

    private void remember(TargetKey target, Set<UpstreamIncarnation> members) {
        Set<UpstreamIncarnation> known = upstreamsByTarget.get(target);
        if (known != null) {
            known.addAll(members);
            return;
        }
        if (upstreamsByTarget.size() >= MAX_TARGETS) {
            forget(upstreamsByTarget.keySet().iterator().next());
        }
        upstreamsByTarget.put(target, members);
        for (int number = 0; number < crashNumbers; number++) {
            targetsByCrash.put(CrashHash.of(target, number), target);
        }
    }

    private void forget(TargetKey target) {
        upstreamsByTarget.remove(target);
        for (int number = 0; number < crashNumbers; number++) {
            targetsByCrash.remove(CrashHash.of(target, number));
        }
    }

    /**
     * Records how recent the entries are.
     *
     * @param answeredAtMillis monotonic time at which the store last confirmed them, in milliseconds
     */
    public void recordListed(long answeredAtMillis) {
        if (answeredAtMillis - listedAtMillis > MAX_ANSWER_GAP_MILLIS) {
            listedSinceMillis = answeredAtMillis;
        }
        listedAtMillis = Math.max(listedAtMillis, answeredAtMillis);
    }

    /**
     * Records that the store was restored from a copy, which may list upstreams that have ended.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void recordRestore(long nowMillis) {
        listedSinceMillis = nowMillis;
    }

    /**
     * Returns until when the target of a crash is known to have gone on.
     *
     * @param crash hash of the crash
     * @param learnedAtMillis monotonic time at which this daemon learned of it, in milliseconds
     * @param lastProgressMillis returns when any daemon last saw progress at a target, in milliseconds
     * @return a monotonic time later than the crash in milliseconds, or empty if the target may have crashed
     */
    OptionalLong survivedUntil(long crash, long learnedAtMillis, ToLongFunction<TargetKey> lastProgressMillis) {
        long provenUntil = listedAtMillis - removalMillis;
        if (provenUntil < Math.max(learnedAtMillis, listedSinceMillis) + REMOVAL_DELAY_MILLIS) {
            return OptionalLong.empty();
        }
        long sinceMillis = learnedAtMillis + EVIDENCE_LAG_MILLIS;
        return target(crash)
                .filter(target -> isListed(target)
                        && (lastProgressMillis.applyAsLong(target) > sinceMillis
                                || allChangedSince(target, sinceMillis)))
                .map(target -> OptionalLong.of(provenUntil))
                .orElse(OptionalLong.empty());
    }

    /**
     * Returns the time from a crash until it may be refuted.
     *
     * @return the time in milliseconds, if the store answers meanwhile
     */
    long proofMillis() {
        return removalMillis + REMOVAL_DELAY_MILLIS;
    }

    private Optional<TargetKey> target(long crash) {
        while (!targetsByCrash.containsKey(crash) && crashNumbers < MAX_CRASH_NUMBERS) {
            for (TargetKey target : upstreamsByTarget.keySet()) {
                targetsByCrash.put(CrashHash.of(target, crashNumbers), target);
            }
            crashNumbers++;
        }
        return Optional.ofNullable(targetsByCrash.get(crash));
    }

    private boolean isListed(TargetKey target) {
        return upstreamsByTarget.get(target).stream().allMatch(upstream -> {
            UpstreamEntry entry = listed.get(upstream.upstream());
            return entry != null && entry.incarnation().equals(upstream);
        });
    }

    private boolean allChangedSince(TargetKey target, long millis) {
        return upstreamsByTarget.get(target).stream()
                .allMatch(upstream -> changedAtMillis.getOrDefault(upstream.upstream(), millis) > millis);
    }

    private static TargetKey targetOf(UpstreamEntry entry) {
        return entry.membership()
                .map(Membership::replica)
                .map(TargetKey::of)
                .orElseGet(() -> TargetKey.of(entry.id(), entry.startedAtEpochMillis()));
    }
}
