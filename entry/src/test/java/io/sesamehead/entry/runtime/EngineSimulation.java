package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.catalog.EngineProfile;
import io.sesamehead.coordination.catalog.ModelProfile;
import io.sesamehead.coordination.replica.FleetPlanner;
import io.sesamehead.coordination.replica.FleetView;
import io.sesamehead.coordination.replica.MemberState;
import io.sesamehead.coordination.replica.Membership;
import io.sesamehead.coordination.replica.OrderResult;
import io.sesamehead.coordination.replica.ReplicaAction;
import io.sesamehead.coordination.replica.ReplicaKey;
import io.sesamehead.coordination.replica.UpstreamEntry;
import io.sesamehead.entry.port.ChangeBatch;
import io.sesamehead.entry.port.StoredObject;
import io.sesamehead.state.Endpoint;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.InstanceId;
import io.sesamehead.state.ServiceName;
import io.sesamehead.state.StoreRevision;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Simulates engines under successive controllers. The engines' registry entries are delayed or stale; the engines
 * execute orders late and without a response, crash, restart and lose contact with the registry. Each join that an
 * engine accepts while the head of its previous group serves is recorded. Time is virtual; all events follow from one
 * seed.
 */
final class EngineSimulation {
    private static final int GROUP_SIZE = 3;
    private static final long STALL_MILLIS = 4_000;
    private static final long STEP_MILLIS = 50;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long ENTRY_TTL_MILLIS = 3 * HEARTBEAT_MILLIS;
    private static final long MAX_LAG_MILLIS = 500;
    private static final long ORDER_TIMEOUT_MILLIS = 300;
    private static final ModelProfile MODEL = new ModelProfile("m", GROUP_SIZE, 1.0, 1.0, 2_000, 500);
    private static final EngineProfile PROFILE =
            new EngineProfile(18, List.of(MODEL), 6, 0.06, 50_000, 7, 100, 100, 300);

    private final SplittableRandom random;
    private final OrderFaults orderFaults;
    private final List<Engine> engines = new ArrayList<>();
    private final Map<String, StoredObject<UpstreamEntry>> registryObjects = new LinkedHashMap<>();
    private final List<Daemon> daemons = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
    final List<String> violations = new ArrayList<>();
    int joins;
    private long now;
    private long revision;
    private long term;
    private boolean faults = true;

    private record Event(long atMillis, Runnable action) {}

    private static final class Engine {
        private final InstanceId id;
        private final String domain;
        private long startedAtMillis = 1;
        private long writes;
        private long highestEpoch;
        private long highestFence;
        private boolean alive = true;
        private boolean heartbeating = true;
        private boolean partitioned;
        private Optional<Membership> membership = Optional.empty();
        private List<InstanceId> group = List.of();
        private Optional<ReplicaKey> lastGroup = Optional.empty();
        private InstanceId lastHead;
        private long memberLostAtMillis = Long.MAX_VALUE;
        private long readyAtMillis = Long.MAX_VALUE;
        private long openAtMillis = Long.MAX_VALUE;
        private long heartbeatAtMillis;
        private UpstreamEntry previousEntry;

        private Engine(InstanceId id, String domain) {
            this.id = id;
            this.domain = domain;
        }

        private boolean isMemberOf(ReplicaKey key) {
            return alive
                    && membership.map(Membership::replica).filter(key::equals).isPresent();
        }

        private boolean reachesRegistry() {
            return heartbeating && !partitioned;
        }

        private boolean serves(ReplicaKey key) {
            return isMemberOf(key)
                    && membership.orElseThrow().head()
                    && membership.orElseThrow().state() == MemberState.OPEN;
        }
    }

    private static final class Daemon {
        private UpstreamRegistry registry = new UpstreamRegistry(1_200);
        private long revision;
        private long readAtMillis;
    }

    /**
     * Faults of orders. Half of the orders without an answer are executed seconds later.
     *
     * @param noAnswerOneIn one order in so many gets no answer
     * @param otherAnswerOneIn one order in so many that are executed seconds later gets the answer of an earlier one
     */
    record OrderFaults(int noAnswerOneIn, int otherAnswerOneIn) {}

