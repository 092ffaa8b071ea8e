package io.sesamehead.proof.fleet;

import io.sesamehead.proof.EventQueue;
import io.sesamehead.proof.FakeNetwork;
import io.sesamehead.proof.FaultKind;
import io.sesamehead.proof.RunRecord;
import java.util.random.RandomGenerator;

/** Requests and answers over connections: they can get lost or be late, but are never repeated. */
final class ConnectionTransport {
    private static final int DELAY_SPREAD_MILLIS = 4;

    private final EventQueue queue;
    private final RandomGenerator random;
    private final RunRecord record;
    private final FakeNetwork network;
    private double lateProbability;

    ConnectionTransport(EventQueue queue, RandomGenerator random, RunRecord record, FakeNetwork network) {
        this.queue = queue;
        this.random = random;
        this.record = record;
        this.network = network;
    }

    void setLateProbability(double chance) {
        lateProbability = chance;
    }

    void send(String from, String to, Runnable delivery) {
        sendDelayed(from, to, 0, delivery);
    }

    void sendDelayed(String from, String to, long extraMillis, Runnable delivery) {
        if (!network.connected(from, to)) {
            return;
        }
        long delayMillis = 1 + random.nextInt(DELAY_SPREAD_MILLIS) + extraMillis;
        if (random.nextDouble() < lateProbability) {
            record.recordFault(FaultKind.DELAY);
            delayMillis += random.nextInt(FleetTimings.MAX_EXTRA_DELAY_MILLIS);
        }
        queue.after(delayMillis, delivery);
    }
}
