package io.sesamehead.coordination.drain;

import static org.assertj.core.api.Assertions.assertThat;

import io.sesamehead.state.VmId;
import org.junit.jupiter.api.Test;

/** Guards against new work for a leaving upstream and against a stop that interrupts calls or does not end. */
final class DrainTest {
    private static final VmId VM = new VmId("vm1");
    private static final ShutdownProgress NOTHING_DONE = new ShutdownProgress(false, false, 3);
    private static final ShutdownProgress CALLS_OPEN = new ShutdownProgress(true, true, 3);

    private final DrainTable drain = new DrainTable();
    private final ShutdownSequence shutdown = new ShutdownSequence(30_000);

    @Test
    void staysLeavingUntilNoSourceReportsIt() {
        assertThat(drain.observe(10, VM, LeavingSource.UPSTREAM_STATUS, true)).isTrue();
        drain.observe(20, VM, LeavingSource.VM_LIST, false);
        assertThat(drain.leaving()).as("the list lags").containsExactly(VM);
        assertThat(drain.observe(900, VM, LeavingSource.VM_LIST, true)).isFalse();
        assertThat(drain.leavingSinceMillis(VM)).hasValue(10);
        drain.observe(950, VM, LeavingSource.UPSTREAM_STATUS, false);
        assertThat(drain.isLeaving(VM)).isTrue();
        drain.observe(990, VM, LeavingSource.VM_LIST, false);
        assertThat(drain.isLeaving(VM)).isFalse();
    }

    @Test
    void runsPhasesInOrderAndWaitsForCalls() {
        assertThat(shutdown.advance(0, NOTHING_DONE)).isEqualTo(ShutdownPhase.RUNNING);
        assertThat(shutdown.signal(0)).isEqualTo(ShutdownPhase.ANNOUNCE);
        assertThat(shutdown.advance(10, NOTHING_DONE)).isEqualTo(ShutdownPhase.ANNOUNCE);
        assertThat(shutdown.advance(20, new ShutdownProgress(true, false, 3))).isEqualTo(ShutdownPhase.LEASE_BACK);
        assertThat(shutdown.advance(30, CALLS_OPEN)).isEqualTo(ShutdownPhase.FINISH_CALLS);
        assertThat(shutdown.advance(20_000, CALLS_OPEN)).isEqualTo(ShutdownPhase.FINISH_CALLS);
        ShutdownSequence signaledTwice = new ShutdownSequence(30_000);
        signaledTwice.signal(0);
        assertThat(signaledTwice.signal(100)).as("second signal").isEqualTo(ShutdownPhase.EXIT);
        assertThat(shutdown.advance(20_100, new ShutdownProgress(true, true, 0)))
                .isEqualTo(ShutdownPhase.EXIT);
    }

    @Test
    void phasesTimeOutWithoutPeersOrStore() {
        shutdown.signal(0);
        assertThat(shutdown.advance(1_000, NOTHING_DONE)).isEqualTo(ShutdownPhase.LEASE_BACK);
        assertThat(shutdown.advance(3_000, NOTHING_DONE)).isEqualTo(ShutdownPhase.FINISH_CALLS);
        assertThat(shutdown.advance(30_000, NOTHING_DONE)).isEqualTo(ShutdownPhase.EXIT);
    }
}
