package io.sesamehead.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

class FrameTotalsTest {
    /** Guards against rates that contain what was counted before, other metrics, or the other direction. */
    @Test
    void countsOnlyTheMeshSinceTheFirstMoment() {
        MetricRegistry metrics = new MetricRegistry();
        metrics.counter("peer.sent.heartbeat.bytes").inc(100);
        metrics.counter("calls.orders").inc(5);
        FrameTotals before = FrameTotals.of(metrics);
        metrics.counter("peer.sent.heartbeat.bytes").inc(30);
        metrics.counter("peer.sent.evidence.bytes").inc(12);
        metrics.counter("peer.received.evidence.bytes").inc(7);
        metrics.counter("calls.orders").inc(5);
        FrameTotals moved = FrameTotals.of(metrics).since(before);
        assertThat(moved.counters()).hasSize(3).containsEntry("sent.heartbeat.bytes", 30L);
        assertThat(moved.sum("sent.", ".bytes")).isEqualTo(42);
        assertThat(moved.plus(moved).sum("received.", ".bytes")).isEqualTo(14);
    }
}
