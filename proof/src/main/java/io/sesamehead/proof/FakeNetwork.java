package io.sesamehead.proof;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Delivers messages between named parties with random delay, and drops, delays further or repeats them as faults ask.
 * Used by one thread.
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
     * @param random source of delays
     * @param record where faults are counted
     */
    public FakeNetwork(EventQueue queue, RandomGenerator random, RunRecord record) {
        this.queue = queue;
        this.random = random;
        this.record = record;
    }

    /**
     * Makes some messages arrive twice or late.
     *
     * @param duplicates chance of a second delivery, 0 to 1
     * @param late chance of a late delivery, 0 to 1
     * @param millis longest extra delay, in milliseconds
     */
    public void setMessageFaults(double duplicates, double late, int millis) {
        duplicateChance = duplicates;
        lateChance = late;
        maxLateMillis = millis;
    }

    /**
     * Drops messages from one party to another until healed.
     *
     * @param from sender
     * @param to receiver
     */
    public void cutOneWay(String from, String to) {
        record.recordFault(FaultKind.CUT_ONE_WAY);
        blockedLinks.add(new Link(from, to));
    }

    /**
     * Drops messages between two parties until healed.
     *
     * @param a one party
     * @param b the other party
     */
    public void cutBothWays(String a, String b) {
        record.recordFault(FaultKind.CUT_BOTH_WAYS);
        blockedLinks.add(new Link(a, b));
        blockedLinks.add(new Link(b, a));
    }

    /** Ends all cuts. */
    public void heal() {
        blockedLinks.clear();
    }

    /**
     * Tells whether a message from one party would reach the other now.
     *
     * @param from sender
     * @param to receiver
     * @return false while the direction is cut
     */
    public boolean connected(String from, String to) {
        return !blockedLinks.contains(new Link(from, to));
    }

    /**
     * Sends a message. A cut at the time of sending drops it.
     *
     * @param from sender
     * @param to receiver
     * @param delivery what the receiver does
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
