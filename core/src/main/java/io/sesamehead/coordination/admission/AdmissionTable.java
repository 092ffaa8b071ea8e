package io.sesamehead.coordination.admission;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.admission.AdmissionDecision.Refusal;
import io.sesamehead.coordination.admission.AdmissionDecision.Refuse;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.ReleaseNote;
import io.sesamehead.state.RequestId;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Running and waiting calls of a daemon and the use of its client accounts. Place 5 in the lock order: no other table is
 * locked while its lock is held.
 */
final class AdmissionTable {
    /** Use below which an account without calls is forgotten, in tokens. */
    private static final double FORGOTTEN_USE = 1;

    private final AdmissionLimits limits;
    private final DrainEstimator drain;
    private final Map<ClientAccount, AccountQueue> accounts = new HashMap<>();
    private final Map<RequestId, Running> running = new HashMap<>();
    private final Map<RequestId, AdmissionCall> waiting = new HashMap<>();
    private final TreeSet<AdmissionCall> byDeadline = new TreeSet<>(AdmissionTable::compareDeadlines);
    private final Map<RequestId, Refusal> lapsed = new LinkedHashMap<>();
    private ImmutableMap<ClientAccount, Integer> shares = ImmutableMap.of();
    private boolean closed;

    AdmissionTable(AdmissionLimits limits) {
        this.limits = limits;
        this.drain = new DrainEstimator(limits.concurrentCalls());
    }

    synchronized void applyShares(ImmutableMap<ClientAccount, Integer> newShares) {
        shares = newShares;
    }

    synchronized AdmissionDecision offer(AdmissionCall call, long nowMillis) {
        if (isOpen(call.request())) {
            return new Refuse(ErrorKind.BAD_HEADER, 0);
        }
        if (closed) {
            return refuse(ErrorKind.SHUTTING_DOWN, call);
        }
        if (call.deadlineMillis() <= nowMillis) {
            return refuse(ErrorKind.DEADLINE_BEFORE_RUN, call);
        }
        AccountQueue account = accounts.computeIfAbsent(call.account(), ignored -> new AccountQueue(nowMillis));
        if (waiting.isEmpty() && running.size() < limits.concurrentCalls()) {
            run(call, account, nowMillis);
            return new AdmissionDecision.Admit();
        }
        return enqueue(call, account, nowMillis);
    }

    synchronized Optional<AdmissionCall> next(long nowMillis) {
        lapse(nowMillis);
        if (running.size() >= limits.concurrentCalls()) {
            return Optional.empty();
        }
        Optional<AdmissionCall> chosen = choose(nowMillis);
        chosen.ifPresent(call -> {
            dequeue(call);
            run(call, accounts.get(call.account()), nowMillis);
        });
        return chosen;
    }

    /** The next call of the least served account; calls that can no longer end in time lapse on the way. */
    private Optional<AdmissionCall> choose(long nowMillis) {
        Optional<AdmissionCall> chosen = leastServed(nowMillis);
        while (chosen.isPresent() && cannotEndInTime(chosen.get(), nowMillis)) {
            lapse(chosen.get());
            chosen = leastServed(nowMillis);
        }
        return chosen;
    }

