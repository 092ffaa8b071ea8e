package io.sesamehead.coordination.admission;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.sesamehead.coordination.admission.AdmissionDecision.Refusal;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.ErrorKind;
import io.sesamehead.state.RequestId;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Running and waiting calls of a daemon. Place 5 in the lock order. */
final class AdmissionTable {
    private final AdmissionLimits limits;
    private final Set<RequestId> running = new HashSet<>();

    AdmissionTable(AdmissionLimits limits) {
        this.limits = limits;
    }

    synchronized void applyShares(ImmutableMap<ClientAccount, Integer> newShares) {}

    synchronized AdmissionDecision offer(AdmissionCall call, long nowMillis) {
        if (running.size() < limits.concurrentCalls() && running.add(call.request())) {
            return new AdmissionDecision.Admit();
        }
        return new AdmissionDecision.Refuse(ErrorKind.OVERLOADED, retryAfterMillis(call.request()));
    }

    synchronized Optional<AdmissionCall> next(long nowMillis) {
        return Optional.empty();
    }

    synchronized ImmutableList<Refusal> expire(long nowMillis) {
        return ImmutableList.of();
    }

    synchronized boolean release(RequestId request, long nowMillis) {
        return running.remove(request);
    }

    synchronized void close() {}

    synchronized long retryAfterMillis(RequestId request) {
        return 1_000;
    }

    synchronized int running() {
        return running.size();
    }

    synchronized int waiting() {
        return 0;
    }
}
