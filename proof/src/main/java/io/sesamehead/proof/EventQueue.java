package io.sesamehead.proof;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Event queue in virtual time. Actions run in time order; actions due at the same time run in the order in which they
 * were scheduled. Not thread-safe.
 */
public final class EventQueue {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private long nowMillis;
    private long sequence;

    /**
     * Returns the current virtual time.
     *
     * @return milliseconds since the start of the run
     */
    public long nowMillis() {
        return nowMillis;
    }

    /**
     * Schedules an action.
     *
     * @param delayMillis delay from the current virtual time, in milliseconds, not negative
     * @param action action to run
     * @throws IllegalArgumentException if the delay is negative
     */
    public void after(long delayMillis, Runnable action) {
        if (delayMillis < 0) {
            throw new IllegalArgumentException("delay must not be negative: " + delayMillis);
        }
        events.add(new Event(nowMillis + delayMillis, sequence++, action));
    }

    /**
     * Schedules an action to run periodically until the run ends. The first run is one period from now.
     *
     * @param periodMillis period, in milliseconds
     * @param action action to run
     */
    public void every(long periodMillis, Runnable action) {
        after(periodMillis, () -> {
            action.run();
            every(periodMillis, action);
        });
    }

    /**
     * Runs all actions that are due at or before the end time, and advances the clock to it.
     *
     * @param endMillis virtual time to run to, in milliseconds
     */
    public void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().atMillis() <= endMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        nowMillis = endMillis;
    }

    private record Event(long atMillis, long sequence, Runnable action) {}
}
