package io.sesamehead.entry.runtime;

import io.sesamehead.coordination.admission.PoolArrivalKey;
import io.sesamehead.coordination.admission.RankedServices;
import io.sesamehead.coordination.admission.SlotCall;
import io.sesamehead.coordination.admission.SlotDecision;
import io.sesamehead.coordination.catalog.Route;
import io.sesamehead.coordination.catalog.Tenant;
import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.DispatchRequest;
import io.sesamehead.coordination.dispatch.SlotRule;
import io.sesamehead.coordination.dispatch.TargetPool;
import io.sesamehead.entry.port.CallMetadata;
import io.sesamehead.state.ServiceName;
import java.util.Optional;
import java.util.OptionalLong;

/** Which slots one call may use: whether it is refused before its first attempt, and how its attempts are dispatched. */
final class CallSlots {
    /** Largest rank with a metric of its own. */
    private static final int MAX_RANK_LABEL = 9;

    private final CallEnvironment environment;
    private final CallMetadata facts;
    private final Route route;
    private final Optional<Tenant> tenant;
    private final CrashSubject subject;
    private final CallLog log;
    private final long arrivedAtMillis;
    /** Rule for the first attempt, until it is dispatched. */
    private Optional<SlotRule> firstRule = Optional.empty();

    CallSlots(
            CallEnvironment environment,
            CallMetadata facts,
            Route route,
            Optional<Tenant> tenant,
            CrashSubject subject,
            CallLog log,
            long arrivedAtMillis) {
        this.environment = environment;
        this.facts = facts;
        this.route = route;
        this.tenant = tenant;
        this.subject = subject;
        this.log = log;
        this.arrivedAtMillis = arrivedAtMillis;
    }

    /**
     * Decides before the first attempt of a call whether it is refused because slots are scarce. A response that the caller
     * resumes has begun already and is not refused.
     *
     * @return the Retry-After value in milliseconds, or empty if the call may be dispatched
     */
    OptionalLong refusal(ServiceName service, long deadlineMillis) {
        if (!environment.slotAdmission().isDivided(service)
                || facts.lastEventId().isPresent()) {
            return OptionalLong.empty();
        }
        long now = environment.clocks().steadyMillis();
        int rank = RankedServices.rank(route, tenant);
        SlotCall call = new SlotCall(
                new TargetPool(service, facts.model()).hash(),
                rank,
                PoolArrivalKey.accountHash(tenant.map(Tenant::account)),
                subject.value(),
                facts.promptTokens(),
                route.objectiveMillis(),
                deadlineMillis - now,
                elapsedMillis(now));
        SlotDecision decision = environment.slotAdmission().decide(call, service, facts.model(), now);
        return switch (decision) {
            case SlotDecision.Admit admit -> {
                firstRule = Optional.of(admit.slotRule());
                yield OptionalLong.empty();
            }
            case SlotDecision.Refuse refuse -> {
                facts.model().ifPresent(model -> environment.modelLoads().recordLocalRefusal(model, now));
                environment.metrics().count("calls_not_admitted{rank=\"" + Math.min(MAX_RANK_LABEL, rank) + "\"}");
                log.notAdmitted(rank, refuse);
                yield OptionalLong.of(refuse.retryAfterMillis());
            }
        };
    }

    /** Returns the request for the next attempt. Only the first one was admitted in place of another call. */
    DispatchRequest nextRequest(ServiceName service, long deadlineMillis, Optional<CrashSubject> suspect) {
        long now = environment.clocks().steadyMillis();
        SlotRule otherRule = environment.slotAdmission().isDivided(service)
                ? SlotRule.ON_TIME_MAY_QUEUE
                : SlotRule.RETRIED_MAY_QUEUE;
        SlotRule rule = firstRule.orElse(otherRule);
        firstRule = Optional.empty();
        return new DispatchRequest(
                facts.promptTokens(), route.objectiveMillis(), deadlineMillis - now, elapsedMillis(now), suspect, rule);
    }

    private long elapsedMillis(long nowMillis) {
        return environment.estimateElapsedMillis(route, facts) + nowMillis - arrivedAtMillis;
    }
}
