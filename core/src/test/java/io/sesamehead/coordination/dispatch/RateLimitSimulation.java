package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Daemons that dispatch calls to upstreams with a rate limit in virtual time, each with its own view. They report to all
 * others, or through one relay that sums up their reports.
 */
final class RateLimitSimulation {
    private static final ServiceName SERVICE = new ServiceName("pool");
    private static final FailureDomain DOMAIN = new FailureDomain("a");
    private static final int SLOTS = 18;
    private static final long MESH_INTERVAL_MILLIS = 150;
    private static final long RELAY_INTERVAL_MILLIS = 180;
    private static final long MAX_DELAY_MILLIS = 30;
    private static final long RUN_MILLIS = 300;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final long GRACE_MILLIS = 3_000;
    private static final String ALL = "all";

    /**
     * What happens in a run.
     *
     * @param daemons number of daemons
     * @param phantoms daemons in the list that do not exist
     * @param upstreams number of upstreams, all of which limit their rate
     * @param perSecond their limit
     * @param load calls per second as a multiple of the sum of the limits
     * @param busyShare share of the calls that arrives at the first tenth of the daemons
     * @param reportLoss probability that a report is lost
     * @param relayed whether the daemons report through a relay
     * @param disturbance what befalls some daemons
     */
    record Scenario(
            int daemons,
            int phantoms,
            int upstreams,
            double perSecond,
            double load,
            double busyShare,
            double reportLoss,
            boolean relayed,
            Disturbance disturbance) {}

    /** What befalls a third of the daemons from five to ten seconds. */
    enum Disturbance {
        NONE,
        /** Their reports and those to them are lost. */
        CUT,
        /** They stop, and start again without any knowledge. */
        RESTART,
        /** They are suspended, and wake with what they knew. */
        SUSPENSION
    }

    /**
     * What the upstreams got.
     *
     * @param mostInWindow largest number of requests to one upstream in any window
     * @param sentShare requests sent as a share of what the limits allow
     * @param leastServedShare share of its calls that the worst served of the busier daemons could send, relative to all
     */
    record Result(int mostInWindow, double sentShare, double leastServedShare) {}

    private static final class Daemon {
        private final int number;
        private TargetTable table;
        private StatedRateLimits limits;
        private RateLimitShares shares;
        private Dispatcher dispatcher;
        private RateLimitUsage lastReported = RateLimitUsage.NONE;
        private int calls;
        private int sent;

        private Daemon(int number, long seed, int listed) {
            this.number = number;
            start(seed, listed);
        }

        private void start(long seed, int listed) {
            SplittableRandom random = new SplittableRandom(seed);
            table = new TargetTable();
            limits = new StatedRateLimits();
            shares = new RateLimitShares(limits, random);
            shares.listedDaemons(listed);
            lastReported = RateLimitUsage.NONE;
            dispatcher = new Dispatcher(
                    DOMAIN,
                    table,
                    new UpstreamCapacity(new BusyUpstreams(), shares),
                    new ServiceTimeEstimator(),
                    random);
        }
    }

    private record Event(long atMillis, long order, Runnable action) {}

    private final Scenario scenario;
    private final SplittableRandom random;
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<Target> targets = new ArrayList<>();
    private final Map<Target, List<Long>> arrivals = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private long now;
    private long order;

