package io.sesamehead.proof.calls;

import java.util.random.RandomGenerator;

/** Chances of the faults that upstreams inject themselves, at present. */
final class UpstreamFaults {
    private final RandomGenerator random;
    private double refusalChance;
    private double streamBreakChance;

    UpstreamFaults(RandomGenerator random) {
        this.random = random;
    }

    void setChances(double refusals, double tears) {
        refusalChance = refusals;
        streamBreakChance = tears;
    }

    boolean shouldRefuse() {
        return refusalChance > 0 && random.nextDouble() < refusalChance;
    }

    boolean shouldBreakStream(double factor) {
        return streamBreakChance > 0 && random.nextDouble() < streamBreakChance * factor;
    }
}
