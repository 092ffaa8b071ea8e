package io.sesamehead.bench.admission;

import io.sesamehead.bench.VirtualTime;
import io.sesamehead.coordination.admission.AdmissionCall;
import io.sesamehead.coordination.admission.AdmissionDecision;
import io.sesamehead.coordination.admission.AdmissionDecision.Refuse;
import io.sesamehead.coordination.admission.AdmissionLimits;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Calls of several client accounts in virtual time against one daemon's admission. */
final class AdmissionRun {
    static final AdmissionLimits LIMITS = new AdmissionLimits(40, 400);
    static final double MEAN_SERVICE_MILLIS = 1_000;
    private static final double LONGEST_SERVICE_MILLIS = 5_000;
    private static final double MILLIS_PER_TOKEN = 10;
    private static final long EXPIRE_INTERVAL_MILLIS = 100;

    private final VirtualTime time = new VirtualTime();
    private final CallQueue queue;
    private final SplittableRandom random;
    private final long deadlineMillis;
    private final int returns;
    private final Map<RequestId, Call> calls = new HashMap<>();
    private final Map<String, List<Long>> responses = new HashMap<>();
    private final List<Long> comeBacks = new ArrayList<>();
    private double usefulTokens;
    private long withoutComeBack;
    private long numbers;

    private record Call(AdmissionCall call, long arrivedMillis, long serviceMillis, int returnsLeft) {}

    /**
     * Creates a run.
     *
     * @param queue the admission
     * @param seed the seed
     * @param deadlineMillis deadline of each call, from its arrival
     * @param returns how often a refused call comes back
     */
    AdmissionRun(CallQueue queue, long seed, long deadlineMillis, int returns) {
        this.queue = queue;
        this.random = new SplittableRandom(seed);
        this.deadlineMillis = deadlineMillis;
        this.returns = returns;
        time.every(EXPIRE_INTERVAL_MILLIS, this::expire);
    }

    /** Calls per second that the slots can carry. */
    static double capacityPerSecond() {
        double truncatedMean = MEAN_SERVICE_MILLIS * (1 - Math.exp(-LONGEST_SERVICE_MILLIS / MEAN_SERVICE_MILLIS));
        return LIMITS.concurrentCalls() * 1_000 / truncatedMean;
    }

    /** Lets an account call at a mean rate until the run ends. */
    void arrivals(String account, double perSecond) {
        SplittableRandom own = random.split();
        time.after(gapMillis(own, perSecond), () -> arrive(account, perSecond, own));
    }

    void burst(int count) {
        for (int i = 0; i < count; i++) {
            offer("account-" + i % 10, serviceMillis(random), returns);
        }
    }

    void runUntil(long endMillis) {
        time.runUntil(endMillis);
    }

    /** Response times of an account's calls; a call that was refused counts with its whole deadline. */
    List<Long> responses(String account) {
        return responses.getOrDefault(account, List.of());
    }

    double usefulTokens() {
        return usefulTokens;
    }

    long withoutComeBack() {
        return withoutComeBack;
    }

    /** Times at which refused callers come back. */
    List<Long> comeBacks() {
        return comeBacks;
    }

    private void arrive(String account, double perSecond, SplittableRandom own) {
        offer(account, serviceMillis(own), returns);
        time.after(gapMillis(own, perSecond), () -> arrive(account, perSecond, own));
    }

    private void offer(String account, long serviceMillis, int returnsLeft) {
        long now = time.nowMillis();
        RequestId request = new RequestId("request-" + numbers++);
        long tokens = Math.max(1, Math.round(serviceMillis / MILLIS_PER_TOKEN));
        AdmissionCall admissionCall =
                new AdmissionCall(request, new ClientAccount(account), 5, tokens, now + deadlineMillis);
        Call call = new Call(admissionCall, now, serviceMillis, returnsLeft);
        calls.put(request, call);
        switch (queue.offer(admissionCall, now)) {
            case AdmissionDecision.Admit admit -> start(call);
            case AdmissionDecision.Queue queued ->
                queued.displaced().ifPresent(refusal -> refused(calls.get(refusal.request()), refusal.refuse()));
            case Refuse refuse -> refused(call, refuse);
        }
    }

    private void start(Call call) {
        time.after(call.serviceMillis(), () -> {
            queue.release(call.call(), time.nowMillis());
            calls.remove(call.call().request());
            long response = time.nowMillis() - call.arrivedMillis();
            record(call, Math.min(response, deadlineMillis));
            if (response <= deadlineMillis) {
                usefulTokens += call.call().tokenCost();
            }
            admitWaiting();
        });
    }

    private void admitWaiting() {
        queue.next(time.nowMillis()).ifPresent(next -> {
            start(calls.get(next.request()));
            admitWaiting();
        });
    }

    private void expire() {
        queue.expire(time.nowMillis()).forEach(refusal -> refused(calls.get(refusal.request()), refusal.refuse()));
    }

    private void refused(Call call, Refuse refuse) {
        calls.remove(call.call().request());
        record(call, deadlineMillis);
        if (refuse.retryAfterMillis() <= 0) {
            withoutComeBack++;
        }
        if (call.returnsLeft() > 0) {
            comeBacks.add(time.nowMillis() + refuse.retryAfterMillis());
            String account = call.call().account().value();
            time.after(refuse.retryAfterMillis(), () -> offer(account, call.serviceMillis(), call.returnsLeft() - 1));
        }
    }

    private void record(Call call, long responseMillis) {
        responses
                .computeIfAbsent(call.call().account().value(), ignored -> new ArrayList<>())
                .add(responseMillis);
    }

    private static long gapMillis(SplittableRandom random, double perSecond) {
        return Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond);
    }

    private static long serviceMillis(SplittableRandom random) {
        double drawn = -Math.log(1 - random.nextDouble()) * MEAN_SERVICE_MILLIS;
        return Math.max(1, Math.round(Math.min(drawn, LONGEST_SERVICE_MILLIS)));
    }
}
