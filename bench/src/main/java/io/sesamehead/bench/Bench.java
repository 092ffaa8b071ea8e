package io.sesamehead.bench;

import io.sesamehead.bench.admission.AdmissionBenchmark;
import io.sesamehead.bench.group.GroupBenchmark;
import io.sesamehead.bench.request.CrashBenchmark;
import io.sesamehead.bench.request.RetryBenchmark;
import io.sesamehead.bench.routing.RoutingBenchmark;
import java.util.ArrayList;
import java.util.List;
import org.openjdk.jmh.Main;

/** The program {@code bin/bench}: prints one table of decisions; it is the same for the same seeds. */
public final class Bench {
    private static final String USAGE = "usage: bin/bench [--decision NAME] [--seeds A-B] | --jmh [JMH OPTIONS]";
    private static final Seeds DEFAULT_SEEDS = new Seeds(1, 3);

    private Bench() {}

    /**
     * Runs the benchmarks.
     *
     * @param args the options
     * @throws Exception if JMH fails
     */
    public static void main(String[] args) throws Exception {
        if (args.length > 0 && args[0].equals("--jmh")) {
            runJmh(List.of(args).subList(1, args.length));
            return;
        }
        String decision = "";
        Seeds seeds = DEFAULT_SEEDS;
        for (int i = 0; i < args.length; i += 2) {
            boolean last = i + 1 == args.length;
            if (!last && args[i].equals("--decision")) {
                decision = args[i + 1];
            } else if (!last && args[i].equals("--seeds")) {
                seeds = Seeds.parse(args[i + 1]);
            } else {
                System.err.println(USAGE);
                System.exit(2);
            }
        }
        print(decision, seeds);
    }

    /**
     * Returns the benchmarks.
     *
     * @return all, in the order of the table
     */
    static List<Benchmark> all() {
        return List.of(
                new GroupBenchmark(),
                new AdmissionBenchmark(),
                new RoutingBenchmark(),
                new RetryBenchmark(),
                new CrashBenchmark());
    }

    /** Counts allocations, which are stable from run to run, unlike times. */
    private static void runJmh(List<String> options) throws Exception {
        List<String> all =
                new ArrayList<>(List.of("HotPaths", "-prof", "gc", "-f", "1", "-wi", "3", "-i", "3", "-w", "1"));
        all.addAll(List.of("-r", "1"));
        all.addAll(options);
        Main.main(all.toArray(String[]::new));
    }

    private static void print(String decision, Seeds seeds) {
        System.out.println("| decision | setting | seeds | baseline | chosen | bound | met |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- |");
        all().stream()
                .filter(it -> decision.isEmpty() || it.name().equals(decision))
                .flatMap(it -> it.run(seeds).stream())
                .forEach(row -> System.out.println(row.text()));
    }
}
