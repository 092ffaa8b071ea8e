package io.sesamehead.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs scheduled actions in order of their virtual time, and in order of scheduling at equal times. For one thread. */
public final class VirtualTime {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private long nowMillis;
    private long sequence;

    private record Event(long atMillis, long sequence, Runnable action) {}

    /** Creates an empty schedule at time 0. */
    public VirtualTime() {}

    /**
     * Returns the virtual time.
     *
     * @return milliseconds since the start of the run
     */
    public long nowMillis() {
        return nowMillis;
    }

    /**
     * Schedules an action.
     *
     * @param delayMillis time from now, at least 0, in milliseconds
     * @param action what to do
     */
    public void after(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, sequence, action));
        sequence++;
    }

    /**
     * Schedules an action that repeats until the run ends.
     *
     * @param periodMillis period, in milliseconds
     * @param action what to do
     */
    public void every(long periodMillis, Runnable action) {
        after(periodMillis, () -> {
            action.run();
            every(periodMillis, action);
        });
    }

    /**
     * Runs all actions that are due up to a time.
     *
     * @param endMillis virtual time at which to stop, in milliseconds
     */
    public void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        nowMillis = endMillis;
    }
}
