package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.sesamehead.cli.load.CallOutcome;
import io.sesamehead.cli.load.ExpectedTokens;
import io.sesamehead.cli.load.LoadGenerator;
import io.sesamehead.cli.load.LoadSettings;
import io.sesamehead.cli.load.LoadStatistics;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** {@code load}: sends a bounded load and verifies every answer. */
@Parameters(commandDescription = "Send a bounded load, check every answer and classify every call")
public final class LoadCommand implements Command {
    private static final int MAX_SECONDS = 3600;
    private static final int MAX_CALLS_PER_SECOND = 5000;
    private static final int MAX_CALLS = 1_000_000;
    private static final int MAX_CONCURRENT = 4000;

    @Parameter(names = "--daemons", required = true, description = "Caller addresses, ip:port, separated by commas")
    private List<String> daemons;

    @Parameter(names = "--accounts", description = "Client accounts that take turns")
    private List<String> accounts = List.of("shop-1", "shop-2", "press-1");

    @Parameter(names = "--model-service", description = "Model service to call; empty for none")
    private String modelService = "assistant";

    @Parameter(names = "--order-service", description = "Plain service that takes the orders; empty for none")
    private String orderService = "orders";

    @Parameter(names = "--seconds", description = "Length of the run, at most " + MAX_SECONDS)
    private int seconds = 20;

    @Parameter(names = "--rate", description = "Mean arrivals per second, at most " + MAX_CALLS_PER_SECOND)
    private double rate = 40;

    @Parameter(names = "--max-calls", description = "Most calls of the run, at most " + MAX_CALLS)
    private int maxCalls = 10_000;

    @Parameter(names = "--concurrent", description = "Most calls open at one time, at most " + MAX_CONCURRENT)
    private int concurrent = 500;

    @Parameter(names = "--order-share", description = "Share of orders among the calls, 0 to 1")
    private double orderShare = 0.4;

    @Parameter(names = "--repeat-share", description = "Share of orders that repeat an earlier key, 0 to 1")
    private double repeatShare = 0.25;

    @Parameter(names = "--stream-share", description = "Share of completions that are streamed, 0 to 1")
    private double streamShare = 0.8;

    @Parameter(names = "--tokens", description = "Most tokens of a completion")
    private int tokens = 40;

    @Parameter(names = "--deadline-millis", description = "Time allowed for a call with all its attempts")
    private long deadlineMillis = 20_000;

    @Parameter(names = "--stall-millis", description = "Silence after which a caller gives up on a daemon")
    private long stallMillis = 3000;

    @Parameter(names = "--attempts", description = "Most attempts of a call, each at another daemon")
    private int attempts = 6;

    @Parameter(names = "--seed", description = "Seed of arrival times and mix")
    private long seed = 1;

    @Parameter(names = "--executions", description = "URL that counts executions by key, checked after the run")
    private String executions = "";

    @Parameter(names = "--result", description = "File for the result as JSON")
    private String result = "";

    @Parameter(names = "--json", description = "Print the result as JSON")
    private boolean json;

    private final ExpectedTokens expectedTokens;
    private final JsonSource source;

    /**
     * Creates the command.
     *
     * @param expectedTokens source of the expected answers to completions
     * @param source reads the number of executions by key
     */
    public LoadCommand(ExpectedTokens expectedTokens, JsonSource source) {
        this.expectedTokens = expectedTokens;
        this.source = source;
    }

    @Override
    public ExitCode run(Console console) throws CommandException, InterruptedException {
        LoadSettings settings = settings();
        LoadGenerator generator = new LoadGenerator(settings, expectedTokens);
        try {
            generator.run("load-" + Long.toHexString(System.currentTimeMillis()));
            return report(generator, console);
        } catch (IOException e) {
            throw new CommandException(ExitCode.FAILED, "load: " + e.getMessage());
        }
    }

    private LoadSettings settings() throws CommandException {
        List<String> errors = new ArrayList<>();
        require(errors, seconds >= 1 && seconds <= MAX_SECONDS, "--seconds must be 1 to " + MAX_SECONDS);
        require(errors, rate > 0 && rate <= MAX_CALLS_PER_SECOND, "--rate must be above 0 and at most 5000");
        require(errors, maxCalls >= 1 && maxCalls <= MAX_CALLS, "--max-calls must be 1 to " + MAX_CALLS);
        require(errors, concurrent >= 1 && concurrent <= MAX_CONCURRENT, "--concurrent must be 1 to 4000");
        require(
                errors,
                isFraction(orderShare) && isFraction(repeatShare) && isFraction(streamShare),
                "shares must be 0 to 1");
        require(errors, tokens >= 1, "--tokens must be at least 1");
        require(errors, deadlineMillis >= 1 && deadlineMillis <= 600_000, "--deadline-millis must be 1 to 600000");
        require(errors, stallMillis >= 1, "--stall-millis must be at least 1");
        require(errors, attempts >= 1, "--attempts must be at least 1");
        require(errors, !(modelService.isEmpty() && orderService.isEmpty()), "no service is named");
        if (!errors.isEmpty()) {
            throw new CommandException(ExitCode.WRONG_USAGE, ImmutableList.copyOf(errors));
        }
        return new LoadSettings(
                ImmutableList.copyOf(daemons),
                ImmutableList.copyOf(accounts),
                modelService,
                orderService,
                seconds,
                rate,
                maxCalls,
                concurrent,
                orderShare,
                repeatShare,
                streamShare,
                tokens,
                deadlineMillis,
                stallMillis,
                attempts,
                seed);
    }

