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
    private static final long INITIAL_RESEND_MILLIS = 350;
    /** Longest such time, in milliseconds: an upstream that comes back within its registry entry is told soon. */
    private static final long MAX_RESEND_MILLIS = 1_400;
    /** Added to the time in which a head notices a missing member, for clocks and messages, in milliseconds. */
    static final long DETECTION_MARGIN_MILLIS = 700;

    private final ReplicaKey key;
    private Optional<InstanceId> head = Optional.empty();
    private long headStartedAtEpochMillis;
    private long headOrdersBegun;
    private final long stallMillis;
    private final Map<InstanceId, Long> startTimes = new HashMap<>();
    private final Map<InstanceId, SentLeave> leaveOrders = new HashMap<>();
    private final Set<InstanceId> departed = new HashSet<>();
    private long memberLostAtMillis;
    private boolean headKnownStopped;

    private record SentLeave(long sentAtMillis, long resendAfterMillis) {}

    DissolvingReplica(Replica replica, long stallMillis) {
        this.key = replica.key();
        this.stallMillis = stallMillis;
        recordMembers(replica.members());
        // A member that the registry does not list may still be in touch with the head: only an answered order is a
        // loss.
        this.memberLostAtMillis = Long.MAX_VALUE;
    }

    ReplicaKey key() {
        return key;
    }

    void onResult(ReplicaAction action, OrderResult result, long nowMillis) {
        if (!(action instanceof ReplicaAction.Leave leave)) {
            return;
        }
        boolean memberLeft = result == OrderResult.ACCEPTED || result == OrderResult.NO_SUCH_UPSTREAM;
        if (!memberLeft) {
            return;
        }
        departed.add(leave.target());
        if (head.filter(leave.target()::equals).isPresent()) {
            headKnownStopped = true;
        } else {
            memberLostAtMillis = Math.min(memberLostAtMillis, nowMillis);
        }
    }

    void advance(
            List<UpstreamEntry> members,
            Map<InstanceId, UpstreamEntry> entries,
            long nowMillis,
            List<ReplicaAction> actions) {
        recordMembers(members);
        updateHead(entries);
        for (UpstreamEntry member : members) {
            sendLeaveIfDue(member.id(), nowMillis, actions);
        }
    }

    /**
     * Tells whether any member is known to have left.
     *
     * @return true once a leave order was answered
     */
    boolean anyMemberLeft() {
        return !departed.isEmpty();
    }

    /** Takes the members that are listed. Some may have been away with their failure domain when the group was given up. */
    private void recordMembers(List<UpstreamEntry> members) {
        for (UpstreamEntry member : members) {
            startTimes.putIfAbsent(member.id(), member.startedAtEpochMillis());
            if (head.isEmpty() && member.membership().orElseThrow().head()) {
                head = Optional.of(member.id());
                headStartedAtEpochMillis = member.startedAtEpochMillis();
                headOrdersBegun = member.ordersBegun();
            }
        }
    }

    /**
     * Tells whether an upstream was listed as a member since the group was given up.
     *
     * @param id the upstream
     * @return true if {@link #blocksJoin} speaks for it
     */
    boolean hasMember(InstanceId id) {
        return startTimes.containsKey(id);
    }

    /**
     * Tells whether an upstream must not join another group yet because of this one.
     *
     * @param entry the upstream
     * @param nowMillis present time
     * @return true for a member that has not left, or whose head may still serve
     */
    boolean blocksJoin(UpstreamEntry entry, long nowMillis) {
        Long startedAtEpochMillis = startTimes.get(entry.id());
        if (startedAtEpochMillis == null || startedAtEpochMillis != entry.startedAtEpochMillis()) {
            return false;
        }
        boolean member =
                entry.membership().map(Membership::replica).filter(key::equals).isPresent();
        return (member && !departed.contains(entry.id())) || !headStopped(nowMillis);
    }

    /**
     * Tells whether the head cannot serve any more.
     *
     * @param nowMillis present time
     * @return true when it is known to have stopped or has had the time to notice the loss
     */
    boolean headStopped(long nowMillis) {
        if (headKnownStopped) {
            return true;
        }
        return memberLostAtMillis != Long.MAX_VALUE
                && nowMillis >= memberLostAtMillis + stallMillis + DETECTION_MARGIN_MILLIS;
    }

    private void updateHead(Map<InstanceId, UpstreamEntry> entries) {
        if (head.isEmpty()) {
            return;
        }
        UpstreamEntry entry = entries.get(head.get());
        if (entry == null) {
            return;
        }
        boolean restarted = entry.startedAtEpochMillis() != headStartedAtEpochMillis;
        Optional<Membership> own =
                entry.membership().filter(membership -> membership.replica().equals(key));
        // An entry from before the group names no group either.
        boolean leftGroup = own.isEmpty() && entry.ordersBegun() > headOrdersBegun;
        boolean stopped = own.isPresent() && own.get().state() == MemberState.BROKEN;
        if (restarted || leftGroup || stopped) {
            headKnownStopped = true;
        }
    }

    private void sendLeaveIfDue(InstanceId id, long nowMillis, List<ReplicaAction> actions) {
        if (departed.contains(id)) {
            return;
        }
        SentLeave last = leaveOrders.get(id);
        if (last != null && nowMillis - last.sentAtMillis() < last.resendAfterMillis()) {
            return;
        }
        long resendAfterMillis =
                last == null ? INITIAL_RESEND_MILLIS : Math.min(MAX_RESEND_MILLIS, 2 * last.resendAfterMillis());
        leaveOrders.put(id, new SentLeave(nowMillis, resendAfterMillis));
        actions.add(new ReplicaAction.Leave(id, key));
    }
}
