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
    private static final int MAX_QUEUED_LINES = 1_024;
    /** Length of a budget period, in milliseconds. */
    private static final long PERIOD_MILLIS = 1_000;
    /** The writer collects lines this long before it writes them, in milliseconds: one wake-up for many lines. */
    private static final long WRITE_INTERVAL_MILLIS = 200;

    /** Lines of one event in a second; the next line of the event says how many were left out. */
    private static final int LINES_PER_SECOND = 30;

    /** Parts of the daemon. */
    public enum Component {
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

        Component(String prefix) {
            this.prefix = prefix;
        }
    }

    private final Clocks clocks;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final Map<Component, Map<String, RateLimit>> rateLimits = new EnumMap<>(Component.class);
    private final AtomicLong droppedLines = new AtomicLong();

    private static final class RateLimit {
        private long periodStartMillis;
        private int written;
        private long dropped;
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
     * @param component the part
     * @param event what happened, one word with hyphens
     * @param fields names and values in turn
     */
    public void write(Component component, String event, Object... fields) {
        RateLimit limit = rateLimits
                .computeIfAbsent(component, key -> new HashMap<>())
                .computeIfAbsent(event, key -> new RateLimit());
        long now = clocks.steadyMillis();
        if (now - limit.periodStartMillis >= PERIOD_MILLIS) {
            limit.periodStartMillis = now;
            limit.written = 0;
        }
        if (limit.written >= LINES_PER_SECOND) {
            limit.dropped++;
            droppedLines.incrementAndGet();
            return;
        }
        limit.written++;
        if (queue.offer(format(component, event, now, limit.dropped, fields))) {
            limit.dropped = 0;
        } else {
            limit.dropped++;
            droppedLines.incrementAndGet();
        }
    }

    /**
     * Returns the lines left out so far, by budget or by a slow reader.
     *
     * @return the count
     */
    public long droppedLines() {
        return droppedLines.get();
    }

    /**
     * Returns the lines that wait to be written.
     *
     * @return the count
     */
    public int queuedLines() {
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

    private static String format(Component component, String event, long nowMillis, long dropped, Object... fields) {
        StringBuilder line = new StringBuilder(128);
        line.append(component.prefix)
                .append(": event=")
                .append(event)
                .append(" at=")
                .append(nowMillis);
        for (int i = 0; i + 1 < fields.length; i += 2) {
            line.append(' ').append(fields[i]).append('=');
            appendValue(line, String.valueOf(fields[i + 1]));
        }
        if (dropped > 0) {
            line.append(" left_out=").append(dropped);
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
