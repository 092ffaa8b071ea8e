package io.sesamehead.coordination.request;

import io.sesamehead.coordination.request.InFlightTable.OpenCall;
import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import io.sesamehead.state.ServiceName;
import java.util.Optional;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/** Guards against interleavings in which a joined call is lost, a key is held twice, or a stop misses a call. */
@Param(name = "call", gen = IntGen.class, conf = "1:4")
public final class InFlightTableConcurrencyTest {
    private static final Fingerprint SAME = new Fingerprint("same");

    private final InFlightTable table = new InFlightTable();

    @Operation
    public String open(@Param(name = "call") int call) {
        Optional<String> order = Optional.of("orders.k" + call % 2);
        return table.open(new OpenCall(id(call), new ClientAccount("a"), new ServiceName("orders"), order, SAME, 0))
                .toString();
    }

    @Operation
    public String close(@Param(name = "call") int call) {
        return table.close(id(call)).toString();
    }

    @Operation
    public String cancel(@Param(name = "call") int call) {
        return table.cancel(id(call)).toString();
    }

    @Operation
    public boolean stopAndAskDrained() {
        table.stop();
        return table.isDrained();
    }

    @Operation
    public int size() {
        return table.size();
    }

    private static RequestId id(int call) {
        return new RequestId("r" + call);
    }

    @Test
    void operationsAreLinearizable() {
        new ModelCheckingOptions()
                .threads(2)
                .actorsPerThread(2)
                .actorsBefore(2)
                .actorsAfter(1)
                .iterations(10)
                .invocationsPerIteration(100)
                .check(InFlightTableConcurrencyTest.class);
    }
}
