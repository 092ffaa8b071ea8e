package io.sesamehead.coordination.admission;

import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/** Guards against interleavings in which a slot is given twice, leaks, or a call is lost. */
@Param(name = "call", gen = IntGen.class, conf = "1:4")
public final class AdmissionConcurrencyTest {
    private final Admission admission = new Admission(new AdmissionLimits(1, 2));

    @Operation
    public String offer(@Param(name = "call") int call) {
        ClientAccount account = new ClientAccount("a" + call % 2);
        return admission
                .offer(new AdmissionCall(id(call), account, call, 1, 100 + call), call)
                .toString();
    }

    @Operation
    public boolean release(@Param(name = "call") int call) {
        return admission.release(id(call), 10);
    }

    @Operation
    public String next() {
        return admission.next(10).toString();
    }

    @Operation
    public String expire() {
        return admission.expire(102).toString();
    }

    @Operation
    public int running() {
        return admission.running();
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
                .check(AdmissionConcurrencyTest.class);
    }
}
