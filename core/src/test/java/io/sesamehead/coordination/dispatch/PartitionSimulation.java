package io.sesamehead.coordination.dispatch;

import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.state.DaemonId;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Daemons that dispatch calls in virtual time while some of them have lost their links to all upstreams, each with its own
 * view. They report to all others, or through one relay that sums up their reports.
 */
final class PartitionSimulation {
    private static final FailureDomain DOMAIN = new FailureDomain("a");
    private static final ServiceName SERVICE = new ServiceName("desk");
    private static final int SLOTS = 18;
    private static final int PEER_SLOTS = 24;
    private static final long REPORT_MILLIS = 160;
    private static final long RUN_MILLIS = 100;
    private static final long CONNECT_TIMEOUT_MILLIS = 800;
    private static final long PROBE_MILLIS = 500;
    private static final long REFUSAL_BACKOFF_MILLIS = 300;
    private static final int MAX_TRIES = 3;
    private static final long CUT_FROM_MILLIS = 3_000;
    private static final long CUT_UNTIL_MILLIS = 12_000;
    private static final long END_MILLIS = 17_000;
    /** Time from which the callers of a partitioned daemon must be served, in milliseconds. */
    private static final long GRACE_MILLIS = 3_000;
    /** Time after which calls go straight to the upstreams again, in milliseconds. */
    private static final long RETURN_MILLIS = 2_000;

    private static final String ALL = "all";

    /** Calls served and not served. */
    static final class Count {
        int served;
        int failed;

        double share() {
            return served / (double) Math.max(1, served + failed);
        }
    }

    private static final class Daemon {
        private final String name;
        private final boolean partitioned;
        private final TargetTable table = new TargetTable();
        private final BusyUpstreams busy = new BusyUpstreams();
        private final Dispatcher dispatcher;
        private final PeerSelector selector;

        private Daemon(String name, boolean partitioned, SplittableRandom random) {
            this.name = name;
            this.partitioned = partitioned;
            RateLimitShares rates = new RateLimitShares(new StatedRateLimits(), random);
            dispatcher = new Dispatcher(
                    DOMAIN, table, new UpstreamCapacity(busy, rates), new ServiceTimeEstimator(), random);
            selector = new PeerSelector(table, dispatcher);
        }
    }

    private record Event(long atMillis, long order, Runnable action) {}

    final Count partitioned = new Count();
    final Count others = new Count();
    /** Calls passed on after the links have been back for a while. */
    int passedOnAfterReturn;

    private final boolean passOn;
    private final SplittableRandom random;
    private final List<Daemon> daemons = new ArrayList<>();
    private final List<PeerSelector.Peer> peers = new ArrayList<>();
    private final List<Target> targets = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final int callsPerSecond;
    private long now;
    private long order;

    /**
     * Creates a run.
     *
     * @param count number of daemons
     * @param cutShare share of them that loses its links
     * @param passOn whether calls are passed on
     * @param seed seed of all draws
     */
    PartitionSimulation(int count, double cutShare, boolean passOn, long seed) {
        this.passOn = passOn;
        this.random = new SplittableRandom(seed);
        this.callsPerSecond = 4 * count;
        for (int i = 0; i < count; i++) {
            String name = "d" + i;
            // The first daemon is the relay, which keeps its links.
            daemons.add(new Daemon(name, i > 0 && i <= cutShare * count, random.split()));
            peers.add(new PeerSelector.Peer(name, target(TargetKey.ofPeer(new DaemonId(name)), PEER_SLOTS)));
        }
        for (int i = 0; i < Math.max(6, count / 4); i++) {
            targets.add(target(TargetKey.of(new InstanceId("u" + i), 1), SLOTS));
        }
    }

    private static Target target(TargetKey key, int slots) {
        UpstreamEntry entry = new UpstreamEntry(
                new InstanceId(key.name()),
                1,
                0,
                SERVICE,
                new Endpoint("127.0.0.1", 1),
                DOMAIN,
                slots,
                false,
                "",
                List.of(),
                List.of(),
                Optional.empty());
        return new Target(key, entry, slots, 1, Optional.empty());
    }

    PartitionSimulation run() {
        at(0, this::call);
        for (Daemon daemon : daemons) {
            at(random.nextLong(REPORT_MILLIS), () -> report(daemon));
            at(random.nextLong(PROBE_MILLIS), () -> probe(daemon));
        }
        while (!events.isEmpty() && events.peek().atMillis() <= END_MILLIS) {
            Event event = events.poll();
            now = event.atMillis();
            event.action().run();
        }
        return this;
    }

    private void at(long millis, Runnable action) {
        order++;
        events.add(new Event(millis, order, action));
    }

    private boolean cut(Daemon daemon) {
        return daemon.partitioned && now >= CUT_FROM_MILLIS && now < CUT_UNTIL_MILLIS;
    }

    private boolean mesh() {
        return daemons.size() <= 25;
    }

