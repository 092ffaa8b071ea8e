package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a log that costs calls their time, or leaves lines out without saying so. */
final class EventLogTest {
    private final FakeClocks clocks = new FakeClocks(0);
    private final EventLog log = new EventLog(clocks);

    /** No writer runs here, as if the reader of standard output stood still. */
    @Test
    void neverBlocksAndCountsEveryDroppedLine() {
        int lines = 0;
        for (int second = 0; second < 100; second++) {
            clocks.now += 1_000;
            for (int line = 0; line < 100; line++) {
                log.write(EventLog.Component.CALL, "failed", "id", line);
                lines++;
            }
        }

        assertThat(log.droppedLines() + log.queuedLines()).isEqualTo(lines);
        assertThat(log.queuedLines()).isLessThanOrEqualTo(1_024);
    }

    @Test
    void limitsRatePerEvent() {
        for (int line = 0; line < 1_000; line++) {
            log.write(EventLog.Component.CALL, "ended", "id", line);
        }
        long dropped = log.droppedLines();

        log.write(EventLog.Component.CALL, "failed", "id", "x");

        assertThat(log.droppedLines()).isEqualTo(dropped);
    }
}
