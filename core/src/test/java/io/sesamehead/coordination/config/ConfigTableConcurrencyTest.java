package io.sesamehead.coordination.config;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.sesamehead.state.AcceptedRelease;
import io.sesamehead.state.Generation;
import io.sesamehead.state.ReleaseNote;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/** Guards against interleavings of store and peer updates in which an older release replaces a newer one. */
@Param(name = "generation", gen = IntGen.class, conf = "1:3")
public final class ConfigTableConcurrencyTest {
    private final ConfigTable table = new ConfigTable();

    @Operation
    public String offerFromStore(@Param(name = "generation") int generation) {
        return table.offer(release(generation), ConfigSource.STORE).toString();
    }

    @Operation
    public String offerFromPeer(@Param(name = "generation") int generation) {
        return table.offer(release(generation), ConfigSource.PEER).toString();
    }

    @Operation
    public boolean reported(@Param(name = "generation") int generation) {
        return table.recordReported(new Generation(generation));
    }

    @Operation
    public long inForce() {
        return table.generation().value();
    }

    @Operation
    public long highestReported() {
        return table.highestReported().value();
    }

    private static AcceptedRelease release(int generation) {
        ReleaseNote note = new ReleaseNote(
                "note " + generation,
                ImmutableMap.of(),
                ImmutableMap.of(),
                60,
                new ReleaseNote.PolicySettings(0.5, "reload-proportional", 0),
                ImmutableSet.of());
        return new AcceptedRelease(new Generation(generation), note, ImmutableSet.of());
    }

    @Test
    void operationsAreLinearizable() {
        new ModelCheckingOptions()
                .threads(2)
                .actorsPerThread(2)
                .actorsBefore(1)
                .actorsAfter(1)
                .iterations(6)
                .invocationsPerIteration(100)
                .check(ConfigTableConcurrencyTest.class);
    }
}