    private static boolean isFraction(double value) {
        return value >= 0 && value <= 1;
    }

    private static void require(List<String> errors, boolean valid, String error) {
        if (!valid) {
            errors.add(error);
        }
    }

    private ExitCode report(LoadGenerator generator, Console console)
            throws IOException, CommandException, InterruptedException {
        LoadStatistics statistics = generator.statistics();
        LoadStatistics.ExecutionCheck executionCheck = checkExecutions(statistics);
        ObjectNode node = statistics.toJson();
        node.set("latency", generator.latencies().toJson());
        ObjectNode keys = node.putObject("keys");
        keys.put("used", executionCheck.keys());
        keys.put("doubled", executionCheck.duplicates());
        keys.put("wholeButNotExecuted", executionCheck.missing());
        keys.put("executedThoughNotRun", executionCheck.executedThoughNotRun());
        if (!result.isEmpty()) {
            Files.writeString(Path.of(result), node.toPrettyString() + "\n");
        }
        if (json) {
            console.print(node.toPrettyString());
        } else {
            printTables(node, console);
            console.print(summary(statistics, executionCheck));
        }
        boolean passed = executionCheck.passed()
                && statistics.unaccountedCalls() == 0
                && statistics.count(CallOutcome.TORN) == 0;
        return passed ? ExitCode.DONE : ExitCode.FAILED;
    }

    private LoadStatistics.ExecutionCheck checkExecutions(LoadStatistics statistics)
            throws IOException, CommandException, InterruptedException {
        if (executions.isEmpty()) {
            return new LoadStatistics.ExecutionCheck(0, 0, 0, 0);
        }
        ImmutableMap.Builder<String, Long> counts = ImmutableMap.builder();
        source.read(executions)
                .path("byKey")
                .fields()
                .forEachRemaining(
                        field -> counts.put(field.getKey(), field.getValue().asLong()));
        return statistics.compare(counts.buildOrThrow());
    }

    private static void printTables(ObjectNode node, Console console) {
        Table accountsTable = new Table("ACCOUNT", "WHOLE", "NOT RUN", "UNKNOWN", "TORN", "FAILED", "WRONG");
        node.path("accounts").fields().forEachRemaining(entry -> {
            List<Object> cells = new ArrayList<>();
            cells.add(entry.getKey());
            for (CallOutcome callClass : CallOutcome.values()) {
                cells.add(entry.getValue().path(callClass.fieldName()).asLong());
            }
            accountsTable.row(cells.toArray());
        });
        accountsTable.print(console);
        console.print("");
        Table latency = new Table("LATENCY", "COUNT", "P50 MS", "P95 MS", "P99 MS", "MAX MS");
        node.path("latency")
                .fields()
                .forEachRemaining(entry -> latency.row(
                        entry.getKey().replace("Millis", ""),
                        entry.getValue().path("count").asLong(),
                        millis(entry.getValue().path("p50").asDouble()),
                        millis(entry.getValue().path("p95").asDouble()),
                        millis(entry.getValue().path("p99").asDouble()),
                        millis(entry.getValue().path("max").asDouble())));
        latency.print(console);
        console.print("");
        node.path("reasons")
                .fields()
                .forEachRemaining(entry ->
                        console.print(entry.getValue().asLong() + " calls not whole, last attempt: " + entry.getKey()));
    }

    private static String millis(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }

    private static String summary(LoadStatistics statistics, LoadStatistics.ExecutionCheck executionCheck) {
        return String.format(
                Locale.ROOT,
                "%d sent, %d whole, %d not run, %d unknown, %d torn, %d doubled",
                statistics.sent(),
                statistics.count(CallOutcome.WHOLE),
                statistics.count(CallOutcome.NOT_RUN),
                statistics.count(CallOutcome.UNKNOWN),
                statistics.count(CallOutcome.TORN),
                executionCheck.duplicates());
    }
}
