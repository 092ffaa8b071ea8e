package io.sesamehead.proof;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Sums up the runs of one scenario. */
public final class ProofReport {
    private static final int MAX_SHOWN_VIOLATIONS = 5;

    private final Invariant invariant;
    private final long runs;
    private final long checks;
    private final Map<FaultKind, Integer> faults;
    private final List<RunRecord.Violation> violations;

    private ProofReport(
            Invariant invariant,
            long runs,
            long checks,
            Map<FaultKind, Integer> faults,
            List<RunRecord.Violation> violations) {
        this.invariant = invariant;
        this.runs = runs;
        this.checks = checks;
        this.faults = faults;
        this.violations = violations;
    }

    /**
     * Runs a scenario with consecutive seeds.
     *
     * @param scenario the scenario
     * @param firstSeed first seed
     * @param runs number of runs
     * @param disabled mechanisms that are switched off
     * @return the summary
     */
    public static ProofReport run(Scenario scenario, long firstSeed, long runs, Set<Mechanism> disabled) {
        Map<FaultKind, Integer> faults = new EnumMap<>(FaultKind.class);
        List<RunRecord.Violation> violations = new ArrayList<>();
        long checks = 0;
        for (long seed = firstSeed; seed < firstSeed + runs; seed++) {
            RunRecord record = scenario.run(seed, disabled);
            record.faults().forEach((kind, count) -> faults.merge(kind, count, Integer::sum));
            violations.addAll(record.violations());
            checks += record.checks();
        }
        return new ProofReport(scenario.invariant(), runs, checks, faults, violations);
    }

    /**
     * Tells whether the invariant held and was checked at all.
     *
     * @return true without violations and with at least one check
     */
    public boolean passed() {
        return violations.isEmpty() && checks > 0;
    }

    /**
     * Returns all violations.
     *
     * @return the violations in order of seed and time
     */
    public List<RunRecord.Violation> violations() {
        return List.copyOf(violations);
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
     * Returns the summary for people: one line, and one more for each of the first violations.
     *
     * @return the text, without a line break at the end
     */
    public String text() {
        int injected = faults.values().stream().mapToInt(Integer::intValue).sum();
        StringBuilder text = new StringBuilder();
        text.append("%-14s %d runs, %d checks, %d violations, %d faults %s"
                .formatted(invariant.label(), runs, checks, violations.size(), injected, faults));
        violations.stream()
                .limit(MAX_SHOWN_VIOLATIONS)
                .forEach(violation -> text.append("%n  seed %d at %d ms: %s"
                        .formatted(violation.seed(), violation.atMillis(), violation.detail())));
        return text.toString();
    }
}
