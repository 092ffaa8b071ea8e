package io.sesamehead.proof;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Command line of {@code bin/prove}: runs the scenarios and prints one line for each invariant. */
public final class Prove {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    @Parameter(names = "--promise", description = "Name of one invariant; all when absent")
    private String promise = "";

    @Parameter(names = "--seed", description = "First seed")
    private long seed = 1;

    @Parameter(names = "--runs", description = "Runs for each invariant, with consecutive seeds")
    private long runs = 1000;

    @Parameter(names = "--broken", description = "Switch the mechanism of each invariant off; violations are expected")
    private boolean broken;

    @Parameter(
            names = {"--help", "-h"},
            description = "Show this help",
            help = true)
    private boolean help;

    private Prove() {}

    /**
     * Runs the program and exits.
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
        Optional<Invariant> chosen = Invariant.byLabel(options.promise);
        if (!options.promise.isEmpty() && chosen.isEmpty()) {
            System.err.println("prove: there is no promise " + options.promise);
            return EXIT_USAGE;
        }
        List<Scenario> scenarios = Scenarios.all().stream()
                .filter(scenario -> chosen.isEmpty() || scenario.invariant() == chosen.get())
                .toList();
        return options.runAll(scenarios) ? EXIT_OK : EXIT_FAILED;
    }

    private boolean runAll(List<Scenario> scenarios) {
        boolean passed = !scenarios.isEmpty();
        for (Scenario scenario : scenarios) {
            Set<Mechanism> disabled = broken ? Set.of(Mechanism.protecting(scenario.invariant())) : Set.of();
            ProofReport report = ProofReport.run(scenario, seed, runs, disabled);
            System.out.println(report.text());
            passed &= report.passed();
        }
        return passed;
    }
}
