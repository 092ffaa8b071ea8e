package io.sesamehead.entry.runtime;

import static com.google.common.collect.ImmutableList.toImmutableList;

import com.google.common.collect.ImmutableList;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.sesamehead.coordination.catalog.Backend;
import io.sesamehead.coordination.catalog.Route;
import io.sesamehead.coordination.catalog.RouteTable;
import io.sesamehead.coordination.catalog.ServingConfig;
import io.sesamehead.coordination.catalog.Tenant;
import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.PromptPartVerdict;
import io.sesamehead.entry.port.CallMetadata;
import io.sesamehead.state.ServiceName;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Admits calls under the current configuration: finds the route, checks the caller's key and chooses the service. */
final class CallRouter {
    /** Retry-After value while the configuration is missing or stale, in milliseconds: longer than one store call. */
    private static final long CONFIG_RETRY_AFTER_MILLIS = 400;
    /** Retry-After value for a call that crashed its upstreams, in milliseconds: longer than a caller waits. */
    private static final long CRASHED_RETRY_AFTER_MILLIS = 5_000;

    private final CallEnvironment environment;
    private final EventLoopTasks tasks;
    private final RandomGenerator random;
    private final boolean forPeers;

    /**
     * Creates a router.
     *
     * @param forPeers whether its calls were passed on by other daemons
     */
    CallRouter(CallEnvironment environment, RandomGenerator random, boolean forPeers) {
        this.environment = environment;
        this.tasks = new EventLoopTasks(environment.loop(), environment.log());
        this.random = random;
        this.forPeers = forPeers;
    }

    /**
     * Starts a call, or refuses it at once. A call whose start fails is answered as well. Returns the call if it was
     * started.
     */
    Optional<ForwardedCall> route(CallRequest request, ResponseWriter responseWriter) {
        Optional<ForwardedCall> call;
        try {
            call = admit(request, responseWriter);
        } catch (RuntimeException e) {
            tasks.recordFailure("admit-call", e);
            environment.sendError(responseWriter, ErrorResponse.INTERNAL_FAILURE, CONFIG_RETRY_AFTER_MILLIS);
            return Optional.empty();
        }
        call.ifPresent(admitted -> tasks.run("start-call", admitted::start, () -> {
            // The failure may have occurred after the call was sent.
            environment.sendError(responseWriter, ErrorResponse.MAY_HAVE_RUN, 0);
            admitted.cancel();
        }));
        return call;
    }

    private Optional<ForwardedCall> admit(CallRequest request, ResponseWriter responseWriter) {
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
        CrashSubject subject = CrashSubject.ofCall(request.target(), tenant.map(Tenant::account), request.body());
        long now = environment.clocks().steadyMillis();
        if (environment.requestCrashes().mustRefuse(subject, now)) {
            logCrashRefusal(facts, subject);
            long retryAfterMillis = environment.requestCrashes().retryAfterMillis(subject, now);
            return refuse(facts, responseWriter, ErrorResponse.CRASHED_BEFORE, retryAfterMillis);
        }
        ImmutableList<CrashSubject> parts = facts.sharedPromptParts().stream()
                .map(CrashSubject::ofPromptPart)
                .collect(toImmutableList());
        PromptPartVerdict verdict = environment.partCrashes().admit(parts, now);
        if (verdict instanceof PromptPartVerdict.Refused refused) {
            logPartRefusal(facts, refused);
            return refuse(facts, responseWriter, ErrorResponse.CRASHED_BEFORE, CRASHED_RETRY_AFTER_MILLIS);
        }
        environment.requestCrashes().recordAdmitted(subject, now);
        environment.peerReporter().recordTraffic();
        return Optional.of(new ForwardedCall(
                environment,
                request,
                subject,
                parts,
                facts,
                route.get(),
                tenant,
                chooseService(route.get()),
                responseWriter,
                forPeers));
    }

    boolean forPeers() {
        return forPeers;
    }

    /**
     * Refuses a call with an unknown route or key. Only a recent configuration proves that it doesn't exist; with an
     * older one, the caller is asked to retry, because a newer configuration may contain it.
     */
    private Optional<ForwardedCall> refuseUnknown(
            CallMetadata facts, ResponseWriter responseWriter, ErrorResponse error, long bootMillis) {
        boolean recent = environment
                .activeConfig()
                .isConfirmedWithin(environment.settings().configConvergenceMillis(), bootMillis);
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
                        environment
                                .activeConfig()
                                .ageMillis(environment.clocks().bootMillis()));
        environment.sendError(responseWriter, error, retryAfterMillis);
        return Optional.empty();
    }

    private void logCrashRefusal(CallMetadata facts, CrashSubject subject) {
        environment
                .log()
                .write(
                        EventLog.Component.CALL,
                        "crashed-before",
                        "id",
                        facts.requestId(),
                        "request",
                        subject,
                        "crashes",
                        environment
                                .crashHistory()
                                .crashCount(subject, environment.clocks().steadyMillis()));
    }

    private void logPartRefusal(CallMetadata facts, PromptPartVerdict.Refused refused) {
        environment
                .log()
                .write(
                        EventLog.Component.CALL,
                        "part-crashed-before",
                        "id",
                        facts.requestId(),
                        "parts",
                        facts.sharedPromptParts(),
                        "request",
                        refused.part(),
                        "crashes",
                        refused.crashes());
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
