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
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Engines whose registry entries come late or from an earlier moment, which carry orders out late and without an answer,
 * die, restart and lose touch with the registry, under controllers that take over from one another. Joins that an
 * engine takes while the head of its last group serves are recorded. Virtual time; one seed decides all.
 */
final class EngineSimulation {
    private static final int SIZE = 3;
    private static final long STALL_MILLIS = 4_000;
    private static final long STEP_MILLIS = 50;
    private static final long BEAT_MILLIS = 1_200;
    private static final long LAPSE_MILLIS = 3 * BEAT_MILLIS;
    private static final long LONGEST_LAG_MILLIS = 500;
    private static final long ANSWER_MILLIS = 300;
    private static final ModelProfile MODEL = new ModelProfile("m", SIZE, 1.0, 1.0, 2_000, 500);
    private static final EngineProfile PROFILE =
            new EngineProfile(18, List.of(MODEL), 6, 0.06, 50_000, 7, 100, 100, 300);

    private final SplittableRandom random;
    private final List<Engine> engines = new ArrayList<>();
    private final Map<String, StoredObject<UpstreamEntry>> listed = new LinkedHashMap<>();
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
        private long born = 1;
        private long orders;
        private long highestEpoch;
        private long highestFence;
        private boolean alive = true;
        private boolean listedNow = true;
        private boolean cut;
        private Optional<Membership> membership = Optional.empty();
        private List<InstanceId> group = List.of();
        private Optional<ReplicaKey> lastGroup = Optional.empty();
        private InstanceId lastHead;
        private long memberLostAt = Long.MAX_VALUE;
        private long readyAt = Long.MAX_VALUE;
        private long openAt = Long.MAX_VALUE;
        private long beatAt;
        private UpstreamEntry before;

        private Engine(InstanceId id, String domain) {
            this.id = id;
            this.domain = domain;
        }

        private boolean in(ReplicaKey key) {
            return alive
                    && membership.map(Membership::replica).filter(key::equals).isPresent();
        }

        private boolean listed() {
            return listedNow && !cut;
        }

