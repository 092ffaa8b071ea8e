package io.sesamehead.daemon.runtime;

import com.google.inject.Inject;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.transport.Broadcaster;
import io.sesamehead.daemon.transport.PeerMesh;
import io.sesamehead.daemon.transport.PlatformClient;
import java.time.Duration;
import java.util.function.IntSupplier;

/** Schedules the control tasks of a daemon on the worker pool. */
final class ControlTasks implements AutoCloseable {
    /** The interval that {@code EvidenceTable.tick} expects. */
    private static final Duration PAUSE_CHECK_INTERVAL = Duration.ofMillis(100);

    private static final Duration POLL_INTERVAL = Duration.ofSeconds(60);
    private static final Duration INITIAL_POLL_INTERVAL = Duration.ofSeconds(1);

    /** Below the 3 s within which a daemon must act on the first report that a VM is leaving. */
    private static final Duration VM_POLL_INTERVAL = Duration.ofSeconds(2);

    /** Maximum delay between an evidence change that breaks a group and the moving of its calls. */
    private static final Duration BROKEN_CALL_INTERVAL = Duration.ofMillis(100);

    private static final Duration SERVICE_STATUS_INTERVAL = Duration.ofSeconds(1);

    private final DaemonSettings settings;
    private final DaemonTables tables;
    private final StateDistributor distributor;
    private final PlatformClient platform;
    private final StoreWriter writer;
    private final WorkerPool workers;
    private final MonotonicClock clock;
    private final ReleaseRestorer releaseRestorer;
    private final StoreWatch releaseWatch;
    private final StoreWatch assignmentWatch;

    @Inject
    ControlTasks(
            DaemonSettings settings,
            DaemonTables tables,
            StateDistributor distributor,
            PlatformClient platform,
            StoreWriter writer,
            WorkerPool workers,
            MonotonicClock clock) {
        this.settings = settings;
        this.tables = tables;
        this.distributor = distributor;
        this.platform = platform;
        this.writer = writer;
        this.workers = workers;
        this.clock = clock;
        this.releaseRestorer = new ReleaseRestorer(tables, distributor, platform, clock::millis);
        this.releaseWatch = new StoreWatch(
                tables,
                distributor,
                platform,
                ObjectKinds.RELEASES,
                ObjectKinds.CURRENT_RELEASE,
                releaseRestorer,
                clock::millis);
        this.assignmentWatch = new StoreWatch(
                tables,
                distributor,
                platform,
                ObjectKinds.GROUP_ASSIGNMENTS,
                tables.failureDomain().value(),
                distributor::onStoredAssignment,
                clock::millis);
    }

    void startStoreTasks(LeaseTask lease) {
        StorePoller poller = new StorePoller(tables, distributor, platform, releaseRestorer);
        workers.runRepeatedly("store poll", poller::readAll, this::pollDelayMillis);
        workers.runEvery("VM list", VM_POLL_INTERVAL, () -> {
            if (tables.isRelay(clock.millis())) {
                poller.readVms();
            }
        });
        workers.runRepeatedly("release watch", releaseWatch, releaseWatch::waitMillis);
        workers.runRepeatedly("assignment watch", assignmentWatch, assignmentWatch::waitMillis);
        workers.runEvery(
                "directory", DirectoryTask.INTERVAL, new DirectoryTask(tables, platform, writer, clock::millis));
        workers.runRepeatedly("lease", lease, lease::waitMillis);
        workers.runEvery(
                "order retention",
                IdempotencyRecordCleaner.INTERVAL,
                new IdempotencyRecordCleaner(tables, platform, clock::millis, System::currentTimeMillis));
    }

    void startPeerTasks(HeartbeatTask heartbeat, ProbeTask probeTask, ControllerTask controllerTask) {
        workers.runEvery("heartbeat", settings.peers().heartbeat(), heartbeat);
        workers.runEvery("probes", ProbeTask.INTERVAL, probeTask);
        workers.runEveryOnTimer(
                "pause check", PAUSE_CHECK_INTERVAL, () -> tables.evidence().tick(clock.millis()));
        workers.runEvery("controller", ControllerTask.INTERVAL, controllerTask);
    }

    void startCallTasks(CallRuntime calls) {
        workers.runEveryOnTimer("broken calls", BROKEN_CALL_INTERVAL, () -> {
            if (calls.hasAttempts()) {
                workers.run("broken calls", calls::moveCallsOffBrokenGroups);
            }
        });
        workers.runEvery("plain services", SERVICE_STATUS_INTERVAL, calls::refreshServices);
    }

    HeartbeatTask heartbeat(PeerMesh mesh, Broadcaster broadcast, IntSupplier callsInFlight) {
        PeerSelector selector = new PeerSelector(
                tables.directory(), tables.self(), settings.peers().seeds());
        return new HeartbeatTask(
                tables,
                mesh,
                broadcast,
                selector,
                callsInFlight,
                settings.evidence().maxAge().toMillis(),
                clock::millis);
    }

    private long pollDelayMillis() {
        return (distributor.hasAnswer() ? POLL_INTERVAL : INITIAL_POLL_INTERVAL).toMillis();
    }

    @Override
    public void close() {
        releaseWatch.close();
        assignmentWatch.close();
    }
}
