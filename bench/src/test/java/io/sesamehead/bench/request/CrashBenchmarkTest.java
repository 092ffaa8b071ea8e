package io.sesamehead.bench.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.bench.Seeds;
import org.junit.jupiter.api.Test;

/** Guards the stated target of at most two groups lost to one request, with every innocent call whole. */
final class CrashBenchmarkTest {
    @Test
    void crashingRequestCostsAtMostTwoGroups() {
        CrashRun.Figures figures = CrashBenchmark.worst(new Seeds(11, 15), true);
        assertThat(figures.groupsLost()).isLessThanOrEqualTo(CrashBenchmark.GROUPS_BOUND);
        assertThat(figures.innocentsNotWhole()).isZero();
    }
}
