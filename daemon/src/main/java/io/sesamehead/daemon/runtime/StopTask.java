package io.sesamehead.daemon.runtime;

import io.sesamehead.coordination.drain.StopPhase;
import io.sesamehead.coordination.drain.StopProgress;
import io.sesamehead.daemon.protocol.PeerMessages;
import io.sesamehead.daemon.transport.Broadcast;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.tinylog.Logger;

/** Carries out the phases of a stopping daemon on the thread that waits for the stop. */
final class StopTask {
    private static final long STEP_MILLIS = 20;

    private final DaemonTables tables;
    private final Broadcast broadcast;
    private final LeaseTask lease;
    private final ControllerTask controller;
    private final IntSupplier callsInFlight;
    private final LongSupplier clock;
    private final CountDownLatch asked = new CountDownLatch(1);
    private boolean announced;
    private boolean leaseReturned;

    StopTask(
            DaemonTables tables,
            Broadcast broadcast,
            LeaseTask lease,
            ControllerTask controller,
            IntSupplier callsInFlight,
            LongSupplier clock) {
        this.tables = tables;
        this.broadcast = broadcast;
        this.lease = lease;
        this.controller = controller;
        this.callsInFlight = callsInFlight;
        this.clock = clock;
    }

    void signal() {
        StopPhase phase = tables.shutdown().signal(clock.getAsLong());
        Logger.info("daemon: stop signal received, phase {}", phase);
        asked.countDown();
    }

    void await() {
        try {
            asked.await();
            StopPhase phase = step();
            while (phase != StopPhase.EXIT) {
                TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
                phase = step();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private StopPhase step() {
        switch (tables.shutdown().phase()) {
            case ANNOUNCE -> {
                broadcast.toAll(PeerMessages.leaving(tables.self()));
                announced = true;
            }
            case LEASE_BACK -> leaseReturned = leaseReturned || lease.giveBack(controller.ordersInFlight());
            case RUNNING, FINISH_CALLS, EXIT -> {
                // Nothing is to be done but to wait.
            }
        }
        StopProgress progress = new StopProgress(announced, leaseReturned, callsInFlight.getAsInt());
        return tables.shutdown().advance(clock.getAsLong(), progress);
    }
}
