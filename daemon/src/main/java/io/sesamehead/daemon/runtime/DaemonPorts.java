package io.sesamehead.daemon.runtime;

import com.codahale.metrics.MetricRegistry;
import com.google.inject.Inject;
import io.sesamehead.coordination.config.ReadinessGate;
import io.sesamehead.coordination.config.ReadinessDecision;
import io.sesamehead.coordination.drain.ShutdownPhase;
import io.sesamehead.daemon.protocol.Json;
import io.sesamehead.daemon.settings.DaemonSettings;
import io.sesamehead.daemon.transport.CallerResource;
import io.sesamehead.daemon.transport.DaemonHttpServer;
import io.sesamehead.daemon.transport.JsonServlet;
import io.sesamehead.daemon.transport.UncaughtExceptionMapper;
import io.sesamehead.state.RequestId;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.Supplier;

/** The caller port and the admin port of a daemon. */
public final class DaemonPorts implements AutoCloseable {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final DaemonTables tables;
    private final StateDistributor news;
    private final DaemonHttpServer ports;
    private volatile boolean wasReady;

    /**
     * Creates ports that do not listen yet.
     *
     * @param settings settings of the daemon
     * @param tables the tables of this daemon
     * @param news knows whether a peer or the store answered
     * @param calls runs the calls
     * @param metrics registry that the admin port shows
     * @param clock monotonic clock
     */
    @Inject
    public DaemonPorts(
            DaemonSettings settings,
            DaemonTables tables,
            StateDistributor news,
            CallRuntime calls,
            MetricRegistry metrics,
            MonotonicClock clock) {
        this.tables = tables;
        this.news = news;
        Supplier<RequestId> requestIds = () -> new RequestId(UUID.randomUUID().toString());
        StatusReport status = new StatusReport(tables, calls, clock::millis);
        this.ports = new DaemonHttpServer(
                settings.daemon().callerAddress(),
                settings.daemon().adminAddress(),
                metrics,
                List.of(
                        new CallerResource(calls.service(), settings.limits().bodyBytes(), requestIds, clock::millis),
                        new UncaughtExceptionMapper(requestIds)),
                Map.of(
                        "/ready",
                        new JsonServlet(this::ready),
                        "/status",
                        new JsonServlet(() -> new JsonServlet.JsonResponse(OK, status.toJson()))));
    }

    /** Binds both ports. */
    public void start() {
        ports.start();
    }

    /**
     * Returns the bound port for callers.
     *
     * @return the port
     */
    public int callerPort() {
        return ports.callerPort();
    }

    /**
     * Returns the bound port for operators.
     *
     * @return the port
     */
    public int adminPort() {
        return ports.adminPort();
    }

    private JsonServlet.JsonResponse ready() {
        ReadinessDecision decision = ReadinessGate.decide(
                news.hasAnswer(),
                tables.config().highestReported(),
                tables.config().generation(),
                wasReady,
                tables.shutdown().phase() != ShutdownPhase.RUNNING);
        return switch (decision) {
            case ReadinessDecision.Ready ready -> {
                wasReady = true;
                yield new JsonServlet.JsonResponse(OK, Json.object().put("ready", true));
            }
            case ReadinessDecision.NotReady(ReadinessDecision.Reason reason) ->
                new JsonServlet.JsonResponse(
                        UNAVAILABLE, Json.object().put("ready", false).put("reason", reason.name()));
        };
    }

    @Override
    public void close() {
        ports.close();
    }
}
