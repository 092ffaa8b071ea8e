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
final class World {
    /** Plain services: one that asks by key, one that does neither, one that refuses repeats. */
    static final int KEYED_SERVICES = 3;

    private static final List<String> DOMAINS = List.of("cebu", "bohol", "leyte");
    private static final int DAEMONS_PER_DOMAIN = 2;

    /** Late enough for the longest freeze, the repeats that follow it and the deadlines of those. */
    private static final long END_MILLIS = 20_000;

    private static final double KEYED_CHANCE = 0.3;
    private static final double KEYED_CHANCE_AT_MOST_ONCE = 0.7;
    private static final long RESTART_MILLIS = 300;

    /** One run in this many has no faults. */
    private static final int QUIET_ONE_IN = 8;

    private final EventQueue queue = new EventQueue();
    private final RandomGenerator random;
    private final RunRecord record;
    private final Set<Mechanism> disabled;
    private final Invariant invariant;
    private final boolean quiet;
    private final FakeNetwork network;
    private final FakeStore store;
    private final FaultLevels faultLevels;
    private final FaultPlan faults;
    private final Checks checks;
    private final FakeService assistant = new FakeService("assistant", true, new KeyedCallSettings(false, false));
    private final List<FakeService> keyedServices = List.of(
            new FakeService("orders", false, new KeyedCallSettings(true, false)),
            new FakeService("presses", false, new KeyedCallSettings(false, false)),
            new FakeService("stock", false, new KeyedCallSettings(false, true)));
    private final List<CallsDaemon> daemons = new ArrayList<>();
    private final List<Upstream> upstreams = new ArrayList<>();

    World(long seed, Invariant invariant, Set<Mechanism> disabled) {
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.record = new RunRecord(seed);
        this.invariant = invariant;
        this.disabled = disabled;
        this.quiet = Math.floorMod(seed, QUIET_ONE_IN) == 0;
        this.network = new FakeNetwork(queue, random, record);
        this.store = new FakeStore(queue, random, record);
        this.faultLevels = new FaultLevels(random);
        this.faults = new FaultPlan(this, quiet);
        this.checks = new Checks(this, record, invariant);
    }

    /** Runs to the end and returns what was seen. */
    RunRecord run() {
        for (String domain : DOMAINS) {
            upstreams.add(new Upstream(this, "engine-" + domain, domain, assistant));
            for (FakeService service : keyedServices) {
                upstreams.add(new Upstream(this, service.name() + "-" + domain, domain, service));
            }
            for (int i = 0; i < DAEMONS_PER_DOMAIN; i++) {
                daemons.add(new CallsDaemon(this, "daemon-" + domain + i, domain, Callers.clockRate(this, quiet)));
            }
        }
        new Callers(this, invariant == Invariant.AT_MOST_ONCE ? KEYED_CHANCE_AT_MOST_ONCE : KEYED_CHANCE).start();
        faults.start();
        queue.runUntil(END_MILLIS);
        checks.atEnd(quiet);
        return record;
    }

    boolean uses(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }

    /** Faults of which the run has more than of the others, because its invariant is about them. */
    List<FaultKind> emphasis() {
        return switch (invariant) {
            case OWN_ANSWER -> List.of(FaultKind.TORN_STREAM, FaultKind.DELAY);
            case NOT_RUN -> List.of(FaultKind.KILL, FaultKind.KILL, FaultKind.FREEZE, FaultKind.FREEZE);
            case AT_MOST_ONCE -> List.of(FaultKind.KILL, FaultKind.STORE_ANSWER_LOST);
            case GRACEFUL_STOP -> List.of(FaultKind.STOP_SIGNAL, FaultKind.STOP_SIGNAL);
            default -> throw new IllegalArgumentException("not an invariant of calls: " + invariant);
        };
    }

    void restartAfterExit(CallsDaemon daemon) {
        daemon.process().kill();
        checks.killed(daemon);
        queue.after(RESTART_MILLIS, daemon::boot);
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

    FaultLevels faultLevels() {
        return faultLevels;
    }

    FaultPlan faults() {
        return faults;
    }

    Checks checks() {
        return checks;
    }

    List<CallsDaemon> daemons() {
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
                        upstream.service() == assistant && upstream.domain().equals(domain))
                .findFirst()
                .orElseThrow();
    }

    FakeService assistant() {
        return assistant;
    }

    FakeService keyedService(int index) {
        return keyedServices.get(index);
    }
}
