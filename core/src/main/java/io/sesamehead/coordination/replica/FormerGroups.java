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
    private static final long MEMORY_MILLIS = 30_000;
    /** Interval at which what is outdated is forgotten, in milliseconds. */
    private static final long FORGET_INTERVAL_MILLIS = 5_000;

    /**
     * A group that an upstream has left.
     *
     * @param replica the group
     * @param firstLossMillis steady time at which the first loss of a member was seen
     * @param headLeft whether the head has left or started anew, so that it cannot serve the group any more
     */
    public record Former(ReplicaKey replica, long firstLossMillis, boolean headLeft) {}

    private final Map<InstanceId, Seen> seen = new HashMap<>();
    private final Map<ReplicaKey, Loss> losses = new HashMap<>();
    private boolean following;
    private long followedSinceMillis;
    private long forgottenAtMillis;

    private record Seen(UpstreamEntry entry, long atMillis, Optional<ReplicaKey> left) {}

    private record Loss(long firstMillis, long lastMillis, boolean headLeft) {}

    /**
     * Records that changes may have been missed until now.
     *
     * @param nowMillis present steady time
     */
    public void restarted(long nowMillis) {
        following = true;
        followedSinceMillis = nowMillis;
    }

    /**
     * Takes an entry.
     *
     * @param entry the entry as listed now, later than those taken before for its upstream
     * @param nowMillis present steady time
     */
    public void observe(UpstreamEntry entry, long nowMillis) {
        Seen before = seen.get(entry.id());
        Optional<ReplicaKey> left = Optional.empty();
        if (before != null) {
            Optional<Membership> old = before.entry().membership();
            Optional<ReplicaKey> now = entry.membership().map(Membership::replica);
            boolean sameLife = before.entry().startedAtEpochMillis() == entry.startedAtEpochMillis();
            if (old.isPresent() && !(sameLife && now.equals(old.map(Membership::replica)))) {
                lost(old.get(), nowMillis);
                left = old.map(Membership::replica);
            } else {
                left = before.left();
            }
            left = sameLife && now.isEmpty() ? left : Optional.empty();
        }
        seen.put(entry.id(), new Seen(entry, nowMillis, left));
        forget(nowMillis);
    }

    /**
     * Returns the group that an upstream without a group has left in its present life.
     *
     * @param entry the upstream's entry
     * @return the group, or empty if no departure is remembered
     */
    public Optional<Former> formerGroup(UpstreamEntry entry) {
        Seen last = seen.get(entry.id());
        if (last == null || last.entry().startedAtEpochMillis() != entry.startedAtEpochMillis()) {
            return Optional.empty();
        }
        return last.left()
                .flatMap(replica -> Optional.ofNullable(losses.get(replica))
                        .map(loss -> new Former(replica, loss.firstMillis(), loss.headLeft())));
    }

    /**
     * Returns since when no change of the registry can have been missed.
     *
     * @param nowMillis present steady time
     * @return the steady time; the present before the registry was first read
     */
    public long followedSince(long nowMillis) {
        return following ? followedSinceMillis : nowMillis;
    }

    private void lost(Membership membership, long nowMillis) {
        losses.merge(
                membership.replica(),
                new Loss(nowMillis, nowMillis, membership.head()),
                (old, now) -> new Loss(old.firstMillis(), now.lastMillis(), old.headLeft() || now.headLeft()));
    }

    private void forget(long nowMillis) {
        if (nowMillis - forgottenAtMillis < FORGET_INTERVAL_MILLIS) {
            return;
        }
        forgottenAtMillis = nowMillis;
        losses.values().removeIf(loss -> nowMillis - loss.lastMillis() > MEMORY_MILLIS);
    }

    /**
     * Forgets upstreams that are not listed any more.
     *
     * @param listed decides whether an upstream is listed
     * @param nowMillis present steady time
     */
    public void retain(Predicate<InstanceId> listed, long nowMillis) {
        seen.entrySet()
                .removeIf(entry -> !listed.test(entry.getKey())
                        && nowMillis - entry.getValue().atMillis() > MEMORY_MILLIS);
    }
}
