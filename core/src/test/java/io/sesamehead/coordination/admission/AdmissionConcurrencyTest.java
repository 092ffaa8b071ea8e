package io.sesamehead.coordination.admission;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.ClientAccount;
import io.sesamehead.state.RequestId;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/** Guards against interleavings in which a slot is assigned twice or leaks, or a call is lost. */
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
                .iterations(8)
                .invocationsPerIteration(100)
                .check(AdmissionConcurrencyTest.class);
    }

    /**
     * Guards against leaking a slot when the caller of a waiting call disconnects while that call is being admitted.
     */
    @Test
    void releaseDuringAdmissionFreesSlot() throws Exception {
        try (ExecutorService other = Executors.newSingleThreadExecutor()) {
            for (int round = 0; round < 2_000; round++) {
                Admission concurrent = new Admission(new AdmissionLimits(1, 1));
                concurrent.offer(new AdmissionCall(id(1), new ClientAccount("a"), 5, 1, 100), 0);
                concurrent.offer(new AdmissionCall(id(2), new ClientAccount("a"), 5, 1, 100), 0);
                concurrent.release(id(1), 0);
                CyclicBarrier start = new CyclicBarrier(2);
                Future<Integer> admitting = other.submit(() -> {
                    start.await();
                    return concurrent.next(0).map(AdmissionCall::priority).orElse(0);
                });
                start.await();

                assertThat(concurrent.release(id(2), 0)).isTrue();
                admitting.get();
                assertThat(concurrent.running() + concurrent.waiting()).isZero();
            }
        }
    }
}
