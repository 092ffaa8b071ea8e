package io.sesamehead.coordination.replica;

import io.sesamehead.state.InstanceId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Tracks the groups that upstreams have left, as observed in the registry. The head of a group that lost a member keeps
 * serving until it detects the loss, but the member's own entry no longer names the group. Every daemon keeps this
 * history, so that a daemon that acquires the controller lease can tell which upstreams must wait. Not thread-safe.
 */
public final class FormerGroups {
    /** Retention of a departure, in milliseconds: longer than the maximum time in which a head detects a loss. */
    private static final long RETENTION_MILLIS = 30_000;
    /** Interval at which expired departures are evicted, in milliseconds. */
    private static final long EVICTION_INTERVAL_MILLIS = 5_000;

    /**
     * A group that an upstream has left.
     *
     * @param replica the group
     * @param firstLossAtMillis monotonic time at which the first loss of a member was observed, in milliseconds
     * @param headLeft whether the head has left or restarted, so that it can no longer serve the group
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
     * Records that changes before the current time may have been missed.
     *
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void restartHistory(long nowMillis) {
        historyKnown = true;
        historyStartMillis = nowMillis;
    }

    /**
     * Records an entry read from the registry.
     *
     * @param entry the current entry, newer than those recorded before for its upstream
     * @param nowMillis current monotonic time, in milliseconds
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
        entry.membership().filter(Membership::head).ifPresent(membership -> recordHeadReturn(membership, nowMillis));
        lastSeen.put(entry.id(), new Observation(entry, nowMillis, leftGroup));
        evictExpired(nowMillis);
    }

    /**
     * Returns the group that an upstream without a group has left since its start.
     *
     * @param entry the upstream's entry
     * @return the group, or empty if no departure is recorded
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
     * Returns the time since when no change of the registry can have been missed.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return the monotonic time, in milliseconds; the current time if the registry has not been read yet
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

    /**
     * Orders that are executed late can make a head that has left a member again. It then detects the losses from now
     * on.
     */
    private void recordHeadReturn(Membership membership, long nowMillis) {
        losses.computeIfPresent(
                membership.replica(),
                (replica, loss) -> loss.headLeft() ? new MemberLoss(nowMillis, nowMillis, false) : loss);
    }

    private void evictExpired(long nowMillis) {
        if (nowMillis - evictedAtMillis < EVICTION_INTERVAL_MILLIS) {
            return;
        }
        evictedAtMillis = nowMillis;
        losses.values().removeIf(loss -> nowMillis - loss.lastAtMillis() > RETENTION_MILLIS);
    }

    /**
     * Evicts upstreams that have not been listed for a while.
     *
     * @param listed whether the registry lists an upstream
     * @param nowMillis current monotonic time, in milliseconds
     */
    public void evictUnlisted(Predicate<InstanceId> listed, long nowMillis) {
        lastSeen.entrySet()
                .removeIf(entry -> !listed.test(entry.getKey())
                        && nowMillis - entry.getValue().atMillis() > RETENTION_MILLIS);
    }
}
