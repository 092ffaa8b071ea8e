package io.sesamehead.standin.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.standin.Json;
import java.util.Map;
import java.util.TreeMap;

/** Counts calls by verb and by kind and limits their rate with a token bucket that holds one second's worth. */
final class CallMeter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final int callsPerSecond;
    private final Map<String, Long> byVerb = new TreeMap<>();
    private final Map<String, Long> byKind = new TreeMap<>();
    private double tokens;
    private long refilledNanos;
    private long limited;
    private long waitingWatches;

    CallMeter(int callsPerSecond, long nowNanos) {
        this.callsPerSecond = callsPerSecond;
        this.tokens = callsPerSecond;
        this.refilledNanos = nowNanos;
    }

    /** Counts a call and tells whether the limit admits it. */
    synchronized boolean admit(String verb, String kind, long nowNanos) {
        byVerb.merge(verb, 1L, Long::sum);
        byKind.merge(kind, 1L, Long::sum);
        if (callsPerSecond == 0) {
            return true;
        }
        double earned = (nowNanos - refilledNanos) / NANOS_PER_SECOND * callsPerSecond;
        tokens = Math.min(callsPerSecond, tokens + earned);
        refilledNanos = nowNanos;
        if (tokens < 1) {
            limited++;
            return false;
        }
        tokens--;
        return true;
    }

    synchronized void watchStarted() {
        waitingWatches++;
    }

    synchronized void watchEnded() {
        waitingWatches--;
    }

    synchronized ObjectNode toJson() {
        ObjectNode counts = Json.object().put("waitingWatches", waitingWatches).put("limited", limited);
        counts.set("calls", Json.of(byVerb));
        counts.set("byKind", Json.of(byKind));
        return counts;
    }
}
