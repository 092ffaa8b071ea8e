package io.sesamehead.coordination.replica;

import io.sesamehead.state.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * What the registry has shown of groups that upstreams have left. The head of a group that lost a member goes on serving
 * until it notices, and the member's own entry does not say so any more. Every daemon keeps this record, so that one that
 * takes the controller lease knows which upstreams must wait. Not thread-safe.
 */
public final class FormerGroups {
    /** Time for which a departure is remembered, in milliseconds: above the longest time in which a head notices a loss. */
    private static final long RETENTION_MILLIS = 30_000;
    /** Interval at which what is outdated is forgotten, in milliseconds. */
    private static final long EVICTION_INTERVAL_MILLIS = 5_000;

    /**
     * A group that an upstream has left.
     *
     * @param replica the group
     * @param firstLossAtMillis steady time at which the first loss of a member was seen
     * @param headLeft whether the head has left or started anew, so that it cannot serve the group any more
     */
    public record FormerGroup(ReplicaKey replica, long firstLossAtMillis, boolean headLeft) {}

    private final Map<InstanceId, Observation> lastSeen = new HashMap<>();
    private final Map<ReplicaKey, MemberLoss> losses = new HashMap<>();
    private boolean historyKnown;
    private long historyStartMillis;
    private long evictedAtMillis;

    private record Observation(UpstreamEntry entry, long atMillis, Optional<ReplicaKey> leftGroup) {}

    private record MemberLoss(long firstAtMillis, long lastAtMillis, boolean headLeft) {}

    /**
     * Records that changes may have been missed until now.
     *
     * @param nowMillis present steady time
     */
    public void restartHistory(long nowMillis) {
        historyKnown = true;
        historyStartMillis = nowMillis;
    }

    /**
     * Takes an entry.
     *
     * @param entry the entry as listed now, later than those taken before for its upstream
     * @param nowMillis present steady time
     */
    public void observe(UpstreamEntry entry, long nowMillis) {
        Observation previous = lastSeen.get(entry.id());
        Optional<ReplicaKey> leftGroup = Optional.empty();
        if (previous != null) {
            Optional<Membership> old = previous.entry().membership();
            Optional<ReplicaKey> now = entry.membership().map(Membership::replica);
            boolean sameIncarnation = previous.entry().startedAtEpochMillis() == entry.startedAtEpochMillis();
            if (old.isPresent() && !(sameIncarnation && now.equals(old.map(Membership::replica)))) {
                recordLoss(old.get(), nowMillis);
                leftGroup = old.map(Membership::replica);
            } else {
                leftGroup = previous.leftGroup();
            }
            leftGroup = sameIncarnation && now.isEmpty() ? leftGroup : Optional.empty();
        }
        lastSeen.put(entry.id(), new Observation(entry, nowMillis, leftGroup));
        evictExpired(nowMillis);
    }

    /**
     * Returns the group that an upstream without a group has left in its present life.
     *
     * @param entry the upstream's entry
     * @return the group, or empty if no departure is remembered
     */
    public Optional<FormerGroup> formerGroup(UpstreamEntry entry) {
        Observation last = lastSeen.get(entry.id());
        if (last == null || last.entry().startedAtEpochMillis() != entry.startedAtEpochMillis()) {
            return Optional.empty();
        }
        return last.leftGroup()
                .flatMap(replica -> Optional.ofNullable(losses.get(replica))
                        .map(loss -> new FormerGroup(replica, loss.firstAtMillis(), loss.headLeft())));
    }

    /**
     * Returns since when no change of the registry can have been missed.
     *
     * @param nowMillis present steady time
     * @return the steady time; the present before the registry was first read
     */
    public long historyStartMillis(long nowMillis) {
        return historyKnown ? historyStartMillis : nowMillis;
    }

    private void recordLoss(Membership membership, long nowMillis) {
        losses.merge(
                membership.replica(),
                new MemberLoss(nowMillis, nowMillis, membership.head()),
                (old, now) ->
                        new MemberLoss(old.firstAtMillis(), now.lastAtMillis(), old.headLeft() || now.headLeft()));
    }

    private void evictExpired(long nowMillis) {
        if (nowMillis - evictedAtMillis < EVICTION_INTERVAL_MILLIS) {
            return;
        }
        evictedAtMillis = nowMillis;
        losses.values().removeIf(loss -> nowMillis - loss.lastAtMillis() > RETENTION_MILLIS);
    }

    /**
     * Forgets upstreams that are not listed any more.
     *
     * @param listed decides whether an upstream is listed
     * @param nowMillis present steady time
     */
    public void evictUnlisted(Predicate<InstanceId> listed, long nowMillis) {
        lastSeen.entrySet()
                .removeIf(entry -> !listed.test(entry.getKey())
                        && nowMillis - entry.getValue().atMillis() > RETENTION_MILLIS);
    }
}
