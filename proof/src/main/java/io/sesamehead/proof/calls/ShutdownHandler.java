package io.sesamehead.proof.calls;

import io.sesamehead.coordination.drain.ShutdownSequence;
import io.sesamehead.coordination.drain.ShutdownPhase;
import io.sesamehead.coordination.drain.ShutdownProgress;
import io.sesamehead.proof.Mechanism;

/** Carries out the phases of a stopping daemon. */
final class ShutdownHandler {
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final CallSimulation world;
    private final SimulatedDaemon daemon;
    private final ControlTasks control;
    private final ShutdownSequence shutdownSequence;
    private boolean announced;
    private boolean leaseReleased;
    private long signalMillis;
    private int signals;

    ShutdownHandler(CallSimulation world, SimulatedDaemon daemon, ControlTasks control) {
        this.world = world;
        this.daemon = daemon;
        this.control = control;
        this.shutdownSequence = daemon.tables().shutdownSequence;
    }

    boolean stopping() {
        return signals > 0;
    }

    void signal() {
        signals++;
        shutdownSequence.signal(now());
        if (signals > 1) {
            return;
        }
        signalMillis = now();
        world.checker().stopSignalled(daemon);
        daemon.tables().inFlight.stop();
        daemon.tables().admission.close();
        advance();
    }

    private void advance() {
        switch (shutdownSequence.phase()) {
            case ANNOUNCE -> announced = true;
            case LEASE_BACK -> leaseReleased = leaseReleased || control.releaseLease();
            default -> {
                // Nothing is to be done but to wait.
            }
        }
        int open = daemon.enabled(Mechanism.WAIT_FOR_IN_FLIGHT)
                ? daemon.tables().inFlight.size()
                : 0;
        if (shutdownSequence.advance(now(), new ShutdownProgress(announced, leaseReleased, open)) == ShutdownPhase.EXIT) {
            exit();
        } else {
            daemon.process().after(POLL_INTERVAL_MILLIS, this::advance);
        }
    }

    private void exit() {
        boolean mayInterrupt = signals > 1 || now() - signalMillis >= DaemonTables.GRACE_MILLIS;
        world.checker().daemonExiting(daemon, mayInterrupt);
        daemon.openHandlers().forEach(CallHandler::interrupt);
        world.checker().daemonExited(daemon);
        world.restart(daemon);
    }

    private long now() {
        return daemon.process().nowMillis();
    }
}
