package io.sesamehead.entry.runtime;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.Logger;

/**
 * Structured log lines, {@code part: event=... field=value}, within a budget of lines a second for each event. Lines go
 * through a bounded queue to a thread of their own: a reader of standard output that stands still costs lines, which are
 * counted, but never time on the event loop. Called on the event loop only.
 */
public final class EventLog {
    /** Lines waiting to be written at most. */
    private static final int QUEUE_LINES = 1_024;
    /** Length of a budget period, in milliseconds. */
    private static final long PERIOD_MILLIS = 1_000;
    /** The writer collects lines this long before it writes them, in milliseconds: one wake-up for many lines. */
    private static final long WRITE_INTERVAL_MILLIS = 200;

    /** Lines of one event in a second; the next line of the event says how many were left out. */
    private static final int LINES_PER_SECOND = 30;

    /** Parts of the daemon. */
    public enum Part {
        /** Start, stop and readiness. */
        DAEMON("daemon"),
        /** One request's way. */
        CALL("call"),
        /** Groups and what is believed of them. */
        GROUP("group"),
        /** Configuration and keys. */
        CONFIG("config"),
        /** The registry of upstreams. */
        REGISTRY("registry"),
        /** The lease of the controller. */
        LEASE("lease"),
        /** Orders to upstreams. */
        ORDER("order"),
        /** The store. */
        STORE("store"),
        /** Other daemons. */
        PEER("peer");

        private final String prefix;

        Part(String prefix) {
            this.prefix = prefix;
        }
    }

    private final Clocks clocks;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final Map<Part, Map<String, Budget>> budgets = new EnumMap<>(Part.class);
    private final AtomicLong dropped = new AtomicLong();

    private static final class Budget {
        private long periodStart;
        private int used;
        private long leftOut;
    }

    /**
     * Creates a log; its writer starts with {@link #start}.
     *
     * @param clocks clocks
     */
    public EventLog(Clocks clocks) {
        this.clocks = clocks;
    }

    /** Starts the writer. */
    public void start() {
        Thread.ofPlatform().daemon().name("log-writer").start(this::write);
    }

    /**
     * Writes a line unless the event's budget is spent.
     *
     * @param part the part
     * @param event what happened, one word with hyphens
     * @param fields names and values in turn
     */
    public void write(Part part, String event, Object... fields) {
        Budget budget =
                budgets.computeIfAbsent(part, key -> new HashMap<>()).computeIfAbsent(event, key -> new Budget());
        long now = clocks.steadyMillis();
        if (now - budget.periodStart >= PERIOD_MILLIS) {
            budget.periodStart = now;
            budget.used = 0;
        }
        if (budget.used >= LINES_PER_SECOND) {
            budget.leftOut++;
            dropped.incrementAndGet();
            return;
        }
        budget.used++;
        if (queue.offer(format(part, event, now, budget.leftOut, fields))) {
            budget.leftOut = 0;
        } else {
            budget.leftOut++;
            dropped.incrementAndGet();
        }
    }

    /**
     * Returns the lines left out so far, by budget or by a slow reader.
     *
     * @return the count
     */
    public long dropped() {
        return dropped.get();
    }

    /**
     * Returns the lines that wait to be written.
     *
     * @return the count
     */
    public int waiting() {
        return queue.size();
    }

    /** Writes what is queued; called once at the end of the process. */
    public void flush() {
        StringBuilder lines = new StringBuilder();
        drainInto(lines);
        if (!lines.isEmpty()) {
            Logger.info(lines.toString());
        }
    }

    private void write() {
        StringBuilder lines = new StringBuilder();
        while (true) {
            try {
                lines.append(queue.take());
                TimeUnit.MILLISECONDS.sleep(WRITE_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                // The process ends; flush() writes what is left.
                Thread.currentThread().interrupt();
                return;
            }
            drainInto(lines);
            Logger.info(lines.toString());
            lines.setLength(0);
        }
    }

    private void drainInto(StringBuilder lines) {
        for (String line = queue.poll(); line != null; line = queue.poll()) {
            if (!lines.isEmpty()) {
                lines.append('\n');
            }
            lines.append(line);
        }
    }

    private static String format(Part part, String event, long nowMillis, long leftOut, Object... fields) {
        StringBuilder line = new StringBuilder(128);
        line.append(part.prefix).append(": event=").append(event).append(" at=").append(nowMillis);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=');
            appendValue(line, String.valueOf(fields[i + 1]));
        }
        if (leftOut > 0) {
            line.append(" left_out=").append(leftOut);
        }
        return line.toString();
    }

    private static void appendValue(StringBuilder line, String value) {
        if (value.indexOf(' ') < 0 && value.indexOf('"') < 0 && value.indexOf('\n') < 0) {
            line.append(value);
            return;
        }
        line.append('"').append(value.replace("\"", "'").replace('\n', ' ')).append('"');
    }
}
