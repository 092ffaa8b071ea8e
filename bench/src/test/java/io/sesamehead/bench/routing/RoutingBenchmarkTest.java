package io.sesamehead.bench.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.bench.Seeds;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the stated target of the first token, with and without a straggler. */
final class RoutingBenchmarkTest {
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void firstTokenArrivesInTime(boolean straggler) {
        assertThat(RoutingBenchmark.measure(Choice.Routed::new, new Seeds(11, 13), straggler)
                        .firstTokenMillis())
                .isLessThanOrEqualTo(RoutingBenchmark.FIRST_TOKEN_MILLIS);
    }

    /** Guards against daemons that follow the same late report to one upstream, which queued calls behind each other. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void affinityCostsNoFirstTokenAgainstLeastConnections(boolean straggler) {
        Seeds seeds = new Seeds(11, 13);
        assertThat(RoutingBenchmark.measure(Choice.Routed::new, seeds, straggler)
                        .firstTokenMillis())
                .isLessThanOrEqualTo(RoutingBenchmark.measure(Choice.LeastOwn::new, seeds, straggler)
                        .firstTokenMillis());
    }
}
