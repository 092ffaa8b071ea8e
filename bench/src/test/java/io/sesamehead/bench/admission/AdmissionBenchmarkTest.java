package io.sesamehead.bench.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards the stated targets of admission under a large client account and when refused callers come back. */
final class AdmissionBenchmarkTest {
    private static final long SEED = 11;

    @Test
    void largeAccountDoesNotMoveTheOthers() {
        assertThat(AdmissionBenchmark.othersRatio(AdmissionBenchmark.SHARED, SEED))
                .isLessThanOrEqualTo(AdmissionBenchmark.SHARE_BOUND);
    }

    @Test
    void overloadKeepsUsefulWork() {
        assertThat(AdmissionBenchmark.usefulRatio(AdmissionBenchmark.SHARED, SEED))
                .isGreaterThanOrEqualTo(AdmissionBenchmark.USEFUL_BOUND);
    }

    @Test
    void refusedCallsComeBackSpread() {
        assertThat(AdmissionBenchmark.overload(AdmissionBenchmark.SHARED, SEED, 2)
                        .withoutComeBack())
                .isZero();
        assertThat(AdmissionBenchmark.peakRatio(AdmissionBenchmark.SHARED, SEED))
                .isLessThanOrEqualTo(AdmissionBenchmark.PEAK_BOUND);
    }
}
