package io.sesamehead.coordination.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.coordination.request.InFlightTable.OpenCall;
import io.sesamehead.coordination.request.InFlightTable.OpenResult;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.ServiceName;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class InFlightTableTest {
    private final InFlightTable table = new InFlightTable();

    private static RequestId id(String id) {
        return new RequestId(id);
    }

    private static OpenCall keyed(String id, String body) {
        return new OpenCall(
                id(id),
                new ClientAccount("a"),
                new ServiceName("orders"),
                Optional.of("orders.k"),
                Fingerprint.of("POST", body, new byte[0]),
                0);
    }

    /** Guards against two dispatches of one key by two calls that arrive together. */
    @Test
    void repeatedKeyJoinsTheOpenCall() {
        table.open(keyed("first", "x"));

        assertThat(table.open(keyed("second", "x"))).isEqualTo(new OpenResult.Joined(id("first")));
        assertThat(table.open(keyed("third", "y"))).isEqualTo(new OpenResult.KeyReused());
        assertThat(table.open(keyed("second", "x"))).isEqualTo(new OpenResult.IdInUse());
        assertThat(table.close(id("first")).orElseThrow().joined()).containsExactly(id("second"));
        assertThat(table.close(id("first"))).isEmpty();
        assertThat(table.open(keyed("fourth", "y"))).isEqualTo(new OpenResult.Opened());
    }

    /** Guards against cancelling an attempt for whose answer a joined call still waits. */
    @Test
    void attemptIsCancelledOnlyWhenNobodyWaits() {
        table.open(keyed("first", "x"));
        table.open(keyed("second", "x"));

        assertThat(table.cancel(id("first"))).isEmpty();
        assertThat(table.cancel(id("second"))).hasValue(id("first"));
        assertThat(table.cancel(id("unknown"))).isEmpty();
        assertThat(table.findOrder("orders.k")).isPresent();
    }

    @Test
    void stopRefusesNewCallsAndWaitsForOpenOnes() {
        table.open(keyed("first", "x"));
        table.stop();

        assertThat(table.open(keyed("second", "x"))).isEqualTo(new OpenResult.Stopping());
        assertThat(table.isDrained()).isFalse();
        table.close(id("first"));
        assertThat(table.isDrained()).isTrue();
    }
}