    EngineSimulation(long seed, int domains, int enginesPerDomain, OrderFaults orderFaults) {
        random = new SplittableRandom(seed);
        this.orderFaults = orderFaults;
        for (int domain = 0; domain < domains; domain++) {
            for (int engine = 0; engine < enginesPerDomain; engine++) {
                engines.add(new Engine(new InstanceId("e" + domain + "-" + engine), "d" + domain));
            }
        }
        engines.forEach(this::heartbeat);
        for (int daemon = 0; daemon < 3; daemon++) {
            daemons.add(new Daemon());
        }
    }

    /** Runs with faults and controller changes for the given time, then for the same time without either. */
    void run(long millis) {
        long until = now + millis;
        while (now < until) {
            long termEnd = Math.min(until, now + random.nextLong(1_500, 9_000));
            runTerm(termEnd);
        }
        faults = false;
        engines.forEach(this::recover);
        runTerm(now + millis);
    }

    int serving() {
        return (int) engines.stream()
                .filter(engine -> engine.membership
                        .filter(own -> engine.serves(own.replica()) && isComplete(engine, own.replica()))
                        .isPresent())
                .count();
    }

    private void recover(Engine engine) {
        engine.heartbeating = true;
        engine.partitioned = false;
        if (!engine.alive) {
            restart(engine);
        }
    }

    private void runTerm(long until) {
        term++;
        Daemon holder = daemons.get(random.nextInt(daemons.size()));
        if (faults && random.nextInt(4) == 0) {
            holder.registry = new UpstreamRegistry(1_200);
            holder.revision = 0;
        }
        FleetPlanner planner = new FleetPlanner(term, STALL_MILLIS);
        long fence = term;
        boolean firstStart = term == 1;
        long acquiredAtMillis = now;
        while (now < until) {
            now += STEP_MILLIS;
            while (!events.isEmpty() && events.peek().atMillis() <= now) {
                events.poll().action().run();
            }
            engines.forEach(this::advance);
            daemons.forEach(this::synchronize);
            // As with RegistryWatch.confirmedSince, a term only plans with data that was read from the store after the
            // lease was acquired.
            if (holder.revision == 0 || holder.readAtMillis <= acquiredAtMillis) {
                continue;
            }
            FleetView view = new FleetView(
                    PROFILE,
                    List.copyOf(holder.registry.entries()),
                    Set.of(),
                    Map.of(),
                    true,
                    holder.registry.formerGroups(),
                    firstStart);
            for (ReplicaAction action : planner.plan(view, now)) {
                send(action, fence, result -> planner.onResult(action, result, now));
            }
        }
    }

    private void send(ReplicaAction action, long fence, Consumer<OrderResult> done) {
        Engine engine = engine(action.target());
        if (engine.partitioned) {
            schedule(ORDER_TIMEOUT_MILLIS, () -> done.accept(OrderResult.UNKNOWN));
            return;
        }
        boolean lost = faults && random.nextInt(orderFaults.noAnswerOneIn()) == 0;
        if (!engine.alive || lost) {
            boolean late = engine.alive && random.nextBoolean();
            boolean otherAnswer = late && random.nextInt(orderFaults.otherAnswerOneIn()) == 0;
            schedule(ORDER_TIMEOUT_MILLIS, () -> done.accept(otherAnswer ? OrderResult.ACCEPTED : OrderResult.UNKNOWN));
            if (late) {
                schedule(random.nextLong(2_000, 12_000), () -> execute(engine, action, fence));
            }
            return;
        }
        long delay = random.nextLong(5, 100);
        schedule(delay, () -> {
            OrderResult result = engine.alive ? execute(engine, action, fence) : OrderResult.UNKNOWN;
            schedule(delay, () -> done.accept(result));
        });
    }

