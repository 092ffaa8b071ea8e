package io.sesamehead.coordination.replica;

import io.sesamehead.state.InstanceId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A group on its way to serving: joins are sent, then the head is opened once all members are ready. */
final class FormingReplica {
    /** Time after which an order without visible effect is sent again, in milliseconds. */
    private static final long RESEND_MILLIS = 350;
    /** Times that one member is asked to join before the group is given up. */
    private static final int MAX_JOIN_ATTEMPTS = 4;
    /** Time that a group may take beyond a load that shares the weight store with others, in milliseconds. */
    private static final long EXTRA_FORMING_MILLIS = 5_000;
    /** Loads that may slow one another down at most by this factor before a group is given up. */
    private static final int MAX_LOAD_SLOWDOWN = 3;

    /** What a group needs next. */
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
    private final Set<InstanceId> accepted = new HashSet<>();
    private long openSentAtMillis = Long.MIN_VALUE;
    private boolean openSent;
    private boolean refused;

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
        // A predecessor may have opened the head of an adopted group without this controller knowing.
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
     * Tells whether the head can have been told to serve.
     *
     * @return true once an open order was sent, or may have been sent by a predecessor
     */
    boolean mayBeOpen() {
        return openSent;
    }

    void onResult(ReplicaAction action, OrderResult result) {
        if (action instanceof ReplicaAction.Join join) {
            switch (result) {
                case ACCEPTED -> accepted.add(join.target());
                case REFUSED, NO_SUCH_UPSTREAM -> refused = true;
                case FENCED, UNKNOWN -> joinSentAtMillis.remove(join.target());
            }
        }
    }

    Progress advance(Map<InstanceId, UpstreamEntry> entries, long nowMillis, List<ReplicaAction> actions) {
        if (refused || nowMillis > deadlineMillis) {
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
            } else if (!sendJoinIfDue(id, nowMillis, actions)) {
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
