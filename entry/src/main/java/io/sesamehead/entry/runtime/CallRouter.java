package io.sesamehead.entry.runtime;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.sesamehead.coordination.catalog.Backend;
import io.sesamehead.coordination.catalog.Route;
import io.sesamehead.coordination.catalog.RouteTable;
import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.coordination.catalog.Tenant;
import io.sesamehead.coordination.dispatch.CallFingerprint;
import io.sesamehead.entry.port.CallMetadata;
import io.sesamehead.state.ServiceName;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Admits a call under the configuration in force: its route, its caller, and the service that runs it. */
final class CallRouter {
    /** Return time while the configuration is missing or too old, in milliseconds: a store call takes a part of it. */
    private static final long CONFIG_RETRY_AFTER_MILLIS = 400;
    /** Return time for a call that crashed its upstreams, in milliseconds: beyond a caller's patience. */
    private static final long CRASHED_RETRY_AFTER_MILLIS = 5_000;

    private final CallEnvironment environment;
    private final RandomGenerator random;

    CallRouter(CallEnvironment environment, RandomGenerator random) {
        this.environment = environment;
        this.random = random;
    }

    /** Starts a call, or answers it at once. Returns the call if one was started. */
    Optional<ForwardedCall> route(CallRequest request, ResponseWriter responseWriter) {
        CallMetadata facts = environment.translator().readCall(request.headers());
        long bootMillis = environment.clocks().bootMillis();
        Optional<RouteTable> table = environment.activeConfig().table();
        if (table.isEmpty()) {
            return refuse(facts, responseWriter, ErrorResponse.NO_CONFIGURATION, CONFIG_RETRY_AFTER_MILLIS);
        }
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> route = table.get().find(host, request.target());
        if (route.isEmpty()) {
            return refuseUnknown(facts, responseWriter, ErrorResponse.NO_ROUTE, bootMillis);
        }
        ServingConfig config = table.get().config();
        Optional<Tenant> tenant = facts.apiKey().map(config.tenantsByKey()::get);
        boolean keyRequired = config.keysRequired() && !route.get().anonymous();
        if (keyRequired && tenant.isEmpty()) {
            return refuseUnknown(facts, responseWriter, ErrorResponse.UNKNOWN_KEY, bootMillis);
        }
        if (!environment.activeConfig().fresh(bootMillis)) {
            return refuse(facts, responseWriter, ErrorResponse.NO_CONFIGURATION, CONFIG_RETRY_AFTER_MILLIS);
        }
        CallFingerprint fingerprint = CallFingerprint.of(request.target(), tenant.map(Tenant::account), request.body());
        if (environment.crashHistory().isRefused(fingerprint, environment.clocks().steadyMillis())) {
            logCrashRefusal(facts, fingerprint);
            return refuse(facts, responseWriter, ErrorResponse.CRASHED_BEFORE, CRASHED_RETRY_AFTER_MILLIS);
        }
        environment.peers().recordTraffic();
        ForwardedCall call = new ForwardedCall(
                environment, request, fingerprint, facts, route.get(), tenant, chooseService(route.get()), responseWriter);
        call.start();
        return Optional.of(call);
    }

    /** A route or key that an older configuration lacks may exist in a newer one: only a recent copy may deny it. */
    private Optional<ForwardedCall> refuseUnknown(
            CallMetadata facts, ResponseWriter responseWriter, ErrorResponse error, long bootMillis) {
        boolean recent = environment.activeConfig().ageMillis(bootMillis)
                <= environment.settings().configConvergenceMillis();
        return recent
                ? refuse(facts, responseWriter, error, 0)
                : refuse(facts, responseWriter, ErrorResponse.NO_CONFIGURATION, CONFIG_RETRY_AFTER_MILLIS);
    }

    private Optional<ForwardedCall> refuse(
            CallMetadata facts, ResponseWriter responseWriter, ErrorResponse error, long retryAfterMillis) {
        environment.metrics().count("calls_refused{reason=\"" + error.type() + "\"}");
        environment
                .log()
                .write(
                        EventLog.Component.CALL,
                        "refused",
                        "id",
                        facts.requestId(),
                        "reason",
                        error.type(),
                        "config",
                        environment.configVersion(),
                        "config_age_ms",
                        environment.activeConfig().ageMillis(environment.clocks().bootMillis()));
        environment.sendError(responseWriter, error, retryAfterMillis);
        return Optional.empty();
    }

    private void logCrashRefusal(CallMetadata facts, CallFingerprint fingerprint) {
        environment
                .log()
                .write(
                        EventLog.Component.CALL,
                        "crashed-before",
                        "id",
                        facts.requestId(),
                        "request",
                        fingerprint,
                        "crashes",
                        environment
                                .crashHistory()
                                .crashCount(fingerprint, environment.clocks().steadyMillis()));
    }

    private ServiceName chooseService(Route route) {
        int totalWeight = route.backends().stream().mapToInt(Backend::weight).sum();
        int remainingWeight = totalWeight <= 0 ? 0 : random.nextInt(totalWeight);
        for (Backend backend : route.backends()) {
            remainingWeight -= backend.weight();
            if (remainingWeight < 0) {
                return backend.service();
            }
        }
        return route.backends().get(0).service();
    }
}
