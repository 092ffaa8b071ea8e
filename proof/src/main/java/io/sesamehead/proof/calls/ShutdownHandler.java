package io.sesamehead.proof.calls;

import io.sesamehead.coordination.drain.ShutdownPhase;
import io.sesamehead.coordination.drain.ShutdownProgress;
import io.sesamehead.coordination.drain.ShutdownSequence;
import io.sesamehead.proof.Mechanism;

/** Runs the shutdown phases of a daemon after a stop signal. */
final class ShutdownHandler {
    private static final long POLL_INTERVAL_MILLIS = 20;

    private final CallSimulation simulation;
    private final SimulatedDaemon daemon;
    private final ControlTasks controlTasks;
    private final ShutdownSequence shutdownSequence;
    private boolean announced;
    private boolean leaseReleased;
    private long signalMillis;
    private int signals;

    ShutdownHandler(CallSimulation simulation, SimulatedDaemon daemon, ControlTasks controlTasks) {
        this.simulation = simulation;
        this.daemon = daemon;
        this.controlTasks = controlTasks;
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
        simulation.checker().stopSignalled(daemon);
        daemon.tables().inFlight.stop();
        daemon.tables().admission.close();
        advance();
    }

    private void advance() {
        switch (shutdownSequence.phase()) {
            case ANNOUNCE -> announced = true;
            case LEASE_BACK -> leaseReleased = leaseReleased || controlTasks.releaseLease();
            default -> {
                // The other phases only wait.
            }
        }
        int open = daemon.enabled(Mechanism.WAIT_FOR_IN_FLIGHT)
                ? daemon.tables().inFlight.size()
                : 0;
        if (shutdownSequence.advance(now(), new ShutdownProgress(announced, leaseReleased, open))
                == ShutdownPhase.EXIT) {
            exit();
        } else {
            daemon.process().after(POLL_INTERVAL_MILLIS, this::advance);
        }
    }

    private void exit() {
        boolean mayInterrupt = signals > 1 || now() - signalMillis >= DaemonTables.GRACE_MILLIS;
        simulation.checker().daemonExiting(daemon, mayInterrupt);
        daemon.openHandlers().forEach(CallHandler::interrupt);
        simulation.checker().daemonExited(daemon);
        simulation.restart(daemon);
    }

    private long now() {
        return daemon.process().nowMillis();
    }
}
