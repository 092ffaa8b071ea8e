package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.sesamehead.coordination.catalog.ActiveConfig;
import io.sesamehead.coordination.evacuation.Evacuations;

/** Decides whether this daemon asks the platform for callers. Confined to the event loop. */
final class Readiness {
    private final Clocks clocks;
    private final ActiveConfig activeConfig;
    private final UpstreamRegistry registry;
    private final Evacuations evacuations;
    private final EventLog log;
    private boolean stopping;
    private boolean loggedReady;

    Readiness(
            Clocks clocks,
            ActiveConfig activeConfig,
            UpstreamRegistry registry,
            Evacuations evacuations,
            EventLog log) {
        this.clocks = clocks;
        this.activeConfig = activeConfig;
        this.registry = registry;
        this.evacuations = evacuations;
        this.log = log;
    }

    /** Ends the readiness because of a planned stop. */
    void beginStop() {
        stopping = true;
    }

    /** Logs whether the daemon is ready, if that has changed. */
    void logChange() {
        boolean ready = isReady();
        if (ready != loggedReady) {
            loggedReady = ready;
            log.write(
                    EventLog.Component.DAEMON,
                    ready ? "ready" : "not-ready",
                    "config_age_ms",
                    activeConfig.ageMillis(clocks.bootMillis()),
                    "stopping",
                    stopping);
        }
    }

    /** Answers the platform's readiness probe. */
    StatusServer.Page page() {
        HttpResponseStatus status = isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
        return new StatusServer.Page(status, "");
    }

    /** Returns whether the daemon can answer calls and is not stopping. */
    boolean isReady() {
        return !stopping
                && activeConfig.fresh(clocks.bootMillis())
                && registry.answeredAtMillis() != Long.MIN_VALUE
                && !evacuations.isAwaited();
    }
}