    private Optional<AdmissionCall> leastServed(long nowMillis) {
        return accounts.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 0)
                .min(Comparator.<Map.Entry<ClientAccount, AccountQueue>>comparingDouble(
                                entry -> weightedUse(entry.getKey(), entry.getValue(), nowMillis))
                        .thenComparing(Map.Entry::getKey))
                .flatMap(entry -> entry.getValue().nextToRun());
    }

    /** A call that would be cut off by its deadline wastes the slot; its caller is better told at once. */
    private boolean cannotEndInTime(AdmissionCall call, long nowMillis) {
        return nowMillis + drain.runMillis(call.tokenCost()) >= call.deadlineMillis();
    }

    synchronized ImmutableList<Refusal> expire(long nowMillis) {
        lapse(nowMillis);
        waiting.values().stream()
                .filter(call -> cannotEndInTime(call, nowMillis))
                .toList()
                .forEach(this::lapse);
        ImmutableList<Refusal> refusals = ImmutableList.copyOf(lapsed.values());
        lapsed.clear();
        accounts.values().removeIf(account -> account.size() == 0 && account.usage(nowMillis) < FORGOTTEN_USE);
        return refusals;
    }

    synchronized boolean release(RequestId request, long nowMillis) {
        Running ended = running.remove(request);
        if (ended != null) {
            drain.recordCompletion(nowMillis - ended.sinceMillis(), ended.tokenCost());
            return true;
        }
        AdmissionCall call = waiting.get(request);
        if (call != null) {
            dequeue(call);
            return true;
        }
        return lapsed.remove(request) != null;
    }

    synchronized void close() {
        closed = true;
    }

    synchronized long retryAfterMillis(RequestId request) {
        return drain.retryAfterMillis(request, waiting.size());
    }

    synchronized int running() {
        return running.size();
    }

    synchronized int waiting() {
        return waiting.size();
    }

    private static int compareDeadlines(AdmissionCall one, AdmissionCall other) {
        int order = Long.compare(one.deadlineMillis(), other.deadlineMillis());
        return order != 0 ? order : one.request().compareTo(other.request());
    }

    private boolean isOpen(RequestId request) {
        return running.containsKey(request) || waiting.containsKey(request) || lapsed.containsKey(request);
    }

    private AdmissionDecision enqueue(AdmissionCall call, AccountQueue account, long nowMillis) {
        if (account.size() == 0) {
            raiseToOthers(call.account(), account, nowMillis);
        }
        long waitMillis = drain.waitMillis(callsAhead(call, account, nowMillis) + 1);
        if (cannotEndInTime(call, nowMillis + waitMillis)) {
            return refuse(ErrorKind.DEADLINE_BEFORE_RUN, call);
        }
        Optional<Refusal> displaced = Optional.empty();
        if (waiting.size() >= limits.queueLength()) {
            Optional<AdmissionCall> loser = displacedBy(call, account);
            if (loser.isEmpty()) {
                return refuse(ErrorKind.OVERLOADED, call);
            }
            dequeue(loser.get());
            displaced = Optional.of(new Refusal(loser.get().request(), refuse(ErrorKind.OVERLOADED, loser.get())));
        }
        waiting.put(call.request(), call);
        byDeadline.add(call);
        account.add(call);
        return new AdmissionDecision.Queue(waitMillis, displaced);
    }

    /**
     * An account that starts to wait begins level with the least served waiting account. Otherwise its idle time would
     * be credit with which it could hold all slots.
     */
    private void raiseToOthers(ClientAccount name, AccountQueue account, long nowMillis) {
        accounts.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 0)
                .mapToDouble(entry -> weightedUse(entry.getKey(), entry.getValue(), nowMillis))
                .min()
                .ifPresent(least -> account.raiseUsage(least * share(name), nowMillis));
    }

    /** Estimates how many waiting calls run before a new one if no further calls arrive. */
    private long callsAhead(AdmissionCall call, AccountQueue account, long nowMillis) {
        double start = (account.usage(nowMillis) + account.costAhead(call.priority())) / share(call.account());
        long ahead = account.callsAhead(call.priority());
        for (Map.Entry<ClientAccount, AccountQueue> entry : accounts.entrySet()) {
            AccountQueue other = entry.getValue();
            if (other == account || other.size() == 0) {
                continue;
            }
            double meanCost = (double) other.costAhead(AdmissionCall.LOWEST_PRIORITY) / other.size();
            double before = (start * share(entry.getKey()) - other.usage(nowMillis)) / meanCost;
            ahead += Math.clamp((long) Math.ceil(before), 0, other.size());
        }
        return ahead;
    }

    /**
     * Finds the waiting call that a new one displaces from a full queue: a call of lower priority of the same account, or
     * a call of the account that holds most places for its share, if that leaves it no worse off than the new call's.
     */
    private Optional<AdmissionCall> displacedBy(AdmissionCall call, AccountQueue account) {
        Optional<AdmissionCall> own = account.firstToDisplace().filter(other -> other.priority() < call.priority());
        if (own.isPresent()) {
            return own;
        }
        double places = (double) (account.size() + 1) / share(call.account());
        return accounts.entrySet().stream()
                .filter(entry -> entry.getValue() != account)
                .filter(entry -> (double) (entry.getValue().size() - 1) / share(entry.getKey()) >= places)
                .max(Comparator.<Map.Entry<ClientAccount, AccountQueue>>comparingDouble(
                                entry -> (double) entry.getValue().size() / share(entry.getKey()))
                        .thenComparing(Map.Entry::getKey))
                .flatMap(entry -> entry.getValue().firstToDisplace());
    }

    private void run(AdmissionCall call, AccountQueue account, long nowMillis) {
        running.put(call.request(), new Running(nowMillis, call.tokenCost()));
        account.charge(call.tokenCost(), nowMillis);
    }

    private void dequeue(AdmissionCall call) {
        waiting.remove(call.request());
        byDeadline.remove(call);
        accounts.get(call.account()).remove(call);
    }

    private void lapse(long nowMillis) {
        while (!byDeadline.isEmpty() && byDeadline.first().deadlineMillis() <= nowMillis) {
            lapse(byDeadline.first());
        }
    }

    private void lapse(AdmissionCall call) {
        dequeue(call);
        lapsed.put(call.request(), new Refusal(call.request(), refuse(ErrorKind.DEADLINE_BEFORE_RUN, call)));
    }

    private Refuse refuse(ErrorKind kind, AdmissionCall call) {
        return new Refuse(kind, retryAfterMillis(call.request()));
    }

    private double weightedUse(ClientAccount name, AccountQueue account, long nowMillis) {
        return account.usage(nowMillis) / share(name);
    }

    private int share(ClientAccount name) {
        return shares.getOrDefault(name, ReleaseNote.DEFAULT_SHARE);
    }

    private record Running(long sinceMillis, long tokenCost) {}
}
