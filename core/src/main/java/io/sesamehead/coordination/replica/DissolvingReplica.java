package io.sesamehead.coordination.replica;

import io.sesamehead.state.InstanceId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Dissolves a group that has lost a member or stopped. Every member is ordered to leave, which also shows which members
 * are alive. A member may join another group only after it has left this one and the head can no longer serve: the head
 * has left, has restarted, has reported the loss itself, or has had enough time to detect it.
 */
final class DissolvingReplica {
    /** Initial interval at which an unanswered order is resent, in milliseconds; it doubles with each resend. */
    private static final long INITIAL_RESEND_MILLIS = 350;
    /**
     * Maximum resend interval, in milliseconds. It is short so that an upstream that becomes reachable again before its
     * registry entry expires receives the order soon.
     */
    private static final long MAX_RESEND_MILLIS = 1_400;
    /**
     * Margin for clock and message delays, added to the time in which a head detects a missing member, in milliseconds.
     */
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
        // A member that the registry does not list may still be connected to the head, so only an answered leave order
        // counts as a loss.
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
     * Returns whether any member is known to have left.
     *
     * @return true once a leave order has been answered
     */
    boolean anyMemberLeft() {
        return !departed.isEmpty();
    }

    /**
     * Adds the listed members. Some may have been unreachable together with their failure domain when dissolving
     * started.
     */
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
     * Returns whether an upstream has been listed as a member since dissolving started.
     *
     * @param id the upstream
     * @return true if {@link #blocksJoin} covers the upstream
     */
    boolean hasMember(InstanceId id) {
        return startTimes.containsKey(id);
    }

    /**
     * Returns whether this group still prevents an upstream from joining another group.
     *
     * @param entry the upstream
     * @param nowMillis current monotonic time, in milliseconds
     * @return true for a member that has not left, or whose head may still be serving
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
     * Returns whether the head can no longer serve.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if the head is known to have stopped or has had enough time to detect the loss
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
        // An entry written before the head joined names no group either, so the order count must have grown.
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
