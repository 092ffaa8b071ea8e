package io.sesamehead.entry.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against requests taken for new after they waited in the socket of a process that did not run. */
final class LoopLagTest {
    private final LoopLag lag = new LoopLag(50, 0);

    @Test
    void loopThatTicksInTimeIsNotBehind() {
        for (long now = 50; now < 1_000; now += 60) {
            assertThat(lag.tick(now)).isZero();
            assertThat(lag.behind(now)).isFalse();
        }
    }

    /** The sockets are read before the first tick after a pause. */
    @Test
    void pauseShowsBeforeAndAfterTheLateTick() {
        assertThat(lag.behind(700)).isTrue();
        assertThat(lag.tick(700)).isEqualTo(650);
        assertThat(lag.tick(750)).isZero();
        assertThat(lag.behind(1_000)).isTrue();
        assertThat(lag.tick(1_750)).isPositive();
        for (long now = 1_800; now < 2_850; now += 50) {
            assertThat(lag.tick(now)).isZero();
        }
        assertThat(lag.behind(2_850)).isFalse();
    }
}
