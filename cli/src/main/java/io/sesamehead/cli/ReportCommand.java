package io.sesamehead.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.google.common.collect.ImmutableList;
import io.sesamehead.cli.report.BurnCalculator;
import io.sesamehead.cli.report.BurnReport;
import io.sesamehead.cli.report.HtmlReportRenderer;
import io.sesamehead.cli.report.JsonReportEncoder;
import io.sesamehead.cli.report.Objectives;
import io.sesamehead.cli.report.Sample;
import io.sesamehead.cli.report.SampleHistory;
import io.sesamehead.daemon.transport.PlatformClient;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** {@code report}: shows error budget burn by service and client account, group downtime and stranded accelerators. */
@Parameters(commandDescription = "Report service-level burn, group downtime and stranded accelerators")
public final class ReportCommand implements Command {
    private static final int MAX_SECONDS = 24 * 3600;

    @Parameter(names = "--history", description = "File that keeps samples from run to run, for the long windows")
    private String history = "";

    @Parameter(names = "--for", description = "Seconds to keep sampling before the report; 0 samples once")
    private int forSeconds;

    @Parameter(names = "--every", description = "Seconds between samples")
    private int everySeconds = 5;

    @Parameter(names = "--objective", description = "Promised share of calls that end with their whole answer")
    private double objective = 0.999;

    @Parameter(names = "--token-objective", description = "Promised share of tokens in time: first 1.3 s, next 50 ms")
    private double tokenObjective = 0.95;

    @Parameter(names = "--html", description = "File for the report as one self-contained page with plots")
    private String html = "";

    @Parameter(names = "--json", description = "Print JSON")
    private boolean json;

    @ParametersDelegate
    private final AdminOptions adminOptions = new AdminOptions();

    @ParametersDelegate
    private final PlatformOptions platformOptions = new PlatformOptions();

    private final JsonSource source;

    /**
     * Creates the command.
     *
     * @param source reads the admin ports of daemons
     */
    public ReportCommand(JsonSource source) {
        this.source = source;
    }

    @Override
    public ExitCode run(Console console) throws CommandException, InterruptedException {
        checkOptions();
        ImmutableList<String> addresses = adminOptions.addresses();
        Optional<PlatformClient> platform =
                platformOptions.isSet() ? Optional.of(platformOptions.open()) : Optional.empty();
        try {
            List<Sample> samples = samples(new SampleCollector(source, addresses, platform));
            if (samples.getLast().daemons().isEmpty()) {
                throw new CommandException(ExitCode.FAILED, "none of the daemons answers on its admin port");
            }
            BurnReport report =
                    new BurnCalculator(new Objectives(objective, tokenObjective, tokenObjective)).report(samples);
            print(report, samples, console);
            return ExitCode.DONE;
        } catch (IOException e) {
            throw new CommandException(ExitCode.FAILED, "report: " + e.getMessage());
        } finally {
            platform.ifPresent(PlatformClient::close);
        }
    }

    private void checkOptions() throws CommandException {
        if (forSeconds < 0 || forSeconds > MAX_SECONDS || everySeconds < 1) {
            throw new CommandException(
                    ExitCode.WRONG_USAGE, "--for must be 0 to " + MAX_SECONDS + " and --every at least 1");
        }
        if (!(objective > 0 && objective < 1 && tokenObjective > 0 && tokenObjective < 1)) {
            throw new CommandException(ExitCode.WRONG_USAGE, "objectives must be above 0 and below 1");
        }
    }

    private List<Sample> samples(SampleCollector collector) throws IOException, InterruptedException {
        List<Sample> samples = new ArrayList<>();
        if (!history.isEmpty()) {
            samples.addAll(SampleHistory.read(Path.of(history), System.currentTimeMillis()));
        }
        long endMillis = PlatformOptions.nowMillis() + forSeconds * 1000L;
        addSample(collector, samples);
        while (PlatformOptions.nowMillis() + everySeconds * 1000L <= endMillis) {
            Thread.sleep(everySeconds * 1000L);
            addSample(collector, samples);
        }
        return samples;
    }

    private void addSample(SampleCollector collector, List<Sample> samples) throws IOException, InterruptedException {
        Sample sample = collector.collect(System.currentTimeMillis());
        samples.add(sample);
        if (!history.isEmpty()) {
            SampleHistory.append(Path.of(history), sample);
        }
    }

    private void print(BurnReport report, List<Sample> samples, Console console) throws IOException {
        if (!html.isEmpty()) {
            Files.writeString(Path.of(html), HtmlReportRenderer.render(report, samples));
        }
        if (json) {
            console.print(JsonReportEncoder.encode(report).toPrettyString());
        } else {
            ReportTablePrinter.print(report, console);
        }
    }
}
