package io.sesamehead.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import com.google.inject.Guice;
import com.google.inject.Injector;
import com.google.inject.Stage;
import io.sesamehead.coordination.drain.ShutdownPhase;
import io.sesamehead.coordination.membership.DaemonEntry;
import io.sesamehead.daemon.protocol.PeerMessages;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.transport.Addresses;
import io.sesamehead.daemon.transport.Broadcaster;
import io.sesamehead.daemon.transport.EngineClient;
import io.sesamehead.daemon.transport.FrameCounters;
import io.sesamehead.daemon.transport.PeerMesh;
import io.sesamehead.daemon.transport.PlatformClient;
import io.sesamehead.daemon.transport.ServiceClient;
import io.sesamehead.state.Incarnation;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.tinylog.Logger;
import org.tinylog.configuration.Configuration;

/** One running daemon, from its settings to its graceful stop. */
public final class DaemonProcess implements AutoCloseable {
    private final Injector injector;
    private final DaemonTables tables;
    private final PeerMesh mesh;
    private final ControlTasks tasks;
    private final ShutdownTask stop;
    private final DaemonPorts ports;
    private final AtomicBoolean closed = new AtomicBoolean();

    private DaemonProcess(Injector injector) {
        this.injector = injector;
        this.tables = injector.getInstance(DaemonTables.class);
        this.mesh = injector.getInstance(PeerMesh.class);
        this.tasks = injector.getInstance(ControlTasks.class);
        this.stop = new ShutdownTask(
                tables,
                injector.getInstance(Broadcaster.class),
                injector.getInstance(LeaseTask.class),
                injector.getInstance(ControllerTask.class),
                injector.getInstance(CallRuntime.class),
                injector.getInstance(IncomingForwards.class),
                injector.getInstance(MonotonicClock.class)::millis);
        this.ports = injector.getInstance(DaemonPorts.class);
    }

    /**
     * Starts a daemon.
     *
     * @param settings validated settings
     * @return the running daemon
     * @throws IllegalStateException if an address cannot be bound
     */
    public static DaemonProcess start(DaemonSettings settings) {
        MetricRegistry metrics = new MetricRegistry();
        FrameCounters counters = new FrameCounters(metrics);
        AtomicReference<DaemonEntry> self = new AtomicReference<>();
        PeerMesh mesh = new PeerMesh(() -> PeerMessages.hello(self.get()), counters);
        String peerAddress = Addresses.text(mesh.listen(settings.daemon().peerAddress()));
        self.set(new DaemonEntry(
                settings.daemon().name(),
                new Incarnation(new SecureRandom().nextLong()),
                settings.daemon().failureDomain(),
                peerAddress,
                false));
        DaemonModule module = new DaemonModule(settings, self.get(), mesh, counters, metrics, new MonotonicClock());
        DaemonProcess process = new DaemonProcess(Guice.createInjector(Stage.PRODUCTION, module));
        try {
            process.startTasks();
        } catch (RuntimeException e) {
            process.close();
            throw e;
        }
        Logger.info(
                "daemon: {} of {} started with incarnation {}",
                self.get().daemon(),
                self.get().failureDomain(),
                self.get().incarnation());
        return process;
    }

    private void startTasks() {
        mesh.setListener(new PeerFrameDispatcher(
                tables,
                injector.getInstance(StateDistributor.class),
                injector.getInstance(EvidenceExchange.class),
                injector.getInstance(CallForwarder.class),
                injector.getInstance(RemoteServiceTable.class),
                injector.getInstance(MonotonicClock.class)::millis));
        CallRuntime calls = injector.getInstance(CallRuntime.class);
        tasks.startPeerTasks(
                tasks.heartbeat(mesh, injector.getInstance(Broadcaster.class), calls::openCalls),
                injector.getInstance(ProbeTask.class),
                injector.getInstance(ControllerTask.class));
        tasks.startStoreTasks(injector.getInstance(LeaseTask.class));
        tasks.startCallTasks(calls);
        ports.start();
    }

    /**
     * Runs a daemon until a signal stopped it.
     *
     * @param settings validated settings
     * @return exit code of the process
     * @throws IllegalStateException if an address cannot be bound
     */
    public static int run(DaemonSettings settings) {
        Configuration.set("level", settings.log().level());
        DaemonProcess process = start(settings);
        ShutdownSignals.install(process::requestStop);
        process.awaitStop();
        process.close();
        return 0;
    }

    /** Asks the daemon to stop; a second call ends the stop at once. */
    public void requestStop() {
        stop.requestStop();
    }

    /** Blocks until a stop was asked for and is done. */
    public void awaitStop() {
        stop.await();
    }

    /**
     * Returns the tables of the daemon.
     *
     * @return the tables
     */
    public DaemonTables tables() {
        return tables;
    }

    /**
     * Returns the ports of the daemon.
     *
     * @return the ports
     */
    public DaemonPorts ports() {
        return ports;
    }

    /**
     * Returns the metrics of the daemon.
     *
     * @return the registry
     */
    public MetricRegistry metrics() {
        return injector.getInstance(MetricRegistry.class);
    }

    /**
     * Returns the time of the daemon's clock.
     *
     * @return monotonic milliseconds
     */
    public long nowMillis() {
        return injector.getInstance(MonotonicClock.class).millis();
    }

    /** Ends the process without a graceful stop, as a crash would, or after one. */
    @Override
    public void close() {
        if (closed.getAndSet(true)) {
            return;
        }
        List.<AutoCloseable>of(
                        ports,
                        tasks,
                        injector.getInstance(WorkerPool.class),
                        mesh,
                        injector.getInstance(PlatformClient.class),
                        injector.getInstance(EngineClient.class),
                        injector.getInstance(ServiceClient.class))
                .forEach(DaemonProcess::closePart);
        ShutdownPhase phase = tables.shutdown().phase();
        Logger.info("daemon: {} ended in phase {}", tables.self().daemon(), phase);
    }

    /** A part that cannot be closed must not keep the process from ending. */
    private static void closePart(AutoCloseable part) {
        try {
            part.close();
        } catch (Exception e) {
            Logger.error(e, "daemon: {} could not be closed", part.getClass().getSimpleName());
        }
    }
}
