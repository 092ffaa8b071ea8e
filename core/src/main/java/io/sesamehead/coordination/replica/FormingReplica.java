package io.sesamehead.coordination.replica;

import io.sesamehead.state.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Forms a group: sends the join orders, then opens the head once all members are ready. */
final class FormingReplica {
    /** Interval at which an order without a visible effect is resent, in milliseconds. */
    private static final long RESEND_MILLIS = 350;
    /** Maximum number of join orders to one member that were not accepted before the group is given up. */
    private static final int MAX_JOIN_ATTEMPTS = 4;
    /** Time that forming may take in addition to a load that shares the weight store with others, in milliseconds. */
    private static final long EXTRA_FORMING_MILLIS = 5_000;
    /** Maximum factor by which concurrent loads may slow each other down before the group is given up. */
    private static final int MAX_LOAD_SLOWDOWN = 3;

    /** State of the group after a step. */
    enum Progress {
        WAITING,
        SERVING,
        FAILED
    }

    private final ReplicaKey key;
    private final String model;
    private final List<InstanceId> members;
    private final Map<InstanceId, Long> startTimes;
    private final long deadlineMillis;
    private final Map<InstanceId, Long> joinSentAtMillis = new HashMap<>();
    private final Map<InstanceId, Integer> joinAttempts = new HashMap<>();
    private long openSentAtMillis = Long.MIN_VALUE;
    private boolean openSent;
    private final Set<InstanceId> refusing = new HashSet<>();

    FormingReplica(
            ReplicaKey key,
            String model,
            List<UpstreamEntry> members,
            long nowMillis,
            long loadMillis,
            boolean adopted) {
        this.key = key;
        this.model = model;
        this.members = members.stream().map(UpstreamEntry::id).toList();
        this.startTimes = new HashMap<>();
        members.forEach(member -> startTimes.put(member.id(), member.startedAtEpochMillis()));
        this.deadlineMillis = nowMillis + loadMillis * MAX_LOAD_SLOWDOWN + EXTRA_FORMING_MILLIS;
        // A previous controller may have opened the head of an adopted group.
        this.openSent = adopted;
    }

    ReplicaKey key() {
        return key;
    }

    String model() {
        return model;
    }

    List<InstanceId> members() {
        return members;
    }

    /**
     * Returns whether the head may have received an open order.
     *
     * @return true once an open order was sent, or may have been sent by a previous controller
     */
    boolean mayBeOpen() {
        return openSent;
    }

    void onResult(ReplicaAction action, OrderResult result) {
        if (action instanceof ReplicaAction.Join join) {
            switch (result) {
                // Only the member's entry shows that it has joined; an answer may belong to an earlier order. The entry
                // may be late while the store is slow, so a member that answers is not given up before the deadline.
                case ACCEPTED -> joinAttempts.remove(join.target());
                case REFUSED, NO_SUCH_UPSTREAM -> refusing.add(join.target());
                case CONFLICT -> {}
                case FENCED, UNKNOWN -> joinSentAtMillis.remove(join.target());
            }
        }
    }

    /**
     * Sends the orders that are due.
     *
     * @param entries the current registry entries
     * @param mayJoin whether an upstream that is not a member yet may join a group. It is tested before each join, since
     *     an earlier order that is executed late can put the upstream into another group in the meantime
     * @param nowMillis current monotonic time, in milliseconds
     * @param actions receives the orders
     */
    Progress advance(
            Map<InstanceId, UpstreamEntry> entries,
            Predicate<UpstreamEntry> mayJoin,
            long nowMillis,
            List<ReplicaAction> actions) {
        if (nowMillis > deadlineMillis) {
            return Progress.FAILED;
        }
        List<UpstreamEntry> joined = new ArrayList<>();
        for (InstanceId id : members) {
            UpstreamEntry entry = entries.get(id);
            if (entry == null || entry.leaving() || entry.startedAtEpochMillis() != startTimes.get(id)) {
                return Progress.FAILED;
            }
            if (isMember(entry)) {
                joined.add(entry);
            } else if (refusing.contains(id) || !mayJoin.test(entry) || !sendJoinIfDue(id, nowMillis, actions)) {
                return Progress.FAILED;
            }
        }
        Replica replica = new Replica(key, joined);
        if (replica.serving(members.size())) {
            return Progress.SERVING;
        }
        if (replica.complete(members.size())) {
            sendOpenIfDue(nowMillis, actions);
        }
        return anyBroken(joined) ? Progress.FAILED : Progress.WAITING;
    }

    private boolean isMember(UpstreamEntry entry) {
        return entry.membership().map(Membership::replica).filter(key::equals).isPresent();
    }

    private static boolean anyBroken(List<UpstreamEntry> joined) {
        return joined.stream()
                .anyMatch(entry -> entry.membership().orElseThrow().state() == MemberState.BROKEN);
    }

    private boolean sendJoinIfDue(InstanceId id, long nowMillis, List<ReplicaAction> actions) {
        Long sentAt = joinSentAtMillis.get(id);
        if (sentAt != null && nowMillis - sentAt < RESEND_MILLIS) {
            return true;
        }
        if (joinAttempts.merge(id, 1, Integer::sum) > MAX_JOIN_ATTEMPTS) {
            return false;
        }
        joinSentAtMillis.put(id, nowMillis);
        actions.add(new ReplicaAction.Join(id, key, model, members));
        return true;
    }

    private void sendOpenIfDue(long nowMillis, List<ReplicaAction> actions) {
        if (openSentAtMillis != Long.MIN_VALUE && nowMillis - openSentAtMillis < RESEND_MILLIS) {
            return;
        }
        openSent = true;
        openSentAtMillis = nowMillis;
        actions.add(new ReplicaAction.Open(members.get(0), key));
    }
}
