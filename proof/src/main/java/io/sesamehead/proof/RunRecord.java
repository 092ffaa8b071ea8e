package io.sesamehead.proof;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Collects the injected faults, the number of invariant checks and the violations of one run. Not thread-safe. */
public final class RunRecord {
    private final long seed;
    private final Map<FaultKind, Integer> faults = new EnumMap<>(FaultKind.class);
    private final List<Violation> violations = new ArrayList<>();
    private long checks;

    /**
     * Creates an empty record.
     *
     * @param seed seed of the run
     */
    public RunRecord(long seed) {
        this.seed = seed;
    }

    /**
     * Counts an injected fault.
     *
     * @param kind kind of the fault
     */
    public void recordFault(FaultKind kind) {
        faults.merge(kind, 1, Integer::sum);
    }

    /**
     * Counts one check of an invariant and records a violation if it does not hold.
     *
     * @param holds whether the invariant holds
     * @param invariant the invariant
     * @param atMillis virtual time, in milliseconds
     * @param detail description of the violation
     */
    public void check(boolean holds, Invariant invariant, long atMillis, String detail) {
        checks++;
        if (!holds) {
            violations.add(new Violation(invariant, seed, atMillis, detail));
        }
    }

    /**
     * Returns the number of injected faults by kind.
     *
     * @return a copy of the counts
     */
    public Map<FaultKind, Integer> faults() {
        return new EnumMap<>(faults);
    }

    /**
     * Returns the violations in time order.
     *
     * @return a copy of the list
     */
    public List<Violation> violations() {
        return List.copyOf(violations);
    }

    /**
     * Returns the number of invariant checks. A run without checks proves nothing.
     *
     * @return the number of checks
     */
    public long checks() {
        return checks;
    }

    /**
     * A check at which an invariant did not hold.
     *
     * @param invariant the invariant
     * @param seed seed that reproduces the violation
     * @param atMillis virtual time, in milliseconds
     * @param detail description of the violation
     */
    public record Violation(Invariant invariant, long seed, long atMillis, String detail) {}
}
