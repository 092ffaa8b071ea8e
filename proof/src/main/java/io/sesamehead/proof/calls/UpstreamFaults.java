package io.sesamehead.proof.calls;

import java.util.random.RandomGenerator;

/** Current probabilities of the faults that the simulated upstreams inject themselves. */
final class UpstreamFaults {
    private final RandomGenerator random;
    private double refusalChance;
    private double streamBreakChance;

    UpstreamFaults(RandomGenerator random) {
        this.random = random;
    }

    void setChances(double refusals, double streamBreaks) {
        refusalChance = refusals;
        streamBreakChance = streamBreaks;
    }

    boolean shouldRefuse() {
        return refusalChance > 0 && random.nextDouble() < refusalChance;
    }

    boolean shouldBreakStream(double factor) {
        return streamBreakChance > 0 && random.nextDouble() < streamBreakChance * factor;
    }
}
