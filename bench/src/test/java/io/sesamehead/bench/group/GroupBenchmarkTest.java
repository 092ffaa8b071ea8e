package io.sesamehead.bench.group;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.group.RepairPolicy;
import org.junit.jupiter.api.Test;

/** Guards against a repair policy that waits or repairs far more than the best choice in hindsight. */
final class GroupBenchmarkTest {
    @Test
    void costsAtMostTwiceTheBestChoiceInHindsight() {
        assertThat(GroupBenchmark.worstHindsightRatio(RepairPolicy::of)).isLessThanOrEqualTo(2.0);
    }
}
