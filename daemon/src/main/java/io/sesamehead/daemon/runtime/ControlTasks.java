package io.sesamehead.daemon.runtime;

import com.google.inject.Inject;
import io.sesamehead.daemon.protocol.ObjectKinds;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.transport.Broadcaster;
import io.sesamehead.daemon.transport.PeerMesh;
import io.sesamehead.daemon.transport.PlatformClient;
import java.time.Duration;
import java.util.function.IntSupplier;

/** Starts the control tasks of a daemon on the worker pool. */
final class ControlTasks implements AutoCloseable {
    /** Interval that {@code EvidenceTable.tick} expects. */
    private static final Duration PAUSE_CHECK = Duration.ofMillis(100);

    private static final Duration SAFETY_POLL = Duration.ofSeconds(60);
    private static final Duration POLL_UNTIL_ANSWERED = Duration.ofSeconds(1);

    /** The first source to report that a VM is leaving counts within 3 s, so the list is read more often than that. */
    private static final Duration VM_POLL = Duration.ofSeconds(2);

    /** Work on a broken group moves on within this time after the evidence changed. */
    private static final Duration BROKEN_CALLS = Duration.ofMillis(100);

    private static final Duration SERVICE_STATES = Duration.ofSeconds(1);

    private final DaemonSettings settings;
    private final DaemonTables tables;
    private final StateDistributor news;
    private final PlatformClient platform;
    private final StoreWriter writes;
    private final WorkerPool workers;
    private final MonotonicClock clock;
    private final ReleaseRestorer release;
    private final StoreWatch releaseWatch;
    private final StoreWatch assignmentWatch;

    @Inject
    ControlTasks(
            DaemonSettings settings,
            DaemonTables tables,
            StateDistributor news,
            PlatformClient platform,
            StoreWriter writes,
            WorkerPool workers,
            MonotonicClock clock) {
        this.settings = settings;
        this.tables = tables;
        this.news = news;
        this.platform = platform;
        this.writes = writes;
        this.workers = workers;
        this.clock = clock;
        this.release = new ReleaseRestorer(tables, news, platform, clock::millis);
        this.releaseWatch =
                new StoreWatch(tables, news, platform, ObjectKinds.RELEASES, ObjectKinds.CURRENT_RELEASE, release, clock::millis);
        this.assignmentWatch = new StoreWatch(
                tables,
                news,
                platform,
                ObjectKinds.GROUP_ASSIGNMENTS,
                tables.failureDomain().value(),
                news::onStoredAssignment,
                clock::millis);
    }

    void startStoreTasks(LeaseTask lease) {
        StorePoller poll = new StorePoller(tables, news, platform, release);
        workers.runRepeatedly("store poll", poll::readAll, this::pollWaitMillis);
        workers.runEvery("VM list", VM_POLL, () -> {
            if (tables.isRelay(clock.millis())) {
                poll.readVms();
            }
        });
        workers.runRepeatedly("release watch", releaseWatch, releaseWatch::waitMillis);
        workers.runRepeatedly("assignment watch", assignmentWatch, assignmentWatch::waitMillis);
        workers.runEvery("directory", DirectoryTask.INTERVAL, new DirectoryTask(tables, platform, writes, clock::millis));
        workers.runRepeatedly("lease", lease, lease::waitMillis);
        workers.runEvery(
                "order retention",
                IdempotencyRecordCleaner.INTERVAL,
                new IdempotencyRecordCleaner(tables, platform, clock::millis, System::currentTimeMillis));
    }

    void startPeerTasks(HeartbeatTask heartbeat, ProbeTask probes, ControllerTask controller) {
        workers.runEvery("heartbeat", settings.peers().heartbeat(), heartbeat);
        workers.runEvery("probes", ProbeTask.INTERVAL, probes);
        workers.runEveryOnTimer("pause check", PAUSE_CHECK, () -> tables.evidence().tick(clock.millis()));
        workers.runEvery("controller", ControllerTask.INTERVAL, controller);
    }

    void startCallTasks(CallRuntime calls) {
        workers.runEveryOnTimer("broken calls", BROKEN_CALLS, () -> {
            if (calls.hasAttempts()) {
                workers.run("broken calls", calls::moveCallsOffBrokenGroups);
            }
        });
        workers.runEvery("plain services", SERVICE_STATES, calls::refreshServices);
    }

    HeartbeatTask heartbeat(PeerMesh mesh, Broadcaster broadcast, IntSupplier callsInFlight) {
        PeerSelector targets = new PeerSelector(
                tables.directory(), tables.self(), settings.peers().seeds());
        return new HeartbeatTask(
                tables,
                mesh,
                broadcast,
                targets,
                callsInFlight,
                settings.evidence().maxAge().toMillis(),
                clock::millis);
    }

    private long pollWaitMillis() {
        return (news.hasAnswer() ? SAFETY_POLL : POLL_UNTIL_ANSWERED).toMillis();
    }

    @Override
    public void close() {
        releaseWatch.close();
        assignmentWatch.close();
    }
}
