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
 * Running and waiting calls of a daemon, and the token usage of its client accounts. Position 5 in the lock order: no
 * other table is locked while its lock is held.
 */
final class AdmissionTable {
    /** Usage below which an account without waiting calls is evicted, in tokens. */
    private static final double EVICTION_USAGE = 1;

    private final AdmissionLimits limits;
    private final DrainEstimator drainEstimator;
    private final Map<ClientAccount, AccountQueue> accounts = new HashMap<>();
    private final Map<RequestId, Running> running = new HashMap<>();
    private final Map<RequestId, AdmissionCall> waiting = new HashMap<>();
    private final TreeSet<AdmissionCall> byDeadline = new TreeSet<>(AdmissionTable::compareDeadlines);
    private final Map<RequestId, Refusal> expired = new LinkedHashMap<>();
    private ImmutableMap<ClientAccount, Integer> shares = ImmutableMap.of();
    private boolean closed;

    AdmissionTable(AdmissionLimits limits) {
        this.limits = limits;
        this.drainEstimator = new DrainEstimator(limits.concurrentCalls());
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
        expireOverdue(nowMillis);
        if (running.size() >= limits.concurrentCalls()) {
            return Optional.empty();
        }
        Optional<AdmissionCall> chosen = chooseNext(nowMillis);
        chosen.ifPresent(call -> {
            dequeue(call);
            run(call, accounts.get(call.account()), nowMillis);
        });
        return chosen;
    }

    /**
     * Returns the next call of the least served account, and expires calls that can no longer end before their
     * deadline.
     */
    private Optional<AdmissionCall> chooseNext(long nowMillis) {
        Optional<AdmissionCall> chosen = leastServed(nowMillis);
        while (chosen.isPresent() && cannotFinishInTime(chosen.get(), nowMillis)) {
            expireCall(chosen.get());
            chosen = leastServed(nowMillis);
        }
        return chosen;
    }

    private Optional<AdmissionCall> leastServed(long nowMillis) {
        return accounts.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 0)
                .min(Comparator.<Map.Entry<ClientAccount, AccountQueue>>comparingDouble(
                                entry -> weightedUsage(entry.getKey(), entry.getValue(), nowMillis))
                        .thenComparing(Map.Entry::getKey))
                .flatMap(entry -> entry.getValue().nextToRun());
    }

    /** A call that its deadline would cut off wastes a slot, so its caller is better refused immediately. */
    private boolean cannotFinishInTime(AdmissionCall call, long nowMillis) {
        return nowMillis + drainEstimator.runMillis(call.tokenCost()) >= call.deadlineMillis();
    }

    synchronized ImmutableList<Refusal> expire(long nowMillis) {
        expireOverdue(nowMillis);
        waiting.values().stream()
                .filter(call -> cannotFinishInTime(call, nowMillis))
                .toList()
                .forEach(this::expireCall);
        ImmutableList<Refusal> refusals = ImmutableList.copyOf(expired.values());
        expired.clear();
        accounts.values().removeIf(account -> account.size() == 0 && account.usage(nowMillis) < EVICTION_USAGE);
        return refusals;
    }

    synchronized boolean release(RequestId request, long nowMillis) {
        Running ended = running.remove(request);
        if (ended != null) {
            drainEstimator.recordCompletion(nowMillis - ended.sinceMillis(), ended.tokenCost());
            return true;
        }
        AdmissionCall call = waiting.get(request);
        if (call != null) {
            dequeue(call);
            return true;
        }
        return expired.remove(request) != null;
    }

    synchronized void close() {
        closed = true;
    }

    synchronized long retryAfterMillis(RequestId request) {
        return drainEstimator.retryAfterMillis(request, waiting.size());
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
        return running.containsKey(request) || waiting.containsKey(request) || expired.containsKey(request);
    }

    private AdmissionDecision enqueue(AdmissionCall call, AccountQueue account, long nowMillis) {
        if (account.size() == 0) {
            raiseToMinimumUsage(call.account(), account, nowMillis);
        }
        long waitMillis = drainEstimator.waitMillis(callsAhead(call, account, nowMillis) + 1);
        if (cannotFinishInTime(call, nowMillis + waitMillis)) {
            return refuse(ErrorKind.DEADLINE_BEFORE_RUN, call);
        }
        Optional<Refusal> displaced = Optional.empty();
        if (waiting.size() >= limits.queueLength()) {
            Optional<AdmissionCall> displacedCall = findDisplaced(call, account);
            if (displacedCall.isEmpty()) {
                return refuse(ErrorKind.OVERLOADED, call);
            }
            dequeue(displacedCall.get());
            displaced = Optional.of(
                    new Refusal(displacedCall.get().request(), refuse(ErrorKind.OVERLOADED, displacedCall.get())));
        }
        waiting.put(call.request(), call);
        byDeadline.add(call);
        account.add(call);
        return new AdmissionDecision.Queue(waitMillis, displaced);
    }

    /**
     * Raises the usage of an account that starts to wait to that of the least served waiting account. Otherwise the
     * account would gain credit from its idle time and could occupy all slots.
     */
    private void raiseToMinimumUsage(ClientAccount name, AccountQueue account, long nowMillis) {
        accounts.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 0)
                .mapToDouble(entry -> weightedUsage(entry.getKey(), entry.getValue(), nowMillis))
                .min()
                .ifPresent(minimum -> account.raiseUsage(minimum * share(name), nowMillis));
    }

    /** Estimates the number of waiting calls that run before a new one if no further calls arrive. */
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
     * Finds the waiting call that a new one displaces from a full queue: a call of lower priority of the same
     * account, or a call of the account with the most places relative to its share, if that account then has no fewer
     * places for its share than the account of the new call.
     */
    private Optional<AdmissionCall> findDisplaced(AdmissionCall call, AccountQueue account) {
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

    private void expireOverdue(long nowMillis) {
        while (!byDeadline.isEmpty() && byDeadline.first().deadlineMillis() <= nowMillis) {
            expireCall(byDeadline.first());
        }
    }

    private void expireCall(AdmissionCall call) {
        dequeue(call);
        expired.put(call.request(), new Refusal(call.request(), refuse(ErrorKind.DEADLINE_BEFORE_RUN, call)));
    }

    private Refuse refuse(ErrorKind kind, AdmissionCall call) {
        return new Refuse(kind, retryAfterMillis(call.request()));
    }

    private double weightedUsage(ClientAccount name, AccountQueue account, long nowMillis) {
        return account.usage(nowMillis) / share(name);
    }

    private int share(ClientAccount name) {
        return shares.getOrDefault(name, ReleaseNote.DEFAULT_SHARE);
    }

    private record Running(long sinceMillis, long tokenCost) {}
}