    private OrderResult execute(Engine engine, ReplicaAction action, long fence) {
        if (!engine.alive) {
            return OrderResult.UNKNOWN;
        }
        if (fence < engine.highestFence) {
            return action instanceof ReplicaAction.Join ? OrderResult.REFUSED : OrderResult.FENCED;
        }
        engine.highestFence = fence;
        return switch (action) {
            case ReplicaAction.Join join -> join(engine, join);
            case ReplicaAction.Open open -> open(engine, open.replica());
            case ReplicaAction.Leave leave -> {
                if (engine.isMemberOf(leave.replica())) {
                    set(engine, Optional.empty());
                }
                yield OrderResult.ACCEPTED;
            }
            case ReplicaAction.Stage stage -> OrderResult.ACCEPTED;
        };
    }

    private OrderResult join(Engine engine, ReplicaAction.Join join) {
        if (engine.isMemberOf(join.replica())) {
            return OrderResult.ACCEPTED;
        }
        if (join.replica().epoch() < engine.highestEpoch) {
            return OrderResult.REFUSED;
        }
        engine.lastGroup
                .filter(last -> !last.equals(join.replica()))
                .filter(last -> engine(engine.lastHead).serves(last))
                .ifPresent(last -> violations.add(
                        now + ": " + engine.id + " joins " + join.replica() + " while " + last + " serves"));
        joins++;
        engine.highestEpoch = join.replica().epoch();
        engine.group = join.members();
        engine.lastGroup = Optional.of(join.replica());
        engine.lastHead = join.members().get(0);
        engine.memberLostAtMillis = Long.MAX_VALUE;
        engine.openAtMillis = Long.MAX_VALUE;
        engine.readyAtMillis = now + 200;
        int rank = join.members().indexOf(engine.id);
        set(engine, Optional.of(new Membership(join.replica(), rank, MemberState.JOINING)));
        return OrderResult.ACCEPTED;
    }

    private OrderResult open(Engine engine, ReplicaKey key) {
        boolean ready = engine.isMemberOf(key)
                && engine.membership.orElseThrow().state().compareTo(MemberState.READY) >= 0;
        if (!ready) {
            return OrderResult.REFUSED;
        }
        if (engine.membership.orElseThrow().state() == MemberState.READY && engine.openAtMillis == Long.MAX_VALUE) {
            engine.openAtMillis = now + 300;
        }
        return OrderResult.ACCEPTED;
    }

    private void advance(Engine engine) {
        if (faults && random.nextInt(3_000) == 0) {
            injectFault(engine);
        }
        if (engine.alive) {
            engine.membership.ifPresent(own -> advanceMembership(engine, own));
        }
        if (engine.alive && engine.reachesRegistry() && now - engine.heartbeatAtMillis >= HEARTBEAT_MILLIS) {
            heartbeat(engine);
        }
        if (now - engine.heartbeatAtMillis >= ENTRY_TTL_MILLIS && registryObjects.remove(engine.id.value()) != null) {
            revision++;
        }
    }

    private void advanceMembership(Engine engine, Membership own) {
        if (own.state() == MemberState.JOINING && now >= engine.readyAtMillis) {
            set(engine, Optional.of(new Membership(own.replica(), own.rank(), MemberState.READY)));
        } else if (own.state() == MemberState.READY && now >= engine.openAtMillis) {
            set(engine, Optional.of(new Membership(own.replica(), own.rank(), MemberState.OPEN)));
        } else if (own.state() == MemberState.OPEN) {
            // A member that joins again does not make the group complete for its head.
            if (!isComplete(engine, own.replica())) {
                engine.memberLostAtMillis = Math.min(engine.memberLostAtMillis, now);
            }
            if (engine.memberLostAtMillis <= now - STALL_MILLIS) {
                set(engine, Optional.of(new Membership(own.replica(), own.rank(), MemberState.BROKEN)));
            }
        }
    }

    private boolean isComplete(Engine head, ReplicaKey key) {
        return head.group.stream().allMatch(id -> engine(id).isMemberOf(key));
    }

