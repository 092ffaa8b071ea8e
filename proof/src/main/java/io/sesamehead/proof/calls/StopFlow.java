package io.sesamehead.proof.calls;

import io.sesamehead.coordination.drain.ShutdownPhase;
import io.sesamehead.coordination.drain.ShutdownProgress;
import io.sesamehead.coordination.drain.ShutdownSequence;
import io.sesamehead.proof.Mechanism;

/** Carries out the phases of a stopping daemon. */
final class StopFlow {
    private static final long STEP_MILLIS = 20;

    private final World world;
    private final CallsDaemon daemon;
    private final ControlTasks control;
    private final ShutdownSequence shutdown;
    private boolean announced;
    private boolean leaseReturned;
    private long signalMillis;
    private int signals;

    StopFlow(World world, CallsDaemon daemon, ControlTasks control) {
        this.world = world;
        this.daemon = daemon;
        this.control = control;
        this.shutdown = daemon.tables().shutdown;
    }

    boolean stopping() {
        return signals > 0;
    }

    void signal() {
        signals++;
        shutdown.signal(now());
        if (signals > 1) {
            return;
        }
        signalMillis = now();
        world.checks().stopSignalled(daemon);
        daemon.tables().inFlight.stop();
        daemon.tables().admission.close();
        step();
    }

    private void step() {
        switch (shutdown.phase()) {
            case ANNOUNCE -> announced = true;
            case LEASE_BACK -> leaseReturned = leaseReturned || control.giveBack();
            default -> {
                // Nothing is to be done but to wait.
            }
        }
        int open = daemon.uses(Mechanism.WAIT_FOR_IN_FLIGHT)
                ? daemon.tables().inFlight.size()
                : 0;
        if (shutdown.advance(now(), new ShutdownProgress(announced, leaseReturned, open)) == ShutdownPhase.EXIT) {
            exit();
        } else {
            daemon.process().after(STEP_MILLIS, this::step);
        }
    }

    private void exit() {
        boolean mayInterrupt = signals > 1 || now() - signalMillis >= DaemonTables.GRACE_MILLIS;
        world.checks().exiting(daemon, mayInterrupt);
        daemon.openFlows().forEach(CallFlow::interrupt);
        world.checks().exited(daemon);
        world.restartAfterExit(daemon);
    }

    private long now() {
        return daemon.process().nowMillis();
    }
}