    private void call() {
        at(now + Math.max(1, 1_000 / callsPerSecond), this::call);
        Daemon daemon = daemons.get(random.nextInt(daemons.size()));
        tryCall(daemon, new ArrayList<>(), now);
    }

    private void tryCall(Daemon daemon, List<TargetKey> tried, long arrivedAtMillis) {
        DispatchRequest request = new DispatchRequest(0, 400, 3_000, 0, Optional.empty());
        List<Target> untried =
                targets.stream().filter(target -> !tried.contains(target.key())).toList();
        if (tried.size() < MAX_TRIES
                && daemon.dispatcher.decide(request, untried, now) instanceof DispatchDecision.Send send) {
            sendDirectly(daemon, send.target(), tried, arrivedAtMillis);
            return;
        }
        List<PeerSelector.Peer> untriedPeers = peers.stream()
                .filter(peer -> !peer.sender().equals(daemon.name)
                        && !tried.contains(peer.target().key()))
                .toList();
        Optional<Target> peer = passOn && tried.size() < MAX_TRIES
                ? daemon.selector.select(targets, untriedPeers, now)
                : Optional.empty();
        if (peer.isEmpty()) {
            end(daemon, false, arrivedAtMillis);
            return;
        }
        passOn(daemon, peer.get(), tried, arrivedAtMillis);
    }

    private void sendDirectly(Daemon daemon, Target target, List<TargetKey> tried, long arrivedAtMillis) {
        daemon.dispatcher.recordSent(target, now);
        tried.add(target.key());
        if (cut(daemon)) {
            at(now + CONNECT_TIMEOUT_MILLIS, () -> {
                daemon.table.recordEnded(target.key());
                daemon.table.recordUnreachable(target.key(), now);
                tryCall(daemon, tried, arrivedAtMillis);
            });
        } else {
            at(now + RUN_MILLIS, () -> {
                daemon.table.recordProgress(target.key(), now);
                daemon.table.recordEnded(target.key());
                end(daemon, true, arrivedAtMillis);
            });
        }
    }

    /** A peer without links refuses at once, because a call is passed on once only. */
    private void passOn(Daemon daemon, Target peerTarget, List<TargetKey> tried, long arrivedAtMillis) {
        if (now >= CUT_UNTIL_MILLIS + RETURN_MILLIS) {
            passedOnAfterReturn++;
        }
        tried.add(peerTarget.key());
        Daemon peer = daemons.stream()
                .filter(other -> TargetKey.ofPeer(new DaemonId(other.name)).equals(peerTarget.key()))
                .findFirst()
                .orElseThrow();
        DispatchRequest request = new DispatchRequest(0, 400, 3_000, 0, Optional.empty());
        if (!cut(peer) && peer.dispatcher.decide(request, targets, now) instanceof DispatchDecision.Send send) {
            daemon.table.recordSent(peerTarget.key(), now);
            peer.dispatcher.recordSent(send.target(), now);
            at(now + RUN_MILLIS, () -> {
                peer.table.recordProgress(send.target().key(), now);
                peer.table.recordEnded(send.target().key());
                daemon.table.recordProgress(peerTarget.key(), now);
                daemon.table.recordEnded(peerTarget.key());
                end(daemon, true, arrivedAtMillis);
            });
        } else {
            daemon.busy.recordBusy(peerTarget.upstream().id(), REFUSAL_BACKOFF_MILLIS, now);
            tryCall(daemon, tried, arrivedAtMillis);
        }
    }

    private void end(Daemon daemon, boolean served, long arrivedAtMillis) {
        boolean counted = arrivedAtMillis >= CUT_FROM_MILLIS + GRACE_MILLIS && arrivedAtMillis < CUT_UNTIL_MILLIS;
        if (!counted) {
            return;
        }
        Count count = daemon.partitioned ? partitioned : others;
        if (served) {
            count.served++;
        } else {
            count.failed++;
        }
    }

    private void probe(Daemon daemon) {
        at(now + PROBE_MILLIS, () -> probe(daemon));
        if (!cut(daemon)) {
            targets.stream()
                    .map(Target::key)
                    .filter(key -> daemon.table.isPathLost(key, now))
                    .forEach(daemon.table::recordReached);
        }
    }

    private void report(Daemon daemon) {
        at(now + REPORT_MILLIS, () -> report(daemon));
        daemon.table.findStalled(now);
        List<TargetReport> rows = daemon.table.localReports(now);
        Daemon relay = daemons.get(0);
        if (mesh()) {
            daemons.stream().filter(other -> other != daemon).forEach(other -> deliver(daemon.name, 1, rows, other));
        } else if (daemon != relay) {
            deliver(daemon.name, 1, rows, relay);
        } else {
            List<TargetReport> sums = relay.table.aggregate(sender -> true, now);
            daemons.stream()
                    .filter(other -> other != relay)
                    .forEach(other -> deliver(ALL, daemons.size(), sums, other));
        }
    }

    private void deliver(String sender, int count, List<TargetReport> rows, Daemon to) {
        at(now + 1 + random.nextLong(20), () -> to.table.replaceReport(sender, count, rows, now));
    }
}
