package io.sesamehead.coordination.replica;

import io.sesamehead.state.InstanceId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A group that has lost a member or stopped. All members are told to leave, which also shows which of them live. A
 * member may join elsewhere only after it has left, and only when the head cannot serve any more: the head has left, has
 * started anew, has reported the loss itself, or has had the time in which it must notice it.
 */
final class DissolvingReplica {
    /** Time after which an unanswered order is first sent again, in milliseconds; it doubles with each repeat. */
    private static final long RESEND_MILLIS = 350;
    /** Longest such time, in milliseconds: an upstream that comes back within its registry entry is told soon. */
    private static final long MAX_RESEND_MILLIS = 1_400;
    /** Added to the time in which a head notices a missing member, for clocks and messages, in milliseconds. */
    static final long MARGIN_MILLIS = 700;

    private final ReplicaKey key;
    private Optional<InstanceId> head = Optional.empty();
    private long headLife;
    private long headOrders;
    private final long stallMillis;
    private final Map<InstanceId, Long> lives = new HashMap<>();
    private final Map<InstanceId, Sending> sent = new HashMap<>();
    private final Set<InstanceId> left = new HashSet<>();
    private long memberLostAt;
    private boolean headGone;

    private record Sending(long atMillis, long pauseMillis) {}

    DissolvingReplica(Replica replica, long stallMillis) {
        this.key = replica.key();
        this.stallMillis = stallMillis;
        note(replica.members());
        // A member that the registry does not list may still be in touch with the head: only an answered order is a
        // loss.
        this.memberLostAt = Long.MAX_VALUE;
    }

    ReplicaKey key() {
        return key;
    }

    void onResult(ReplicaAction action, OrderResult result, long nowMillis) {
        if (!(action instanceof ReplicaAction.Leave leave)) {
            return;
        }
        boolean gone = result == OrderResult.ACCEPTED || result == OrderResult.NO_SUCH_UPSTREAM;
        if (!gone) {
            return;
        }
        left.add(leave.target());
        if (head.filter(leave.target()::equals).isPresent()) {
            headGone = true;
        } else {
            memberLostAt = Math.min(memberLostAt, nowMillis);
        }
    }

    void advance(
            List<UpstreamEntry> members,
            Map<InstanceId, UpstreamEntry> entries,
            long nowMillis,
            List<ReplicaAction> actions) {
        note(members);
        noteHead(entries);
        for (UpstreamEntry member : members) {
            requestLeave(member.id(), nowMillis, actions);
        }
    }

    /**
     * Tells whether any member is known to have left.
     *
     * @return true once a leave order was answered
     */
    boolean anyLeft() {
        return !left.isEmpty();
    }

    /** Takes the members that are listed. Some may have been away with their failure domain when the group was given up. */
    private void note(List<UpstreamEntry> members) {
        for (UpstreamEntry member : members) {
            lives.putIfAbsent(member.id(), member.startedAtEpochMillis());
            if (head.isEmpty() && member.membership().orElseThrow().head()) {
                head = Optional.of(member.id());
                headLife = member.startedAtEpochMillis();
                headOrders = member.ordersBegun();
            }
        }
    }

    /**
     * Tells whether an upstream was listed as a member since the group was given up.
     *
     * @param id the upstream
     * @return true if {@link #holds} speaks for it
     */
    boolean listedMember(InstanceId id) {
        return lives.containsKey(id);
    }

    /**
     * Tells whether an upstream must not join another group yet because of this one.
     *
     * @param entry the upstream
     * @param nowMillis present time
     * @return true for a member that has not left, or whose head may still serve
     */
    boolean holds(UpstreamEntry entry, long nowMillis) {
        Long life = lives.get(entry.id());
        if (life == null || life != entry.startedAtEpochMillis()) {
            return false;
        }
        boolean member =
                entry.membership().map(Membership::replica).filter(key::equals).isPresent();
        return (member && !left.contains(entry.id())) || !headStopped(nowMillis);
    }

    /**
     * Tells whether the head cannot serve any more.
     *
     * @param nowMillis present time
     * @return true when it is known to have stopped or has had the time to notice the loss
     */
    boolean headStopped(long nowMillis) {
        if (headGone) {
            return true;
        }
        return memberLostAt != Long.MAX_VALUE && nowMillis >= memberLostAt + stallMillis + MARGIN_MILLIS;
    }

    private void noteHead(Map<InstanceId, UpstreamEntry> entries) {
        if (head.isEmpty()) {
            return;
        }
        UpstreamEntry entry = entries.get(head.get());
        if (entry == null) {
            return;
        }
        boolean newLife = entry.startedAtEpochMillis() != headLife;
        Optional<Membership> own =
                entry.membership().filter(membership -> membership.replica().equals(key));
        // An entry from before the group names no group either.
        boolean elsewhere = own.isEmpty() && entry.ordersBegun() > headOrders;
        boolean stopped = own.isPresent() && own.get().state() == MemberState.BROKEN;
        if (newLife || elsewhere || stopped) {
            headGone = true;
        }
    }

    private void requestLeave(InstanceId id, long nowMillis, List<ReplicaAction> actions) {
        if (left.contains(id)) {
            return;
        }
        Sending last = sent.get(id);
        if (last != null && nowMillis - last.atMillis() < last.pauseMillis()) {
            return;
        }
        long pause = last == null ? RESEND_MILLIS : Math.min(MAX_RESEND_MILLIS, 2 * last.pauseMillis());
        sent.put(id, new Sending(nowMillis, pause));
        actions.add(new ReplicaAction.Leave(id, key));
    }
}
