package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.drain.ShutdownPhase;
import io.sesamehead.coordination.drain.ShutdownProgress;
import io.sesamehead.daemon.protocol.PeerMessages;
import io.sesamehead.daemon.transport.Broadcaster;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/** Carries out the phases of a stopping daemon on the thread that waits for the stop. */
final class ShutdownTask {
    private static final long STEP_MILLIS = 20;

    /** Time for the answers of calls that were ended to reach their callers. */
    private static final long LAST_ANSWERS_MILLIS = 1_000;

    private final DaemonTables tables;
    private final Broadcaster broadcast;
    private final LeaseTask lease;
    private final ControllerTask controller;
    private final CallRuntime calls;
    private final IncomingForwards forwards;
    private final LongSupplier clock;
    private final CountDownLatch asked = new CountDownLatch(1);
    private boolean announced;
    private boolean leaseReturned;

    ShutdownTask(
            DaemonTables tables,
            Broadcaster broadcast,
            LeaseTask lease,
            ControllerTask controller,
            CallRuntime calls,
            IncomingForwards forwards,
            LongSupplier clock) {
        this.tables = tables;
        this.broadcast = broadcast;
        this.lease = lease;
        this.controller = controller;
        this.calls = calls;
        this.forwards = forwards;
        this.clock = clock;
    }

    void requestStop() {
        ShutdownPhase phase = tables.shutdown().signal(clock.getAsLong());
        Logger.info("daemon: stop signal received, phase {}", phase);
        asked.countDown();
    }

    void await() {
        try {
            asked.await();
            ShutdownPhase phase = step();
            while (phase != ShutdownPhase.EXIT) {
                TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
                phase = step();
            }
            endCalls();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endCalls() throws InterruptedException {
        calls.stopAccepting();
        calls.endCalls();
        long endMillis = clock.getAsLong() + LAST_ANSWERS_MILLIS;
        while (openCalls() > 0 && clock.getAsLong() < endMillis) {
            TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
        }
        Logger.info("daemon: stopped with {} open calls", openCalls());
    }

    private int openCalls() {
        return calls.openCalls() + forwards.openCalls();
    }

    private ShutdownPhase step() {
        switch (tables.shutdown().phase()) {
            case ANNOUNCE -> {
                broadcast.sendOnAllConnections(PeerMessages.leaving(tables.self()));
                announced = true;
            }
            case LEASE_BACK -> leaseReturned = leaseReturned || lease.release(controller.ordersInFlight());
            case FINISH_CALLS -> calls.stopAccepting();
            case RUNNING, EXIT -> {
                // Nothing is to be done but to wait.
            }
        }
        ShutdownProgress progress = new ShutdownProgress(announced, leaseReturned, openCalls());
        return tables.shutdown().advance(clock.getAsLong(), progress);
    }
}
