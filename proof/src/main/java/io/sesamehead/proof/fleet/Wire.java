package io.sesamehead.proof.fleet;

import io.sesamehead.proof.EventQueue;
import io.sesamehead.proof.FakeNetwork;
import io.sesamehead.proof.FaultKind;
import io.sesamehead.proof.RunRecord;
import java.util.random.RandomGenerator;

/** Requests and answers over connections: they can get lost or be late, but are never repeated. */
final class Wire {
    private static final int DELAY_SPREAD_MILLIS = 4;

    private final EventQueue queue;
    private final RandomGenerator random;
    private final RunRecord record;
    private final FakeNetwork network;
    private double lateChance;

    Wire(EventQueue queue, RandomGenerator random, RunRecord record, FakeNetwork network) {
        this.queue = queue;
        this.random = random;
        this.record = record;
        this.network = network;
    }

    void late(double chance) {
        lateChance = chance;
    }

    void send(String from, String to, Runnable delivery) {
        sendLate(from, to, 0, delivery);
    }

    void sendLate(String from, String to, long extraMillis, Runnable delivery) {
        if (!network.connected(from, to)) {
            return;
        }
        long delayMillis = 1 + random.nextInt(DELAY_SPREAD_MILLIS) + extraMillis;
        if (random.nextDouble() < lateChance) {
            record.recordFault(FaultKind.DELAY);
            delayMillis += random.nextInt(FleetTimes.LATE_MILLIS);
        }
        queue.after(delayMillis, delivery);
    }
}