    RateLimitSimulation(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < scenario.daemons(); i++) {
            daemons.add(new Daemon(i, random.nextLong(), scenario.daemons() + scenario.phantoms()));
        }
        for (int i = 0; i < scenario.upstreams(); i++) {
            UpstreamEntry entry = new UpstreamEntry(
                    new InstanceId("u-" + i),
                    1,
                    0,
                    SERVICE,
                    new Endpoint("127.0.0.1", 1 + i),
                    DOMAIN,
                    SLOTS,
                    false,
                    "",
                    List.of(),
                    List.of(),
                    Optional.empty());
            Target target = new Target(TargetKey.of(entry.id(), 1), entry, SLOTS, 1, Optional.empty());
            targets.add(target);
            arrivals.put(target, new ArrayList<>());
        }
    }

    Result run(long millis) {
        at(0, this::call);
        for (Daemon daemon : daemons) {
            at(random.nextLong(interval()), () -> report(daemon));
        }
        if (scenario.relayed()) {
            at(random.nextLong(interval()), this::relay);
        }
        if (scenario.disturbance() == Disturbance.RESTART) {
            at(10_000, this::restart);
        }
        while (!events.isEmpty() && events.peek().atMillis() <= millis) {
            Event event = events.poll();
            now = event.atMillis();
            event.action().run();
        }
        return result(millis);
    }

    private void at(long millis, Runnable action) {
        order++;
        events.add(new Event(millis, order, action));
    }

    private long interval() {
        return scenario.relayed() ? RELAY_INTERVAL_MILLIS : MESH_INTERVAL_MILLIS;
    }

    private boolean disturbed(Daemon daemon) {
        return scenario.disturbance() != Disturbance.NONE && daemon.number % 3 == 0 && now >= 5_000 && now < 10_000;
    }

    private boolean stopped(Daemon daemon) {
        return disturbed(daemon) && scenario.disturbance() != Disturbance.CUT;
    }

    private void restart() {
        for (Daemon daemon : daemons) {
            if (daemon.number % 3 == 0) {
                daemon.start(random.nextLong(), scenario.daemons() + scenario.phantoms());
            }
        }
    }

    private void call() {
        double perSecond = scenario.load() * scenario.perSecond() * scenario.upstreams();
        at(now + Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond)), this::call);
        int busy = Math.max(1, scenario.daemons() / 10);
        boolean atBusy = random.nextDouble() < scenario.busyShare();
        Daemon daemon = daemons.get(atBusy ? random.nextInt(busy) : random.nextInt(scenario.daemons()));
        if (stopped(daemon)) {
            return;
        }
        daemon.calls++;
        daemon.shares.recordArrival(SERVICE, now);
        DispatchRequest request = new DispatchRequest(0, 400, 3_000, 0, Optional.empty());
        if (daemon.dispatcher.decide(request, targets, now) instanceof DispatchDecision.Send send) {
            Target target = send.target();
            daemon.sent++;
            daemon.dispatcher.recordSent(target, now);
            arrivals.get(target).add(now);
            TargetTable table = daemon.table;
            at(now + RUN_MILLIS, () -> {
                table.recordProgress(target.key(), now);
                table.recordEnded(target.key());
                daemon.limits.record(
                        target.upstream().incarnation(), new StatedRateLimit.Limit(scenario.perSecond()), now);
            });
        }
    }

    private void report(Daemon daemon) {
        at(now + interval(), () -> report(daemon));
        daemon.shares.expire(now);
        if (stopped(daemon)) {
            return;
        }
        daemon.lastReported = daemon.shares.ownUsage(now);
        RateLimitUsage usage = daemon.lastReported;
        List<StatedRateLimits.Report> limits = daemon.limits.reports(now);
        if (scenario.relayed()) {
            deliver(daemon, daemons.get(0), usage, limits);
            return;
        }
        daemons.stream().filter(other -> other != daemon).forEach(other -> deliver(daemon, other, usage, limits));
    }

    /** The relay is the first daemon. It sends the sums to all others. */
    private void relay() {
        at(now + interval(), this::relay);
        Daemon relay = daemons.get(0);
        if (stopped(relay)) {
            return;
        }
        RateLimitUsage sums = relay.shares.aggregate(sender -> true, now);
        List<StatedRateLimits.Report> limits = relay.limits.reports(now);
        for (Daemon other : daemons.subList(1, daemons.size())) {
            if (!lost(relay, other)) {
                at(now + 1 + random.nextLong(MAX_DELAY_MILLIS), () -> {
                    merge(other, limits);
                    other.shares.replaceReport(ALL, sums.minus(other.lastReported), now);
                });
            }
        }
    }

    private boolean lost(Daemon from, Daemon to) {
        boolean cut = scenario.disturbance() == Disturbance.CUT && disturbed(from) != disturbed(to);
        return cut || stopped(to) || random.nextDouble() < scenario.reportLoss();
    }

    private void deliver(Daemon from, Daemon to, RateLimitUsage usage, List<StatedRateLimits.Report> limits) {
        if (from == to || lost(from, to)) {
            return;
        }
        at(now + 1 + random.nextLong(MAX_DELAY_MILLIS), () -> {
            merge(to, limits);
            to.shares.replaceReport("d" + from.number, usage, now);
        });
    }

    private void merge(Daemon daemon, List<StatedRateLimits.Report> limits) {
        limits.forEach(row -> daemon.limits.merge(row, now));
    }

    private Result result(long millis) {
        int most = 0;
        long sent = 0;
        for (Target target : targets) {
            List<Long> times = arrivals.get(target).stream()
                    .filter(time -> time >= GRACE_MILLIS)
                    .toList();
            sent += times.size();
            for (int first = 0, last = 0; last < times.size(); last++) {
                while (times.get(last) - times.get(first) > WINDOW_MILLIS) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
        }
        double allowed = scenario.perSecond() * scenario.upstreams() * (millis - GRACE_MILLIS) / MILLIS_PER_SECOND;
        double servedByAll = daemons.stream().mapToInt(daemon -> daemon.sent).sum()
                / (double) Math.max(
                        1, daemons.stream().mapToInt(daemon -> daemon.calls).sum());
        double least = daemons.stream()
                .filter(daemon -> daemon.calls >= 100)
                .mapToDouble(daemon -> daemon.sent / (double) daemon.calls / servedByAll)
                .min()
                .orElse(1);
        return new Result(most, sent / allowed, least);
    }
}
