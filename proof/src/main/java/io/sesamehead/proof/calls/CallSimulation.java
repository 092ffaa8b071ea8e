package io.sesamehead.proof.calls;

import io.sesamehead.coordination.order.KeyedCallSettings;
import io.sesamehead.proof.EventQueue;
import io.sesamehead.proof.FakeNetwork;
import io.sesamehead.proof.FakeStore;
import io.sesamehead.proof.FaultKind;
import io.sesamehead.proof.Invariant;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.proof.RunRecord;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Everything of one run: three failure domains with two daemons each, upstreams, callers, object API and faults. */
final class CallSimulation {
    /** Plain services: one that asks by key, one that does neither, one that refuses repeats. */
    static final int PLAIN_SERVICES = 3;

    private static final List<String> DOMAINS = List.of("cebu", "bohol", "leyte");
    private static final int DAEMONS_PER_DOMAIN = 2;

    /** Late enough for the longest freeze, the repeats that follow it and the deadlines of those. */
    private static final long END_MILLIS = 20_000;

    private static final double KEYED_CHANCE = 0.3;
    private static final double KEYED_CHANCE_AT_MOST_ONCE = 0.7;
    private static final long RESTART_DELAY_MILLIS = 300;

    /** One run in this many has no faults. */
    private static final int FAULT_FREE_ONE_IN = 8;

    private final EventQueue queue = new EventQueue();
    private final RandomGenerator random;
    private final RunRecord record;
    private final Set<Mechanism> disabled;
    private final Invariant invariant;
    private final boolean faultFree;
    private final FakeNetwork network;
    private final FakeStore store;
    private final UpstreamFaults upstreamFaults;
    private final FaultInjector faultInjector;
    private final InvariantChecker checker;
    private final FakeService modelService = new FakeService("assistant", true, new KeyedCallSettings(false, false));
    private final List<FakeService> plainServices = List.of(
            new FakeService("orders", false, new KeyedCallSettings(true, false)),
            new FakeService("presses", false, new KeyedCallSettings(false, false)),
            new FakeService("stock", false, new KeyedCallSettings(false, true)));
    private final List<SimulatedDaemon> daemons = new ArrayList<>();
    private final List<Upstream> upstreams = new ArrayList<>();

    CallSimulation(long seed, Invariant invariant, Set<Mechanism> disabled) {
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.record = new RunRecord(seed);
        this.invariant = invariant;
        this.disabled = disabled;
        this.faultFree = Math.floorMod(seed, FAULT_FREE_ONE_IN) == 0;
        this.network = new FakeNetwork(queue, random, record);
        this.store = new FakeStore(queue, random, record);
        this.upstreamFaults = new UpstreamFaults(random);
        this.faultInjector = new FaultInjector(this, faultFree);
        this.checker = new InvariantChecker(this, record, invariant);
    }

    /** Runs to the end and returns what was seen. */
    RunRecord run() {
        for (String domain : DOMAINS) {
            upstreams.add(new Upstream(this, "engine-" + domain, domain, modelService));
            for (FakeService service : plainServices) {
                upstreams.add(new Upstream(this, service.name() + "-" + domain, domain, service));
            }
            for (int i = 0; i < DAEMONS_PER_DOMAIN; i++) {
                daemons.add(new SimulatedDaemon(this, "daemon-" + domain + i, domain, TrafficGenerator.clockRate(this, faultFree)));
            }
        }
        new TrafficGenerator(this, invariant == Invariant.AT_MOST_ONCE ? KEYED_CHANCE_AT_MOST_ONCE : KEYED_CHANCE).start();
        faultInjector.start();
        queue.runUntil(END_MILLIS);
        checker.checkRun(faultFree);
        return record;
    }

    boolean enabled(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }

    /** Faults of which the run has more than of the others, because its invariant is about them. */
    List<FaultKind> additionalFaults() {
        return switch (invariant) {
            case OWN_ANSWER -> List.of(FaultKind.TORN_STREAM, FaultKind.DELAY);
            case NOT_RUN -> List.of(FaultKind.KILL, FaultKind.KILL, FaultKind.FREEZE, FaultKind.FREEZE);
            case AT_MOST_ONCE -> List.of(FaultKind.KILL, FaultKind.STORE_ANSWER_LOST);
            case GRACEFUL_STOP -> List.of(FaultKind.STOP_SIGNAL, FaultKind.STOP_SIGNAL);
            default -> throw new IllegalArgumentException("not an invariant of calls: " + invariant);
        };
    }

    void restart(SimulatedDaemon daemon) {
        daemon.process().kill();
        checker.daemonKilled(daemon);
        queue.after(RESTART_DELAY_MILLIS, daemon::boot);
    }

    EventQueue queue() {
        return queue;
    }

    RandomGenerator random() {
        return random;
    }

    RunRecord record() {
        return record;
    }

    FakeNetwork network() {
        return network;
    }

    FakeStore store() {
        return store;
    }

    UpstreamFaults upstreamFaults() {
        return upstreamFaults;
    }

    FaultInjector faultInjector() {
        return faultInjector;
    }

    InvariantChecker checker() {
        return checker;
    }

    List<SimulatedDaemon> daemons() {
        return daemons;
    }

    List<Upstream> upstreams() {
        return upstreams;
    }

    List<Upstream> upstreams(FakeService service) {
        return upstreams.stream()
                .filter(upstream -> upstream.service() == service)
                .toList();
    }

    Upstream engine(String domain) {
        return upstreams.stream()
                .filter(upstream ->
                        upstream.service() == modelService && upstream.domain().equals(domain))
                .findFirst()
                .orElseThrow();
    }

    FakeService modelService() {
        return modelService;
    }

    FakeService plainService(int index) {
        return plainServices.get(index);
    }
}
