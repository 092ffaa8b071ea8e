package io.sesamehead.cli.report;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the burn rates on which operators base their decision to intervene. */
class BurnCalculatorTest {
    private static final ServiceLevelKey KEY = new ServiceLevelKey("assistant", "shop-1");
    private static final long MINUTE_MILLIS = 60_000;
    private static final BurnCalculator CALCULATOR = new BurnCalculator(new Objectives(0.999, 0.95, 0.95));

    @TempDir
    Path directory;

    /** 20 bad calls out of 1,000 with an objective of 99.9% consume the budget 20 times as fast as allowed. */
    @Test
    void dividesBadFractionByAllowedFraction() {
        BurnReport.Line line =
                CALCULATOR.report(List.of(sample(0, "a", 1000, 20))).lines().getFirst();
        assertThat(line.fastBurn()).isCloseTo(20, within(1e-9));
        assertThat(line.remainingBudget()).isCloseTo(-19, within(1e-9));
        assertThat(line.verdict()).isEqualTo("fast burn");
    }

    /** Bad calls that ended ten minutes ago must not keep the fast burn alert active. */
    @Test
    void doesNotReportFastBurnThatEnded() {
        List<Sample> samples = List.of(
                sample(0, "a", 0, 0), sample(10, "a", 1000, 50), sample(15, "a", 1500, 50), sample(20, "a", 2000, 50));
        BurnReport.Line line = CALCULATOR.report(samples).lines().getFirst();
        assertThat(line.burn().get(BurnWindow.FIVE_MINUTES)).isZero();
        assertThat(line.burn().get(BurnWindow.ONE_HOUR)).isCloseTo(25, within(1e-9));
        assertThat(line.verdict()).isEqualTo("slow burn");
    }

    /** The counters of a restarted daemon start at 0 again; they must be added, not subtracted. */
    @Test
    void addsCountersOfRestartedDaemon() {
        List<Sample> samples = List.of(sample(0, "a", 1000, 10), sample(1, "a", 1100, 11), sample(2, "b", 50, 1));
        ServiceLevelCounters counters =
                CALCULATOR.report(samples).lines().getFirst().counters().get(BurnWindow.ONE_HOUR);
        assertThat(counters.calls()).isEqualTo(150);
        assertThat(counters.bad()).isEqualTo(2);
    }

    /**
     * For a daemon that did not respond at the start of the window, only calls since its previous sample may be
     * counted, not all calls since its start.
     */
    @Test
    void usesOlderBaselineOfUnresponsiveDaemon() {
        Sample unresponsive = new Sample(70 * MINUTE_MILLIS, ImmutableMap.of(), 1, FleetCounts.UNKNOWN);
        List<Sample> samples = List.of(sample(0, "a", 1000, 10), unresponsive, sample(130, "a", 1100, 11));
        ServiceLevelCounters counters =
                CALCULATOR.report(samples).lines().getFirst().counters().get(BurnWindow.ONE_HOUR);
        assertThat(counters.calls()).isEqualTo(100);
    }

    @Test
    void integratesDowntimeAndStrandedTimeBetweenSamples() {
        List<Sample> samples = List.of(
                fleet(0, new FleetCounts(4, 3, 20, 6)),
                fleet(2, new FleetCounts(4, 4, 20, 4)),
                fleet(3, FleetCounts.UNKNOWN));
        BurnReport report = CALCULATOR.report(samples);
        assertThat(report.groupDowntimeSeconds().get(BurnWindow.ONE_HOUR)).isEqualTo(120);
        assertThat(report.strandedAcceleratorSeconds().get(BurnWindow.ONE_HOUR)).isEqualTo(2 * 60 * 6 + 60 * 4);
    }

    /** Client errors must not consume the error budget of the service. */
    @Test
    void excludesClientErrors() throws IOException {
        ObjectMapper json = new ObjectMapper();
        String status =
                "{\"burn\":[{\"service\":\"assistant\",\"account\":\"shop-1\",\"whole\":5,\"lateFirstTokens\":1,"
                        + "\"lateTokens\":2,\"errors\":{\"bad-json\":7,\"no-group\":3,\"upstream-lost\":1}}]}";
        String metrics = "{\"histograms\":{\"calls.assistant.shop-1.first-token-millis\":{\"count\":5},"
                + "\"calls.assistant.shop-1.between-tokens-millis\":{\"count\":90}}}";
        ImmutableMap<ServiceLevelKey, ServiceLevel> levels =
                ServiceLevelReader.read(json.readTree(status), json.readTree(metrics));
        assertThat(levels.get(KEY).counters()).isEqualTo(new ServiceLevelCounters(9, 4, 5, 1, 90, 2));
    }

    @Test
    void readsBackAppendedSamples() throws IOException {
        Path file = directory.resolve("history.jsonl");
        assertThat(SampleHistory.read(file, 0)).isEmpty();
        Sample first = sample(1, "a", 10, 1);
        Sample second = fleet(2, new FleetCounts(4, 3, 20, 6));
        SampleHistory.append(file, first);
        SampleHistory.append(file, second);
        assertThat(SampleHistory.read(file, 0)).isEqualTo(ImmutableList.of(first, second));
    }

    /** The page must not depend on other files and must escape account names that contain markup. */
    @Test
    void rendersSelfContainedEscapedPage() throws IOException {
        ServiceLevelKey markupKey = new ServiceLevelKey("assistant", "<script>");
        Sample sample = new Sample(
                0,
                ImmutableMap.of("a", ImmutableMap.of(markupKey, new ServiceLevel(ServiceLevelCounters.NONE, 1, 2))),
                0,
                new FleetCounts(4, 4, 20, 4));
        String page = HtmlReportRenderer.render(CALCULATOR.report(List.of(sample)), List.of(sample));
        assertThat(page)
                .contains("data:image/png;base64,")
                .contains("&lt;script&gt;")
                .doesNotContain("<script", "http:");
    }

    private static Sample sample(long minute, String incarnation, long calls, long bad) {
        ServiceLevel level = new ServiceLevel(new ServiceLevelCounters(calls, bad, 0, 0, 0, 0), 0, 0);
        return new Sample(
                minute * MINUTE_MILLIS,
                ImmutableMap.of(incarnation, ImmutableMap.of(KEY, level)),
                0,
                FleetCounts.UNKNOWN);
    }

    private static Sample fleet(long minute, FleetCounts counts) {
        return new Sample(minute * MINUTE_MILLIS, ImmutableMap.of(), 0, counts);
    }
}
