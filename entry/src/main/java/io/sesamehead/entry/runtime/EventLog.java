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
 * Writes structured log lines, {@code component: event=... field=value}, rate-limited per event. A separate thread
 * writes the lines from a bounded queue: when standard output blocks, lines are dropped and counted, and the event loop
 * is never delayed. Called on the event loop only.
 */
public final class EventLog {
    /** Maximum number of lines waiting to be written. */
    private static final int MAX_QUEUED_LINES = 1_024;
    /** Length of a rate limit period, in milliseconds. */
    private static final long PERIOD_MILLIS = 1_000;
    /** Time for which the writer batches lines, in milliseconds: one wake-up for many lines. */
    private static final long WRITE_INTERVAL_MILLIS = 200;

    /** Maximum number of lines per event in a period; the next line of the event states how many were dropped. */
    private static final int MAX_LINES_PER_PERIOD = 30;

    /** Components of the daemon. */
    public enum Component {
        /** Start, stop and readiness. */
        DAEMON("daemon"),
        /** Processing of calls. */
        CALL("call"),
        /** Groups, other targets and their observed state. */
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
        PEER("peer"),
        /** Evacuated failure domains. */
        EVACUATION("evacuation"),
        /** Division of calls among failure domains. */
        DOMAIN("domain");

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
     * Creates a log; {@link #start} starts its writer thread.
     *
     * @param clocks clocks of the process
     */
    public EventLog(Clocks clocks) {
        this.clocks = clocks;
    }

    /** Starts the writer thread. */
    public void start() {
        Thread.ofPlatform().daemon().name("log-writer").start(this::runWriter);
    }

    /**
     * Queues a line unless the event has reached its rate limit or the queue is full.
     *
     * @param component component that the line belongs to
     * @param event name of the event, lowercase with hyphens
     * @param fields alternating names and values
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
        if (limit.written >= MAX_LINES_PER_PERIOD) {
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
     * Returns the number of lines dropped so far, by the rate limit or because the queue was full.
     *
     * @return the count
     */
    public long droppedLines() {
        return droppedLines.get();
    }

    /**
     * Returns the number of lines waiting to be written.
     *
     * @return the count
     */
    public int queuedLines() {
        return queue.size();
    }

    /** Writes the queued lines; called once before the process exits. */
    public void flush() {
        StringBuilder lines = new StringBuilder();
        drainInto(lines);
        if (!lines.isEmpty()) {
            Logger.info(lines.toString());
        }
    }

    private void runWriter() {
        StringBuilder lines = new StringBuilder();
        while (true) {
            try {
                lines.append(queue.take());
                TimeUnit.MILLISECONDS.sleep(WRITE_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                // The process is exiting; flush() writes the remaining lines.
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
