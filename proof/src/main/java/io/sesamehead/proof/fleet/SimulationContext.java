package io.sesamehead.proof.fleet;

import io.sesamehead.proof.EventQueue;
import io.sesamehead.proof.FakeNetwork;
import io.sesamehead.proof.FakeStore;
import io.sesamehead.proof.FaultKind;
import io.sesamehead.proof.Mechanism;
import io.sesamehead.proof.RunRecord;
import io.sesamehead.state.Incarnation;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * What all parties of one run share.
 *
 * @param queue virtual time
 * @param random source of every random choice
 * @param record faults, checks and violations
 * @param network messages between daemons
 * @param transport request and answer connections
 * @param store the object API
 * @param disabled mechanisms that are switched off
 */
record SimulationContext(
        EventQueue queue,
        RandomGenerator random,
        RunRecord record,
        FakeNetwork network,
        ConnectionTransport transport,
        FakeStore store,
        Set<Mechanism> disabled) {
    private static final long CLOCK_OFFSET_SPREAD_MILLIS = 1_000_000;

    static SimulationContext create(long seed, Set<Mechanism> disabled) {
        EventQueue queue = new EventQueue();
        RandomGenerator random = new SplittableRandom(seed);
        RunRecord record = new RunRecord(seed);
        FakeNetwork network = new FakeNetwork(queue, random, record);
        ConnectionTransport wire = new ConnectionTransport(queue, random, record, network);
        FakeStore store = new FakeStore(queue, random, record);
        return new SimulationContext(queue, random, record, network, wire, store, disabled);
    }

    long nowMillis() {
        return queue.nowMillis();
    }

    boolean isDisabled(Mechanism mechanism) {
        return disabled.contains(mechanism);
    }

    boolean randomBoolean(double probability) {
        return random.nextDouble() < probability;
    }

    long randomMillis(long lowMillis, long highMillis) {
        return random.nextLong(lowMillis, highMillis + 1);
    }

    Incarnation newIncarnation() {
        return new Incarnation(random.nextLong());
    }

    /** Starts a process whose clock runs at most half of the drift setting faster or slower than the true time. */
    SimProcess newProcess() {
        record.recordFault(FaultKind.CLOCK_DRIFT);
        double half = FleetTimings.LEASE.maxClockDriftMillis() / 2.0 / FleetTimings.LEASE.ttlMillis();
        double rate = 1 + (2 * random.nextDouble() - 1) * half;
        return new SimProcess(queue, rate, random.nextLong(CLOCK_OFFSET_SPREAD_MILLIS));
    }
}
