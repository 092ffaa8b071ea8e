package io.sesamehead.proof;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Simulated network that delivers messages between named endpoints with random delays. Injected faults drop, delay or
 * duplicate messages. Not thread-safe.
 */
public final class FakeNetwork {
    private static final int MIN_DELAY_MILLIS = 1;
    private static final int DELAY_SPREAD_MILLIS = 4;

    private final EventQueue queue;
    private final RandomGenerator random;
    private final RunRecord record;
    private final Set<Link> blockedLinks = new HashSet<>();
    private double duplicateChance;
    private double lateChance;
    private int maxLateMillis;

    /**
     * Creates a network without faults.
     *
     * @param queue virtual time
     * @param random source of randomness for delays and message faults
     * @param record counts the injected faults
     */
    public FakeNetwork(EventQueue queue, RandomGenerator random, RunRecord record) {
        this.queue = queue;
        this.random = random;
        this.record = record;
    }

    /**
     * Sets how often messages are duplicated or delayed.
     *
     * @param duplicates probability of a second delivery, 0 to 1
     * @param late probability of a late delivery, 0 to 1
     * @param millis upper bound of the extra delay, in milliseconds
     */
    public void setMessageFaults(double duplicates, double late, int millis) {
        duplicateChance = duplicates;
        lateChance = late;
        maxLateMillis = millis;
    }

    /**
     * Drops messages from one endpoint to another until {@link #heal}.
     *
     * @param from name of the sender
     * @param to name of the receiver
     */
    public void cutOneWay(String from, String to) {
        record.recordFault(FaultKind.CUT_ONE_WAY);
        blockedLinks.add(new Link(from, to));
    }

    /**
     * Drops messages between two endpoints, in both directions, until {@link #heal}.
     *
     * @param a one endpoint
     * @param b the other endpoint
     */
    public void cutBothWays(String a, String b) {
        record.recordFault(FaultKind.CUT_BOTH_WAYS);
        blockedLinks.add(new Link(a, b));
        blockedLinks.add(new Link(b, a));
    }

    /** Removes all partitions. */
    public void heal() {
        blockedLinks.clear();
    }

    /**
     * Returns whether a message sent now from one endpoint would reach the other.
     *
     * @param from name of the sender
     * @param to name of the receiver
     * @return false while that direction is partitioned
     */
    public boolean connected(String from, String to) {
        return !blockedLinks.contains(new Link(from, to));
    }

    /**
     * Sends a message. It is dropped if the link is partitioned when it is sent; a later partition does not affect it.
     *
     * @param from name of the sender
     * @param to name of the receiver
     * @param delivery action that the receiver runs for each delivered copy
     */
    public void send(String from, String to, Runnable delivery) {
        if (!connected(from, to)) {
            return;
        }
        queue.after(delayMillis(), delivery);
        if (random.nextDouble() < duplicateChance) {
            record.recordFault(FaultKind.DUPLICATE);
            queue.after(delayMillis(), delivery);
        }
    }

    private long delayMillis() {
        long delay = MIN_DELAY_MILLIS + random.nextInt(DELAY_SPREAD_MILLIS);
        if (random.nextDouble() >= lateChance) {
            return delay;
        }
        record.recordFault(FaultKind.DELAY);
        return delay + random.nextInt(Math.max(1, maxLateMillis));
    }

    private record Link(String from, String to) {}
}
