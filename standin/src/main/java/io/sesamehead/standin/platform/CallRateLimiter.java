package io.sesamehead.standin.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.sesamehead.standin.Json;
import java.util.Map;
import java.util.TreeMap;

/** Counts calls by verb and kind, and limits their rate with a token bucket that holds one second of calls. */
final class CallRateLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final int callsPerSecond;
    private final Map<String, Long> callsByVerb = new TreeMap<>();
    private final Map<String, Long> callsByKind = new TreeMap<>();
    private double tokens;
    private long lastRefillNanos;
    private long rejectedCalls;
    private long openWatches;

    CallRateLimiter(int callsPerSecond, long nowNanos) {
        this.callsPerSecond = callsPerSecond;
        this.tokens = callsPerSecond;
        this.lastRefillNanos = nowNanos;
    }

    /** Counts a call and returns whether the rate limit allows it. */
    synchronized boolean tryAdmit(String verb, String kind, long nowNanos) {
        callsByVerb.merge(verb, 1L, Long::sum);
        callsByKind.merge(kind, 1L, Long::sum);
        if (callsPerSecond == 0) {
            return true;
        }
        double refill = (nowNanos - lastRefillNanos) / NANOS_PER_SECOND * callsPerSecond;
        tokens = Math.min(callsPerSecond, tokens + refill);
        lastRefillNanos = nowNanos;
        if (tokens < 1) {
            rejectedCalls++;
            return false;
        }
        tokens--;
        return true;
    }

    synchronized void watchStarted() {
        openWatches++;
    }

    synchronized void watchEnded() {
        openWatches--;
    }

    synchronized ObjectNode toJson() {
        ObjectNode counts = Json.object().put("waitingWatches", openWatches).put("limited", rejectedCalls);
        counts.set("calls", Json.of(callsByVerb));
        counts.set("byKind", Json.of(callsByKind));
        return counts;
    }
}
