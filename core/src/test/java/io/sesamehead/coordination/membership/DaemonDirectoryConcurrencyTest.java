package io.sesamehead.coordination.membership;

import io.sesamehead.state.DaemonId;
import io.sesamehead.state.FailureDomain;
import io.sesamehead.state.Incarnation;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Guards against interleavings of heartbeats and directory news in which a daemon is lost or listed twice. */
@Param(name = "number", gen = IntGen.class, conf = "1:3")
public final class DaemonDirectoryConcurrencyTest {
    private static final FailureDomain DOMAIN = new FailureDomain("cebu");

    private final DaemonDirectory directory = new DaemonDirectory(entry(0, 1), 3_000, 15_000);

    @Operation
    public String recordMessage(@Param(name = "number") int daemon, @Param(name = "number") int incarnation) {
        return directory.recordMessage(10, entry(daemon, incarnation)).toString();
    }

    @Operation
    public String recordListed(@Param(name = "number") int daemon, @Param(name = "number") int incarnation) {
        return directory.recordListed(entry(daemon, incarnation)).toString();
    }

    @Operation
    public String live() {
        return directory.liveIds(10, DOMAIN).toString();
    }

    @Operation
    public String known(@Param(name = "number") int daemon) {
        return directory.entry(new DaemonId("d-" + daemon)).toString();
    }

    private static DaemonEntry entry(int daemon, int incarnation) {
        return new DaemonEntry(
                new DaemonId("d-" + daemon), new Incarnation(incarnation), DOMAIN, "127.0.0.1:" + daemon, false);
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
                .check(DaemonDirectoryConcurrencyTest.class);
    }
}
