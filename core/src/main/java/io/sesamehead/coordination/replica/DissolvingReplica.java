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
 * are alive. A member may join another group only after its registry entry shows that it has left this one and the head
 * can no longer serve: the head has left, has restarted, has reported the loss itself, or has had enough time to detect
 * it.
 *
 * <p>The answer to a leave order does not prove that the member has left. It may be a second copy of an earlier answer,
 * and an earlier join that is executed late makes the upstream a member again. Upstreams number their entries, so the
 * later of two is known whenever they were read.
 */
final class DissolvingReplica {
    /** Initial interval at which a leave order without a visible effect is resent, in milliseconds; it then doubles. */
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
    private final long stallMillis;
    private Optional<InstanceId> head = Optional.empty();
    private final Map<InstanceId, LastListed> lastListed = new HashMap<>();
    private final Map<InstanceId, SentLeave> leaveOrders = new HashMap<>();
    /** Members of which an entry newer than their last one in the group names another group or none, with the time. */
    private final Map<InstanceId, Long> departedAtMillis = new HashMap<>();

    /** Members of which the last answered order was answered by another process at their address. */
    private final Set<InstanceId> answeredByOther = new HashSet<>();

    private boolean leaveAnswered;
    private boolean headAnsweredLeave;
    private boolean headStopped;

    private record SentLeave(long sentAtMillis, long resendAfterMillis) {}

    /** The incarnation of a member and the number of its last entry that names the group. */
    private record LastListed(long startedAtEpochMillis, long writes) {
        static LastListed of(UpstreamEntry entry) {
            return new LastListed(entry.startedAtEpochMillis(), entry.writes());
        }
    }

    DissolvingReplica(Replica replica, long stallMillis) {
        this.key = replica.key();
        this.stallMillis = stallMillis;
        replica.members().forEach(member -> recordListed(member, 0));
    }

    /** Returns the task for a group whose head has never received an open order. */
    static DissolvingReplica neverOpened(Replica replica, long stallMillis) {
        DissolvingReplica group = new DissolvingReplica(replica, stallMillis);
        group.headStopped = true;
        return group;
    }

    ReplicaKey key() {
        return key;
    }

    void onResult(ReplicaAction action, OrderResult result, long nowMillis) {
        if (!(action instanceof ReplicaAction.Leave leave)) {
            return;
        }
        switch (result) {
            case ACCEPTED -> {
                answeredByOther.remove(leave.target());
                leaveAnswered = true;
                headAnsweredLeave |= isHead(leave.target());
            }
            case NO_SUCH_UPSTREAM -> {
                leaveAnswered = true;
                // Another process at the address proves that this incarnation has ended, but one such answer may be a
                // second copy of that to an order for an earlier incarnation.
                if (!answeredByOther.add(leave.target())) {
                    recordDeparted(leave.target(), nowMillis);
                }
            }
            case REFUSED, CONFLICT, FENCED, UNKNOWN -> {}
        }
    }

    /** Records the current entries of the members and of the upstreams that have been members. */
    void observe(List<UpstreamEntry> members, Map<InstanceId, UpstreamEntry> entries, long nowMillis) {
        members.forEach(member -> recordListed(member, nowMillis));
        for (InstanceId id : lastListed.keySet()) {
            UpstreamEntry entry = entries.get(id);
            if (entry != null && !isListed(entry) && isNewer(entry)) {
                recordDeparted(id, nowMillis);
            }
        }
    }

    /** Orders the listed members to leave. */
    void orderLeaves(List<UpstreamEntry> members, long nowMillis, List<ReplicaAction> actions) {
        for (UpstreamEntry member : members) {
            sendLeaveIfDue(member.id(), nowMillis, actions);
        }
    }

    /**
     * Returns whether any member is known to have left.
     *
     * @return true while an entry shows that a member has left, or its incarnation has ended
     */
    boolean anyMemberLeft() {
        return !departedAtMillis.isEmpty();
    }

    /**
     * Returns whether any member may have left.
     *
     * @return true also once a leave order has been answered
     */
    boolean mayHaveLostMember() {
        return leaveAnswered || anyMemberLeft();
    }

    /**
     * Returns whether an upstream has been listed as a member since dissolving started.
     *
     * @param id the upstream
     * @return true if {@link #blocksJoin} covers the upstream
     */
    boolean hasMember(InstanceId id) {
        return lastListed.containsKey(id);
    }

    /**
     * Returns whether this group still prevents an upstream from joining another group.
     *
     * @param entry the upstream
     * @param nowMillis current monotonic time, in milliseconds
     * @return true for a member that is listed in the group, or whose head may still be serving
     */
    boolean blocksJoin(UpstreamEntry entry, long nowMillis) {
        if (isListed(entry)) {
            return true;
        }
        LastListed last = lastListed.get(entry.id());
        boolean sameIncarnation = last != null && last.startedAtEpochMillis() == entry.startedAtEpochMillis();
        return sameIncarnation && !headStopped(nowMillis);
    }

    /**
     * Returns whether the head can no longer serve.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @return true if the head is known to have stopped or has had enough time to detect the loss
     */
    boolean headStopped(long nowMillis) {
        if (headStopped) {
            return true;
        }
        // A member that the registry does not list may still be connected to the head, so it does not count as a loss.
        return departedAtMillis.values().stream()
                .anyMatch(atMillis -> nowMillis >= atMillis + stallMillis + DETECTION_MARGIN_MILLIS);
    }

    private boolean isHead(InstanceId id) {
        return head.filter(id::equals).isPresent();
    }

    private boolean isListed(UpstreamEntry entry) {
        return entry.membership().map(Membership::replica).filter(key::equals).isPresent();
    }

    /** Returns whether an entry was written after the last known one that names the group. */
    private boolean isNewer(UpstreamEntry entry) {
        LastListed last = lastListed.get(entry.id());
        return last == null
                || entry.startedAtEpochMillis() != last.startedAtEpochMillis()
                || entry.writes() > last.writes();
    }

    /**
     * Records an entry that names the group. It may be the first one of a member that was unreachable together with its
     * failure domain when dissolving started, or of one that an order executed late has made a member again.
     */
    private void recordListed(UpstreamEntry member, long nowMillis) {
        Membership membership = member.membership().orElseThrow();
        if (membership.head()) {
            head = Optional.of(member.id());
        }
        if (isNewer(member)) {
            boolean returned = departedAtMillis.remove(member.id()) != null;
            if (returned) {
                leaveOrders.remove(member.id());
            }
            if (membership.head() && (returned || headAnsweredLeave)) {
                // It may be open again, and detects the absence of the others only from now on.
                headAnsweredLeave = false;
                headStopped = false;
                departedAtMillis.replaceAll((id, atMillis) -> nowMillis);
            }
            lastListed.put(member.id(), LastListed.of(member));
        }
        if (membership.head() && membership.state() == MemberState.BROKEN) {
            headStopped = true;
        }
    }

    private void recordDeparted(InstanceId id, long nowMillis) {
        departedAtMillis.putIfAbsent(id, nowMillis);
        if (isHead(id)) {
            headStopped = true;
        }
    }

    private void sendLeaveIfDue(InstanceId id, long nowMillis, List<ReplicaAction> actions) {
        if (departedAtMillis.containsKey(id)) {
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
