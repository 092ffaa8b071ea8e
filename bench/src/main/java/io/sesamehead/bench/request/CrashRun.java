package io.sesamehead.bench.request;

import com.google.common.collect.ImmutableSet;
import io.sesamehead.bench.VirtualTime;
import io.sesamehead.coordination.request.AttemptOutcome;
import io.sesamehead.coordination.request.Fingerprint;
import io.sesamehead.coordination.request.NextStep;
import io.sesamehead.coordination.request.RequestLifecycle;
import io.sesamehead.coordination.request.RetryBudget;
import io.sesamehead.coordination.request.SuspectDecision;
import io.sesamehead.coordination.request.SuspectShare;
import io.sesamehead.coordination.request.SuspectTracker;
import io.sesamehead.coordination.routing.RouteRequest;
import io.sesamehead.coordination.routing.Router;
import io.sesamehead.coordination.routing.StragglerDetector;
import io.sesamehead.coordination.routing.UpstreamId;
import io.sesamehead.state.AttemptId;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.ServiceName;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/** Daemons, groups, innocent callers and one caller that repeats a request which crashes its group. */
final class CrashRun {
    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final int DAEMONS = 4;
    private static final int GROUPS = 12;
    private static final int REPEATS = 20;
    private static final long RUN_MILLIS = 180_000;
    private static final long BAD_FROM_MILLIS = 10_000;
    private static final long CRASH_MILLIS = 500;
    private static final long ANSWER_MILLIS = 2_000;
    private static final long INNOCENT_INTERVAL_MILLIS = 25;
    private static final long NOTICE_MILLIS = 5;
    private static final long RELOAD_MILLIS = 60_000;
    private static final long REPEAT_MILLIS = 1_000;
    private static final long WAIT_MILLIS = 100;
    private static final Fingerprint BAD = new Fingerprint("bad");

    private final VirtualTime time = new VirtualTime();
    private final boolean useSuspects;
    private final List<Daemon> daemons;
    private final Set<UpstreamId> serving = new LinkedHashSet<>();
    private final Map<UpstreamId, Set<Attempt>> running = new TreeMap<>();
    private int groupsLost;
    private int innocents;
    private int whole;
    private int badSent;

    /**
     * Figures of one run.
     *
     * @param groupsLost crashes of groups
     * @param innocentsNotWhole innocent calls that ended without their whole answer
     */
    record Figures(int groupsLost, int innocentsNotWhole) {}

    private record Daemon(SuspectTracker suspects, SuspectShare share, Router router) {}

    /**
     * A call at a daemon.
     *
     * @param begun attempts so far; the next one is asked for before it counts, as {@code CompletionRunner} does
     */
    private record Call(
            Daemon daemon, RequestId id, RequestLifecycle run, Fingerprint fingerprint, AtomicInteger begun) {
        AttemptId nextAttempt() {
            return new AttemptId(id, begun.get() + 1);
        }

        AttemptId begin() {
            begun.incrementAndGet();
            return run.beginAttempt().orElseThrow();
        }
    }

    private record Attempt(Call call, AttemptId id, UpstreamId upstream) {}

    private CrashRun(long seed, boolean useSuspects) {
        this.useSuspects = useSuspects;
        for (int i = 0; i < GROUPS; i++) {
            UpstreamId group = new UpstreamId("assistant-" + i);
            serving.add(group);
            running.put(group, new LinkedHashSet<>());
        }
        ImmutableSet<DaemonId> ids =
                IntStream.range(0, DAEMONS).mapToObj(CrashRun::daemon).collect(ImmutableSet.toImmutableSet());
        daemons = IntStream.range(0, DAEMONS)
                .mapToObj(i -> new Daemon(
                        new SuspectTracker(SuspectTracker.DEFAULT_QUARANTINE_MILLIS),
                        SuspectShare.of(daemon(i), ids, ImmutableSet.copyOf(serving)),
                        new Router(new StragglerDetector(), new Random(seed * DAEMONS + i))))
                .toList();
    }

    static Figures measure(long seed, boolean useSuspects) {
        CrashRun run = new CrashRun(seed, useSuspects);
        run.time.every(INNOCENT_INTERVAL_MILLIS, run::sendInnocent);
        run.time.after(BAD_FROM_MILLIS, run::sendBad);
        run.time.runUntil(RUN_MILLIS);
        int open = run.running.values().stream().mapToInt(Set::size).sum();
        return new Figures(run.groupsLost, run.innocents - run.whole - open);
    }

