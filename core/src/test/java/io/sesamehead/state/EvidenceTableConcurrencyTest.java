package io.sesamehead.state;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/**
 * Guards against interleavings of probes and peer updates in which older evidence replaces newer or a change is not
 * pushed. Uses stress testing, because the model checker reports the scan of a sparse hash map as an infinite loop.
 */
@Param(name = "time", gen = IntGen.class, conf = "1:3")
public final class EvidenceTableConcurrencyTest {
    private static final VmId VM = new VmId("vm-1");
    private static final long NOW_MILLIS = 10;

    private final EvidenceTable table = new EvidenceTable();

    @Operation
    public boolean recordReport(@Param(name = "time") int time) {
        return table.record(new Evidence.Reported(report(time), time));
    }

    @Operation
    public boolean recordUnreachable(@Param(name = "time") int time) {
        return table.record(new Evidence.Unreachable(VM, time));
    }

    @Operation
    public String merge(@Param(name = "time") int time) {
        AgedEvidence aged = new AgedEvidence(VM, Optional.of(report(time)), NOW_MILLIS - time);
        return table.merge(NOW_MILLIS, new DaemonId("d-2"), ImmutableList.of(aged))
                .toString();
    }

    @Operation
    public String takeChanged() {
        return table.takeChanged(NOW_MILLIS).toString();
    }

    @Operation
    public String evidence() {
        return table.evidence(VM).toString();
    }

    private static MemberReport report(int engine) {
        return new MemberReport(
                VM, new Incarnation(engine), Optional.empty(), Epoch.NONE, EngineState.IDLE, Optional.empty(), 0, 0, 0);
    }

    @Test
    void operationsAreLinearizable() {
        new StressOptions()
                .threads(2)
                .actorsPerThread(2)
                .actorsBefore(1)
                .actorsAfter(1)
                .iterations(6)
                .invocationsPerIteration(500)
                .check(EvidenceTableConcurrencyTest.class);
    }
}