    private void injectFault(Engine engine) {
        switch (random.nextInt(4)) {
            case 2 -> partitionDomain(engine.domain);
            case 0 -> {
                engine.alive = false;
                schedule(random.nextLong(300, 8_000), () -> restart(engine));
            }
            case 1 -> {
                engine.heartbeating = false;
                schedule(random.nextLong(2_000, 12_000), () -> engine.heartbeating = true);
            }
            default -> {
                engine.alive = false;
                restart(engine);
            }
        }
    }

    /** Cuts a failure domain off from the registry and the controller for several seconds; its groups keep running. */
    private void partitionDomain(String domain) {
        List<Engine> inside =
                engines.stream().filter(engine -> engine.domain.equals(domain)).toList();
        inside.forEach(engine -> engine.partitioned = true);
        schedule(random.nextLong(2_000, 8_000), () -> inside.forEach(engine -> engine.partitioned = false));
    }

    private void restart(Engine engine) {
        if (engine.alive) {
            return;
        }
        engine.alive = true;
        engine.startedAtMillis = now + 10;
        engine.writes = 0;
        engine.highestEpoch = 0;
        engine.highestFence = 0;
        engine.group = List.of();
        engine.lastGroup = Optional.empty();
        engine.membership = Optional.empty();
        set(engine, Optional.empty());
        engine.previousEntry = null;
    }

    private void set(Engine engine, Optional<Membership> membership) {
        UpstreamEntry current = entry(engine);
        engine.previousEntry = current.startedAtEpochMillis() == engine.startedAtMillis ? current : null;
        engine.membership = membership;
        engine.writes++;
        if (engine.reachesRegistry()) {
            write(engine, entry(engine));
        }
    }

    private void heartbeat(Engine engine) {
        boolean stale = faults && engine.previousEntry != null && random.nextInt(12) == 0;
        if (stale) {
            write(engine, engine.previousEntry);
        } else {
            engine.writes++;
            write(engine, entry(engine));
        }
    }

    private void write(Engine engine, UpstreamEntry entry) {
        engine.heartbeatAtMillis = now;
        registryObjects.put(
                engine.id.value(),
                new StoredObject<>(engine.id.value(), new StoreRevision(0, ++revision), Optional.of(entry)));
    }

    private UpstreamEntry entry(Engine engine) {
        return new UpstreamEntry(
                engine.id,
                engine.startedAtMillis,
                engine.writes,
                new ServiceName("pool"),
                new Endpoint("127.0.0.1", 80),
                new FailureDomain("a"),
                18,
                false,
                engine.domain,
                List.of("m"),
                List.of("m"),
                engine.membership);
    }

    /** Reads changes with a random lag for each daemon. */
    private void synchronize(Daemon daemon) {
        if (random.nextLong(MAX_LAG_MILLIS / STEP_MILLIS) > 0) {
            return;
        }
        if (daemon.revision == 0) {
            daemon.registry.recordStoreAnswer(now, false);
            daemon.registry.replaceAll(List.copyOf(registryObjects.values()), now);
        } else {
            for (UpstreamEntry known : List.copyOf(daemon.registry.entries())) {
                if (!registryObjects.containsKey(known.id().value())) {
                    daemon.registry.apply(
                            new ChangeBatch.Change<>(
                                    new StoredObject<>(
                                            known.id().value(), new StoreRevision(0, revision), Optional.empty()),
                                    true),
                            true,
                            now);
                }
            }
            for (StoredObject<UpstreamEntry> object : registryObjects.values()) {
                if (object.revision().number() > daemon.revision) {
                    daemon.registry.apply(new ChangeBatch.Change<>(object, false), true, now);
                }
            }
        }
        daemon.revision = revision;
        daemon.readAtMillis = now;
    }

    private Engine engine(InstanceId id) {
        return engines.stream()
                .filter(engine -> engine.id.equals(id))
                .findFirst()
                .orElseThrow();
    }

    private void schedule(long delayMillis, Runnable action) {
        events.add(new Event(now + delayMillis, action));
    }
}
