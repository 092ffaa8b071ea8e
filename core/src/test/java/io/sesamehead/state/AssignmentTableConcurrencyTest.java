package io.sesamehead.state;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/** Guards against interleavings in which an older assignment replaces a newer one. */
@Param(name = "number", gen = IntGen.class, conf = "1:3")
public final class AssignmentTableConcurrencyTest {
    private static final FailureDomain DOMAIN = new FailureDomain("cebu");

    private final AssignmentTable table = new AssignmentTable();

    @Operation
    public String offer(@Param(name = "number") int epoch, @Param(name = "number") int version) {
        return table.offer(new GroupAssignment(DOMAIN, epoch, version, 1, ImmutableList.of(), ImmutableSet.of()))
                .toString();
    }

    @Operation
    public String assignment() {
        return table.assignment(DOMAIN).toString();
    }

    @Operation
    public int groups() {
        return table.groups(DOMAIN, new ServiceName("assistant")).size();
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
                .check(AssignmentTableConcurrencyTest.class);
    }
}
