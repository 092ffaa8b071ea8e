package io.sesamehead.proof;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Collects the faults injected, the checks made and the violations seen in one run. Used by one thread. */
public final class RunRecord {
    private final long seed;
    private final Map<FaultKind, Integer> faults = new EnumMap<>(FaultKind.class);
    private final List<Violation> violations = new ArrayList<>();
    private long checks;

    /**
     * Starts an empty record.
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
     * Counts one evaluation of the invariant and records a violation when it does not hold.
     *
     * @param holds whether the invariant holds
     * @param invariant the invariant
     * @param atMillis virtual time, in milliseconds
     * @param detail what was seen
     */
    public void check(boolean holds, Invariant invariant, long atMillis, String detail) {
        checks++;
        if (!holds) {
            violations.add(new Violation(invariant, seed, atMillis, detail));
        }
    }

    /**
     * Returns the injected faults by kind.
     *
     * @return a copy of the counts
     */
    public Map<FaultKind, Integer> faults() {
        return new EnumMap<>(faults);
    }

    /**
     * Returns the violations in order of time.
     *
     * @return a copy of the list
     */
    public List<Violation> violations() {
        return List.copyOf(violations);
    }

    /**
     * Returns how often an invariant was evaluated; a run without checks proves nothing.
     *
     * @return the count
     */
    public long checks() {
        return checks;
    }

    /**
     * A state in which an invariant did not hold.
     *
     * @param invariant the invariant
     * @param seed seed that shows it
     * @param atMillis virtual time, in milliseconds
     * @param detail what was seen
     */
    public record Violation(Invariant invariant, long seed, long atMillis, String detail) {}
}