    private static DaemonId daemon(int number) {
        return new DaemonId("daemon-" + number);
    }

    private void sendInnocent() {
        innocents++;
        send(daemons.get(innocents % DAEMONS), new Fingerprint("innocent-" + innocents));
    }

    private void sendBad() {
        badSent++;
        send(daemons.get(badSent % DAEMONS), BAD);
    }

    private void send(Daemon daemon, Fingerprint fingerprint) {
        RequestId id = new RequestId(fingerprint.value() + "-" + badSent);
        RequestLifecycle run = new RequestLifecycle(id, true, time.nowMillis() + 30_000);
        attempt(new Call(daemon, id, run, fingerprint, new AtomicInteger()), Set.of());
    }

    private void attempt(Call call, Set<UpstreamId> avoided) {
        ImmutableSet<UpstreamId> candidates =
                serving.stream().filter(group -> !avoided.contains(group)).collect(ImmutableSet.toImmutableSet());
        if (candidates.isEmpty()) {
            time.after(WAIT_MILLIS, () -> attempt(call, Set.of()));
            return;
        }
        RouteRequest request = new RouteRequest(SERVICE, candidates, OptionalLong.empty());
        UpstreamId group =
                call.daemon().router().route(request, time.nowMillis()).orElseThrow();
        AttemptId id = call.nextAttempt();
        SuspectDecision decision = useSuspects
                ? call.daemon()
                        .suspects()
                        .tryBegin(id, call.fingerprint(), group, call.daemon().share(), time.nowMillis())
                : new SuspectDecision.Run();
        if (decision instanceof SuspectDecision.Run) {
            start(new Attempt(call, call.begin(), group));
            return;
        }
        call.daemon().router().finish(group, time.nowMillis());
        if (decision instanceof SuspectDecision.Quarantined) {
            ended(call);
            return;
        }
        if (decision instanceof SuspectDecision.ChooseAnother) {
            Set<UpstreamId> more = new HashSet<>(avoided);
            more.add(group);
            attempt(call, more);
        } else {
            time.after(WAIT_MILLIS, () -> attempt(call, Set.of()));
        }
    }

    private void start(Attempt attempt) {
        attempt.call().run().markSending(attempt.id());
        running.get(attempt.upstream()).add(attempt);
        boolean bad = attempt.call().fingerprint().equals(BAD);
        time.after(bad ? CRASH_MILLIS : ANSWER_MILLIS, () -> {
            if (!running.get(attempt.upstream()).contains(attempt)) {
                return;
            }
            if (bad) {
                crash(attempt.upstream());
            } else {
                complete(attempt);
            }
        });
    }

    private void complete(Attempt attempt) {
        running.get(attempt.upstream()).remove(attempt);
        Call call = attempt.call();
        call.daemon().router().finish(attempt.upstream(), time.nowMillis());
        call.daemon().suspects().recordCompleted(attempt.id());
        call.run().endAttempt(attempt.id(), new AttemptOutcome.Completed(), unlimited(), time.nowMillis());
        whole++;
    }

    /** Every daemon sees its own connections break and tells its peers. */
    private void crash(UpstreamId group) {
        groupsLost++;
        serving.remove(group);
        time.after(RELOAD_MILLIS, () -> serving.add(group));
        List<Attempt> lost = List.copyOf(running.get(group));
        running.get(group).clear();
        for (Daemon daemon : daemons) {
            Map<Fingerprint, Integer> counts = daemon.suspects().recordCrash(group, time.nowMillis());
            time.after(
                    NOTICE_MILLIS,
                    () -> daemons.forEach(peer -> counts.forEach((fingerprint, crashes) ->
                            peer.suspects().mergeCrashCount(fingerprint, crashes, time.nowMillis()))));
        }
        lost.forEach(this::lose);
    }

    private void lose(Attempt attempt) {
        Call call = attempt.call();
        call.daemon().router().finish(attempt.upstream(), time.nowMillis());
        NextStep next =
                call.run().endAttempt(attempt.id(), new AttemptOutcome.Lost("crashed"), unlimited(), time.nowMillis());
        if (next instanceof NextStep.Retry) {
            attempt(call, Set.of());
        } else {
            ended(call);
        }
    }

    private void ended(Call call) {
        if (call.fingerprint().equals(BAD) && badSent < REPEATS) {
            time.after(REPEAT_MILLIS, this::sendBad);
        }
    }

    private static RetryBudget unlimited() {
        return new RetryBudget(0, Double.MAX_VALUE, RetryBudget.DEFAULT_HALF_LIFE_MILLIS);
    }
}
