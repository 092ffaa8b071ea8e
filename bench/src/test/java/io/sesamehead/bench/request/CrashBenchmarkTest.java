package io.sesamehead.bench.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.bench.Seeds;
import org.junit.jupiter.api.Test;

/** Guards the stated target of at most two groups lost to one request, with every innocent call whole. */
final class CrashBenchmarkTest {
    private static final Seeds SEEDS = new Seeds(11, 15);

    @Test
    void crashingRequestCostsAtMostTwoGroups() {
        assertThat(CrashBenchmark.worst(SEEDS, true).groupsLost()).isLessThanOrEqualTo(CrashBenchmark.GROUPS_BOUND);
    }

    /** Guards against quarantining a call that only shared groups with a crashing one. */
    @Test
    void innocentCallsEndWhole() {
        assertThat(CrashBenchmark.worst(SEEDS, true).innocentsNotWhole()).isZero();
    }
}
