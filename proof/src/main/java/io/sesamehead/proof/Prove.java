package io.sesamehead.proof;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Entry point of {@code bin/prove}: runs the scenarios and prints a summary for each invariant. */
public final class Prove {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    @Parameter(names = "--promise", description = "Invariant to check; all if absent")
    private String invariantLabel = "";

    @Parameter(names = "--seed", description = "First seed")
    private long seed = 1;

    @Parameter(names = "--runs", description = "Number of runs for each invariant, with consecutive seeds")
    private long runs = 1000;

    @Parameter(
            names = "--broken",
            description = "Disable the mechanism that protects each invariant; violations are expected")
    private boolean disableMechanisms;

    @Parameter(
            names = {"--help", "-h"},
            description = "Show this help",
            help = true)
    private boolean help;

    private Prove() {}

    /**
     * Runs the program and exits with 0 if every invariant held, 1 if one did not, or 2 on a usage error.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) {
        Prove options = new Prove();
        JCommander commander =
                JCommander.newBuilder().programName("prove").addObject(options).build();
        try {
            commander.parse(arguments);
        } catch (ParameterException e) {
            System.err.println("prove: " + e.getMessage());
            return EXIT_USAGE;
        }
        if (options.help) {
            commander.usage();
            return EXIT_OK;
        }
        Optional<Invariant> selected = Invariant.byLabel(options.invariantLabel);
        if (!options.invariantLabel.isEmpty() && selected.isEmpty()) {
            System.err.println("prove: unknown value of --promise: " + options.invariantLabel);
            return EXIT_USAGE;
        }
        List<Scenario> scenarios = Scenarios.all().stream()
                .filter(scenario -> selected.isEmpty() || scenario.invariant() == selected.get())
                .toList();
        return options.runAll(scenarios) ? EXIT_OK : EXIT_FAILED;
    }

    private boolean runAll(List<Scenario> scenarios) {
        boolean passed = !scenarios.isEmpty();
        for (Scenario scenario : scenarios) {
            Set<Mechanism> disabled = disableMechanisms ? Set.of(Mechanism.protecting(scenario.invariant())) : Set.of();
            ProofReport report = ProofReport.run(scenario, seed, runs, disabled);
            System.out.println(report.text());
            passed &= report.passed();
        }
        return passed;
    }
}
