package io.sesamehead.proof.calls;

import java.util.random.RandomGenerator;

/** Chances of the faults that upstreams inject themselves, at present. */
final class FaultLevels {
    private final RandomGenerator random;
    private double refusalChance;
    private double tearChance;

    FaultLevels(RandomGenerator random) {
        this.random = random;
    }

    void set(double refusals, double tears) {
        refusalChance = refusals;
        tearChance = tears;
    }

    boolean refuses() {
        return refusalChance > 0 && random.nextDouble() < refusalChance;
    }

    boolean tears(double factor) {
        return tearChance > 0 && random.nextDouble() < tearChance * factor;
    }
}
