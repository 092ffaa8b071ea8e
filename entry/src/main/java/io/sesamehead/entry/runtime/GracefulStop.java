package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.drain.StopSchedule;
import java.util.function.IntSupplier;

/** The planned stop of a daemon: answers open requests by {@link StopSchedule}, then ends the process. */
final class GracefulStop {
    private static final long CHECK_INTERVAL_MILLIS = 50;
    /**
     * Idle time after which a stopping daemon closes a connection, in milliseconds: no request is in flight by then.
     */
    private static final long IDLE_MILLIS = 400;

    private final Clocks clocks;
    private final long graceMillis;
    private final CallEnvironment environment;
    private final CallerServer callerServer;
    private final CallerServer peerServer;
    private final Readiness readiness;
    private final LeaseTask lease;
    private final IntSupplier ordersInFlight;
    private final EventLog log;
    private final EventLoopTasks tasks;
    private long startedAtMillis = -1;
    private boolean leaseReleased;

    /**
     * Creates a stop that has not begun.
     *
     * @param graceMillis time between the shutdown request and the forced kill, in milliseconds
     * @param ordersInFlight number of orders of this daemon that have not been answered
     */
    GracefulStop(
            Clocks clocks,
            long graceMillis,
            CallEnvironment environment,
            CallerServer callerServer,
            CallerServer peerServer,
            Readiness readiness,
            LeaseTask lease,
            IntSupplier ordersInFlight,
            EventLog log,
            EventLoopTasks tasks) {
        this.clocks = clocks;
        this.graceMillis = graceMillis;
        this.environment = environment;
        this.callerServer = callerServer;
        this.peerServer = peerServer;
        this.readiness = readiness;
        this.lease = lease;
        this.ordersInFlight = ordersInFlight;
        this.log = log;
        this.tasks = tasks;
    }

    boolean hasBegun() {
        return startedAtMillis >= 0;
    }

    void begin() {
        if (hasBegun()) {
            return;
        }
        startedAtMillis = clocks.steadyMillis();
        readiness.beginStop();
        log.write(EventLog.Component.DAEMON, "stopping", "open_calls", environment.openCalls());
        StopSchedule schedule = new StopSchedule(startedAtMillis, graceMillis);
        callerServer.beginStop(schedule);
        tasks.repeat("stop", () -> advance(schedule), CHECK_INTERVAL_MILLIS);
    }

    private void advance(StopSchedule schedule) {
        if (ordersInFlight.getAsInt() == 0 && !leaseReleased) {
            // Otherwise a successor could send an upstream an order that conflicts with one still in flight.
            leaseReleased = true;
            lease.stop(0);
        }
        StopSchedule.Phase phase = schedule.phase(clocks.steadyMillis());
        if (phase == StopSchedule.Phase.ACCEPTING) {
            return;
        }
        // No failure of a step may keep the following ones from their time.
        tasks.run("stop-accepting", () -> callerServer.stopAccepting(IDLE_MILLIS), () -> {});
        tasks.run("stop-accepting-peers", () -> peerServer.stopAccepting(IDLE_MILLIS), () -> {});
        if (phase != StopSchedule.Phase.REFUSING) {
            tasks.run("answer-open-requests", callerServer::answerOpenRequests, () -> {});
            tasks.run("answer-open-requests-of-peers", peerServer::answerOpenRequests, () -> {});
        }
        if ((callerServer.isClosed() && peerServer.isClosed()) || phase == StopSchedule.Phase.EXITING) {
            exit();
        }
    }

    private void exit() {
        log.write(
                EventLog.Component.DAEMON,
                "stopped",
                "took_ms",
                clocks.steadyMillis() - startedAtMillis,
                "open_calls",
                environment.openCalls());
        log.flush();
        Runtime.getRuntime().halt(0);
    }
}