        private boolean serves(ReplicaKey key) {
            return in(key)
                    && membership.orElseThrow().head()
                    && membership.orElseThrow().state() == MemberState.OPEN;
        }
    }

    private static final class Daemon {
        private UpstreamRegistry registry = new UpstreamRegistry();
        private long revision;
        private long readAt;
    }

    EngineSimulation(long seed, int domains, int each) {
        random = new SplittableRandom(seed);
        for (int domain = 0; domain < domains; domain++) {
            for (int engine = 0; engine < each; engine++) {
                engines.add(new Engine(new InstanceId("e" + domain + "-" + engine), "d" + domain));
            }
        }
        engines.forEach(this::beat);
        for (int daemon = 0; daemon < 3; daemon++) {
            daemons.add(new Daemon());
        }
    }

    /** Plays faults and changes of the controller for some time, then as long a time without either. */
    void run(long millis) {
        long until = now + millis;
        while (now < until) {
            long termEnd = Math.min(until, now + random.nextLong(1_500, 9_000));
            term(termEnd);
        }
        faults = false;
        engines.forEach(this::heal);
        term(now + millis);
    }

    int serving() {
        return (int) engines.stream()
                .filter(engine -> engine.membership
                        .filter(own -> engine.serves(own.replica()) && whole(engine, own.replica()))
                        .isPresent())
                .count();
    }

    private void heal(Engine engine) {
        engine.listedNow = true;
        engine.cut = false;
        if (!engine.alive) {
            restart(engine);
        }
    }

    private void term(long until) {
        term++;
        Daemon holder = daemons.get(random.nextInt(daemons.size()));
        if (faults && random.nextInt(4) == 0) {
            holder.registry = new UpstreamRegistry();
            holder.revision = 0;
        }
        FleetPlanner planner = new FleetPlanner(term, STALL_MILLIS);
        long fence = term;
        boolean firstStart = term == 1;
        long takenAt = now;
        while (now < until) {
            now += STEP_MILLIS;
            while (!events.isEmpty() && events.peek().atMillis() <= now) {
                events.poll().action().run();
            }
            engines.forEach(this::advance);
            daemons.forEach(this::follow);
            // As in RegistryWatch.confirmedSince: a term plans with what the store told after the lease was taken.
            if (holder.revision == 0 || holder.readAt <= takenAt) {
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
                send(planner, action, fence);
            }
        }
    }

    private void send(FleetPlanner planner, ReplicaAction action, long fence) {
        Engine engine = engine(action.target());
        if (engine.cut) {
            at(ANSWER_MILLIS, () -> planner.onResult(action, OrderResult.UNKNOWN, now));
            return;
        }
        boolean lost = faults && random.nextInt(8) == 0;
        if (!engine.alive || lost) {
            at(ANSWER_MILLIS, () -> planner.onResult(action, OrderResult.UNKNOWN, now));
            if (engine.alive && random.nextBoolean()) {
                at(random.nextLong(2_000, 12_000), () -> carryOut(engine, action, fence));
            }
            return;
        }
        long delay = random.nextLong(5, 100);
        at(delay, () -> {
            OrderResult result = engine.alive ? carryOut(engine, action, fence) : OrderResult.UNKNOWN;
            at(delay, () -> planner.onResult(action, result, now));
        });
    }

    private OrderResult carryOut(Engine engine, ReplicaAction action, long fence) {
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
                if (engine.in(leave.replica())) {
                    engine.orders++;
                    set(engine, Optional.empty());
                }
                yield OrderResult.ACCEPTED;
            }
            case ReplicaAction.Stage stage -> OrderResult.ACCEPTED;
        };
    }

    private OrderResult join(Engine engine, ReplicaAction.Join join) {
        if (engine.in(join.replica())) {
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
        engine.orders++;
        engine.highestEpoch = join.replica().epoch();
        engine.group = join.members();
        engine.lastGroup = Optional.of(join.replica());
        engine.lastHead = join.members().get(0);
        engine.memberLostAt = Long.MAX_VALUE;
        engine.openAt = Long.MAX_VALUE;
        engine.readyAt = now + 200;
        int rank = join.members().indexOf(engine.id);
        set(engine, Optional.of(new Membership(join.replica(), rank, MemberState.JOINING)));
        return OrderResult.ACCEPTED;
    }

    private OrderResult open(Engine engine, ReplicaKey key) {
        boolean ready =
                engine.in(key) && engine.membership.orElseThrow().state().compareTo(MemberState.READY) >= 0;
        if (!ready) {
            return OrderResult.REFUSED;
        }
        if (engine.membership.orElseThrow().state() == MemberState.READY && engine.openAt == Long.MAX_VALUE) {
            engine.orders++;
            engine.openAt = now + 300;
        }
        return OrderResult.ACCEPTED;
    }

    private void advance(Engine engine) {
        if (faults && random.nextInt(3_000) == 0) {
            hit(engine);
        }
        if (engine.alive) {
            engine.membership.ifPresent(own -> advanceMembership(engine, own));
        }
        if (engine.alive && engine.listed() && now - engine.beatAt >= BEAT_MILLIS) {
            beat(engine);
        }
        if (now - engine.beatAt >= LAPSE_MILLIS && listed.remove(engine.id.value()) != null) {
            revision++;
        }
    }

    private void advanceMembership(Engine engine, Membership own) {
        if (own.state() == MemberState.JOINING && now >= engine.readyAt) {
            set(engine, Optional.of(new Membership(own.replica(), own.rank(), MemberState.READY)));
        } else if (own.state() == MemberState.READY && now >= engine.openAt) {
            set(engine, Optional.of(new Membership(own.replica(), own.rank(), MemberState.OPEN)));
        } else if (own.state() == MemberState.OPEN) {
            // A member that joins again does not make the group whole for its head.
            if (!whole(engine, own.replica())) {
                engine.memberLostAt = Math.min(engine.memberLostAt, now);
            }
            if (engine.memberLostAt <= now - STALL_MILLIS) {
                set(engine, Optional.of(new Membership(own.replica(), own.rank(), MemberState.BROKEN)));
            }
        }
    }

    private boolean whole(Engine head, ReplicaKey key) {
        return head.group.stream().allMatch(id -> engine(id).in(key));
    }

    private void hit(Engine engine) {
        switch (random.nextInt(4)) {
            case 2 -> cutOff(engine.domain);
            case 0 -> {
                engine.alive = false;
                at(random.nextLong(300, 8_000), () -> restart(engine));
            }
            case 1 -> {
                engine.listedNow = false;
                at(random.nextLong(2_000, 12_000), () -> engine.listedNow = true);
            }
            default -> {
                engine.alive = false;
                restart(engine);
            }
        }
    }

    /** A failure domain reaches neither the registry nor the controller for some seconds; its groups go on. */
    private void cutOff(String domain) {
        List<Engine> inside =
                engines.stream().filter(engine -> engine.domain.equals(domain)).toList();
        inside.forEach(engine -> engine.cut = true);
        at(random.nextLong(2_000, 8_000), () -> inside.forEach(engine -> engine.cut = false));
    }

    private void restart(Engine engine) {
        if (engine.alive) {
            return;
        }
        engine.alive = true;
        engine.born = now + 10;
        engine.orders = 0;
        engine.highestEpoch = 0;
        engine.highestFence = 0;
        engine.group = List.of();
        engine.lastGroup = Optional.empty();
        engine.membership = Optional.empty();
        set(engine, Optional.empty());
        engine.before = null;
    }

    private void set(Engine engine, Optional<Membership> membership) {
        UpstreamEntry present = entry(engine);
        engine.before = present.startedAtEpochMillis() == engine.born ? present : null;
        engine.membership = membership;
        if (engine.listed()) {
            write(engine, entry(engine));
        }
    }

    private void beat(Engine engine) {
        boolean old = faults && engine.before != null && random.nextInt(12) == 0;
        write(engine, old ? engine.before : entry(engine));
    }

    private void write(Engine engine, UpstreamEntry entry) {
        engine.beatAt = now;
        listed.put(engine.id.value(), new StoredObject<>(engine.id.value(), ++revision, Optional.of(entry)));
    }

    private UpstreamEntry entry(Engine engine) {
        return new UpstreamEntry(
                engine.id,
                engine.born,
                engine.orders,
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

    /** Daemons read what has changed with a lag of their own. */
    private void follow(Daemon daemon) {
        if (random.nextLong(LONGEST_LAG_MILLIS / STEP_MILLIS) > 0) {
            return;
        }
        if (daemon.revision == 0) {
            daemon.registry.recordStoreAnswer(now, false);
            daemon.registry.replaceAll(List.copyOf(listed.values()), now);
        } else {
            for (UpstreamEntry known : List.copyOf(daemon.registry.entries())) {
                if (!listed.containsKey(known.id().value())) {
                    daemon.registry.apply(
                            new ChangeBatch.Change<>(
                                    new StoredObject<>(known.id().value(), revision, Optional.empty()), true),
                            now);
                }
            }
            for (StoredObject<UpstreamEntry> object : listed.values()) {
                if (object.revision() > daemon.revision) {
                    daemon.registry.apply(new ChangeBatch.Change<>(object, false), now);
                }
            }
        }
        daemon.revision = revision;
        daemon.readAt = now;
    }

    private Engine engine(InstanceId id) {
        return engines.stream()
                .filter(engine -> engine.id.equals(id))
                .findFirst()
                .orElseThrow();
    }

    private void at(long delayMillis, Runnable action) {
        events.add(new Event(now + delayMillis, action));
    }
}
