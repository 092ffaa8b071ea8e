package io.sesamehead.entry.runtime;

import com.google.common.collect.ImmutableList;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import io.sesamehead.coordination.catalog.CallKind;
import io.sesamehead.coordination.catalog.RetryServices;
import io.sesamehead.coordination.catalog.Route;
import io.sesamehead.coordination.catalog.Tenant;
import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.DispatchDecision;
import io.sesamehead.coordination.dispatch.DispatchRequest;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.entry.port.CallMetadata;
import io.sesamehead.entry.port.CallTranslator;
import io.sesamehead.entry.protocol.EventScanner;
import io.sesamehead.state.ServiceName;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One admitted call: sends it to a target, retries or resumes it at another target where that is allowed, and completes
 * it with exactly one response. While its target is silent, a second attempt may run beside the first; the first of
 * them that goes on feeds the caller. Confined to the event loop.
 */
final class ForwardedCall implements CallAttempt.Owner {
    /** Maximum number of retries after attempts that did not run; the route's own maximum counts only the others. */
    private static final int MAX_NOT_RUN_RETRIES = 2;
    /** Time after the call's deadline in which the upstream's own response is still accepted, in milliseconds. */
    private static final long DEADLINE_GRACE_MILLIS = 60;
    /** Retry-After value for a call none of whose attempts ran, in milliseconds. */
    private static final long NOT_RUN_RETRY_AFTER_MILLIS = 150;

    private final CallEnvironment environment;
    private final CallRequest request;
    private final CallCrashes crashes;
    private final CallMetadata facts;
    private final Route route;
    private final ServiceName admittedTo;
    private final ResponseWriter responseWriter;
    /** Whether another daemon has passed the call on to this one. It is not passed on again. */
    private final boolean passedOn;

    private final CallLog log;
    private final AttemptEncoder encoder;
    private final CallPlacement placement;
    private final CallSlots slots;
    private final long deadlineMillis;
    private final CallAttempts attempts = new CallAttempts();

    /** Service of the latest attempt. */
    private ServiceName service;

    private Future<?> deadlineTimer;
    private boolean responseBegun;
    private boolean finished;
    private Optional<String> lastEventId;
    private OptionalLong lastEventNumber = OptionalLong.empty();

    ForwardedCall(
            CallEnvironment environment,
            CallRequest request,
            CrashSubject subject,
            ImmutableList<CrashSubject> parts,
            CallMetadata facts,
            Route route,
            Optional<Tenant> tenant,
            ServiceName service,
            ResponseWriter responseWriter,
            boolean passedOn) {
        this.environment = environment;
        this.request = request;
        this.facts = facts;
        this.route = route;
        this.admittedTo = service;
        this.service = service;
        this.responseWriter = responseWriter;
        this.passedOn = passedOn;
        this.log = new CallLog(environment, facts, route, request.arrivedAtMillis());
        this.encoder = new AttemptEncoder(environment, request, route, tenant);
        this.placement = new CallPlacement(environment, request, facts, route, tenant);
        this.crashes = new CallCrashes(environment, subject, parts, log);
        this.slots = new CallSlots(environment, facts, route, tenant, subject, log, request.arrivedAtMillis());
        this.lastEventId = facts.lastEventId();
        long allowedMillis = Math.min(facts.remainingMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
        this.deadlineMillis = request.arrivedAtMillis() + allowedMillis;
    }

    /** Starts the deadline timer, then sends the call or refuses it. */
    void start() {
        if (!passedOn) {
            environment.retryBudgets().recordCall(service, now());
        }
        environment.recordArrival(service);
        long timeoutMillis = Math.max(1, deadlineMillis - now() + DEADLINE_GRACE_MILLIS);
        deadlineTimer =
                environment.tasks().schedule("deadline", this::onDeadline, timeoutMillis, this::endAfterFailure);
        environment.addCall(this);
        OptionalLong retryAfter = passedOn ? OptionalLong.empty() : slots.refusal(service, deadlineMillis);
        retryAfter.ifPresentOrElse(
                millis -> giveUp(ErrorResponse.NO_PLACE, millis, "no share of the slots"), this::dispatch);
    }

    /** Cancels the call because the caller has disconnected. */
    void cancel() {
        if (finished) {
            return;
        }
        environment.metrics().count("calls_left_by_caller");
        attempts.cancelAll();
        finish();
    }

    /**
     * Begins a second attempt of an idempotent call whose attempts all wait at silent targets, if the route, the crash
     * history, the other targets and the retry budget allow it. Otherwise the call goes on waiting.
     */
    void onSilent(TargetKey key) {
        boolean concerned = attempts.waiting().anyMatch(attempt -> attempt.key().equals(key));
        boolean allSilent = attempts.waiting().allMatch(attempt -> environment.isSilent(attempt.key()));
        if (finished || !concerned || !allSilent || !mayRunAgain()) {
            return;
        }
        chooseRetryService();
        List<Target> candidates = untriedTargets(service);
        Optional<DispatchDecision.Send> decision = switch (decide(dispatchRequest(), candidates)) {
            case DispatchDecision.Send send -> Optional.of(send);
            case DispatchDecision.Refuse refuse ->
                leastLoadedIfBegun(candidates).or(this::selectPeer).map(target -> new DispatchDecision.Send(target, 0));
        };
        if (decision.isPresent() && environment.retryBudgets().tryRetry(service, now())) {
            environment.metrics().count("calls_sent_again");
            log.secondAttempt(key, lastEventId);
            send(decision.get().target(), decision.get().expectedMillis());
        }
    }

    /** Counts a crash of the attempts that wait at a lost target. */
    void onLost(TargetKey key) {
        attempts.recordCrash(key);
    }

    /** Closes attempts that lost against another one and whose targets are no longer silent. */
    void checkSuperseded() {
        attempts.checkSuperseded();
    }

    /** Ends the call if a part of its prompt has been refused since it was sent and may still crash the target. */
    void endIfPartRefused() {
        boolean waiting =
                !finished && attempts.anyWaiting() && attempts.waiting().noneMatch(CallAttempt::answerBegun);
        if (waiting && crashes.isPartNewlyRefused()) {
            giveUp(ErrorResponse.CRASHED_BEFORE, 0, "part of the prompt crashed upstreams");
        }
    }

    /** Ends the call with what is known of it, because the daemon is about to exit. */
    void endForStop() {
        if (!finished) {
            giveUp(ErrorResponse.STOPPING, NOT_RUN_RETRY_AFTER_MILLIS, "daemon stops");
        }
    }

    /** Resumes or pauses reading from the upstreams as the caller's connection becomes writable or not. */
    void onWritabilityChanged(boolean writable) {
        attempts.setAutoRead(writable);
    }

    private void dispatch() {
        List<Target> candidates = untriedTargets(service);
        DispatchRequest dispatchRequest = dispatchRequest();
        switch (decide(dispatchRequest, candidates)) {
            case DispatchDecision.Send send -> send(send.target(), send.expectedMillis());
            case DispatchDecision.Refuse refuse -> queueOrRefuse(dispatchRequest, refuse, candidates);
        }
    }

    private DispatchDecision decide(DispatchRequest dispatchRequest, List<Target> candidates) {
        return environment
                .dispatcher()
                .decide(dispatchRequest, crashes.targetsWithoutCrash(candidates), candidates, now());
    }

    private DispatchRequest dispatchRequest() {
        return slots.nextRequest(service, deadlineMillis, crashes.suspect());
    }

    /** Returns the targets that have not been tried and at which the call can end before a stopping daemon exits. */
    private List<Target> untriedTargets(ServiceName candidate) {
        long ranMillis = responseBegun ? now() - request.arrivedAtMillis() : 0;
        return placement.targets(candidate).stream()
                .filter(target -> !attempts.tried(target.key()))
                .filter(target -> environment.mayEndBeforeExit(target, deadlineMillis, facts.promptTokens(), ranMillis))
                .toList();
    }

    /**
     * Refuses the call. If its response has begun, queues it at the least loaded target instead, even without a free
     * slot. If this daemon has lost its path to targets, passes the call on to a peer that reaches them. If all targets
     * are silent and the call may be repeated, sends it to one of them.
     */
    private void queueOrRefuse(
            DispatchRequest dispatchRequest, DispatchDecision.Refuse refuse, List<Target> candidates) {
        Optional<Target> other = leastLoadedIfBegun(candidates).or(this::selectPeer);
        if (other.isPresent()) {
            send(other.get(), 0);
            return;
        }
        if (candidates.isEmpty() && environment.isStopping()) {
            giveUp(ErrorResponse.STOPPING, NOT_RUN_RETRY_AFTER_MILLIS, "daemon stops");
            return;
        }
        boolean noPlace = refuse.reason() == DispatchDecision.Reason.NO_PLACE;
        Optional<DispatchDecision.Send> silent = noPlace || !route.idempotent()
                ? Optional.empty()
                : environment.dispatcher().decideAmongSilent(dispatchRequest, candidates, responseBegun, now());
        if (silent.isPresent()) {
            send(silent.get().target(), silent.get().expectedMillis());
            return;
        }
        if (noPlace) {
            facts.model().ifPresent(model -> environment.modelLoads().recordLocalRefusal(model, now()));
        }
        environment.dispatcher().recordRefused(candidates, now());
        ErrorResponse error = noPlace ? ErrorResponse.NO_PLACE : ErrorResponse.NO_TARGET;
        giveUp(error, refuse.retryAfterMillis(), "no target available, candidates: " + candidates.size());
    }

    private Optional<Target> leastLoadedIfBegun(List<Target> candidates) {
        return responseBegun ? environment.dispatcher().leastLoadedForResumption(candidates, now()) : Optional.empty();
    }

    /** Chooses a peer to pass the call on to, if this daemon has lost its path to targets that peers reach. */
    private Optional<Target> selectPeer() {
        boolean mayPassOn = !passedOn && !environment.isStopping();
        return mayPassOn ? placement.selectPeer(service, attempts::tried) : Optional.empty();
    }

    private void send(Target target, long expectedMillis) {
        CallAttempt attempt = new CallAttempt(environment, crashes, this, target, expectedMillis, responseBegun);
        attempts.add(attempt);
        boolean viaPeer = attempt.viaPeer();
        if (viaPeer) {
            log.passedOn(attempts.size(), target, lastEventId);
        } else {
            log.sent(attempts.size(), target, expectedMillis, lastEventId);
        }
        CallTranslator translator = viaPeer ? new PeerTranslator(environment.translator()) : environment.translator();
        ResponseReader reader = new ResponseReader(
                translator, facts.requestId(), route.kind(), responseBegun, attempt.buffer(), attempt);
        attempt.start(
                encoder.encode(target, deadlineMillis, lastEventId),
                route.idempotent(),
                new GuardedExchange(reader, environment.tasks(), this::endAfterFailure));
    }

    /**
     * Returns whether an attempt that may run is still allowed by the route, the deadline and the crash history. For a
     * call that was passed on, the daemon that took it from the caller decides.
     */
    private boolean mayRunAgain() {
        return route.idempotent() && !passedOn && attempts.ran() < route.maxAttempts() && mayRetry();
    }

    private boolean mayRetry() {
        return attempts.notRun() <= MAX_NOT_RUN_RETRIES && now() < deadlineMillis && !crashes.isRefused();
    }

    /** Retries the call if its route, deadline and crash history, the targets and the retry budget allow it. */
    private boolean tryRetry(boolean mayHaveRun) {
        if (mayHaveRun ? !mayRunAgain() : !mayRetry()) {
            return false;
        }
        chooseRetryService();
        if (untriedTargets(service).stream().noneMatch(this::mayBeSentTo)) {
            // A call that no upstream has received is no retry at an upstream when a peer passes it on.
            boolean received = mayHaveRun || attempts.anyReceived();
            return selectPeer().isPresent()
                    && (!received || environment.retryBudgets().tryRetry(service, now()))
                    && retry();
        }
        return environment.retryBudgets().tryRetry(service, now()) && retry();
    }

    private boolean retry() {
        environment.metrics().count("calls_sent_again");
        dispatch();
        return true;
    }

    /** Chooses the first of the allowed services that has a target for a further attempt. */
    private void chooseRetryService() {
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> inForce =
                environment.activeConfig().table().flatMap(table -> table.find(host, request.target()));
        RetryServices.inOrder(admittedTo, route, inForce, responseBegun).stream()
                .filter(candidate -> untriedTargets(candidate).stream().anyMatch(this::mayBeSentTo))
                .findFirst()
                .ifPresent(candidate -> service = candidate);
    }

    /** Returns whether a retry may be sent to a target. A silent target may only run calls that can be repeated. */
    private boolean mayBeSentTo(Target target) {
        boolean onlySilent = environment.targetTable().isOnlySilent(target.key(), now())
                && !environment.dispatcher().isEvacuated(target);
        boolean usable = responseBegun
                ? environment.dispatcher().isUsableForResumption(target, now())
                : environment.dispatcher().isUsable(target, now());
        return usable || (route.idempotent() && onlySilent);
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        // The upstreams stop by themselves at the deadline; until then silent ones are still watched for a crash.
        boolean mayHaveRun = attempts.ran() > 0;
        attempts.supersedeAll();
        if (responseBegun) {
            abort("expired");
        } else if (mayHaveRun) {
            fail(ErrorResponse.EXPIRED, 0, "deadline exceeded");
        } else {
            fail(ErrorResponse.EXPIRED_UNSENT, NOT_RUN_RETRY_AFTER_MILLIS, "deadline exceeded");
        }
    }

    /** Ends the call with the error that matches its state: response begun, possibly run, or not run. */
    private void giveUp(ErrorResponse notRunError, long retryAfterMillis, String reason) {
        if (responseBegun) {
            abort(reason);
        } else if (attempts.ran() > 0) {
            fail(ErrorResponse.MAY_HAVE_RUN, 0, reason);
        } else {
            fail(notRunError, retryAfterMillis, reason);
        }
    }

    private void fail(ErrorResponse error, long retryAfterMillis, String reason) {
        log.failed(error.type(), reason, attempts.targets(), attempts.ran());
        environment.sendError(responseWriter, error, retryAfterMillis);
        finish();
    }

    private void abort(String reason) {
        log.failed("broken-off", reason, attempts.targets(), attempts.ran());
        responseWriter.abort();
        finish();
    }

    /** Ends a call after an exception in its deadline, in a callback or in a stop; nothing else would. */
    void endAfterFailure() {
        finished = true;
        deadlineTimer.cancel(false);
        environment.removeCall(this);
        // The answer may fail like what failed before, so the attempts are cancelled first.
        environment.tasks().run("cancel-attempts", attempts::cancelAll, () -> {});
        environment
                .tasks()
                .run(
                        "answer-failed-call",
                        () -> environment.sendError(responseWriter, ErrorResponse.MAY_HAVE_RUN, 0),
                        responseWriter::abort);
    }

    private void complete(int status) {
        log.ended(status, attempts.size());
        finish();
    }

    private void finish() {
        finished = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        environment.addSuperseded(attempts.checkSuperseded());
        attempts.cancelWaiting();
        environment.removeCall(this);
    }

    /** Lets one attempt alone feed the caller from now on. */
    private void select(CallAttempt attempt) {
        if (attempts.select(attempt)) {
            log.attemptWon(attempt.target(), lastEventId);
        }
    }

    private long now() {
        return environment.clocks().steadyMillis();
    }

    @Override
    public void onStreamStart(CallAttempt attempt, HttpResponse head) {
        if (!responseBegun && !finished) {
            responseBegun = true;
            select(attempt);
            responseWriter.begin(head.status(), EndToEndHeaders.copyOf(head.headers()));
        }
    }

    @Override
    public boolean onEvent(CallAttempt attempt, EventScanner.Event event) {
        if (finished) {
            return false;
        }
        OptionalLong number = event.numericId();
        boolean repeated =
                number.isPresent() && lastEventNumber.isPresent() && number.getAsLong() <= lastEventNumber.getAsLong();
        if (repeated) {
            return false;
        }
        select(attempt);
        log.answerBegun();
        if (event.id().isPresent()) {
            lastEventId = event.id();
            lastEventNumber = number;
        }
        if (!responseWriter.write(event.bytes())) {
            attempts.setAutoRead(false);
        }
        // Events are joined to earlier ones by their ids; a block without one may be a comment.
        return event.id().isPresent();
    }

    @Override
    public void onReadComplete() {
        responseWriter.flush();
    }

    @Override
    public void onStreamEnd(CallAttempt attempt, boolean framed) {
        if (finished) {
            return;
        }
        select(attempt);
        responseWriter.end();
        if (framed) {
            crashes.recordCompleted();
        }
        complete(HttpResponseStatus.OK.code());
    }

    @Override
    public void onResponse(CallAttempt attempt, HttpResponse head, byte[] body) {
        if (finished) {
            return;
        }
        int status = head.status().code();
        boolean failure = status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
        if (attempts.anyWaiting() && (failure || responseBegun)) {
            log.attemptEnded(attempt.target(), status);
            return;
        }
        if (failure) {
            if (route.kind() == CallKind.SAFE && tryRetry(true)) {
                return;
            }
        } else {
            crashes.recordCompleted();
            crashes.recordAnswered();
        }
        if (responseBegun) {
            abort("resumed stream ended with status " + status);
            return;
        }
        select(attempt);
        log.answerBegun();
        Runnable release =
                environment.responseBuffers().holdComplete(attempt.key().name(), body.length);
        responseWriter.send(head.status(), EndToEndHeaders.copyOf(head.headers()), body);
        responseWriter.whenWritten(release);
        complete(status);
    }

    @Override
    public void onNotRun(CallAttempt attempt, HttpResponse head) {
        if (finished) {
            return;
        }
        int status = head.status().code();
        log.attemptRefused(attempt.target(), status);
        if (!attempts.anyWaiting() && !tryRetry(false)) {
            giveUp(ErrorResponse.NO_PLACE, NOT_RUN_RETRY_AFTER_MILLIS, "upstream refused with status " + status);
        }
    }

    @Override
    public void onFailure(CallAttempt attempt, boolean sent, String reason) {
        log.attemptLost(attempt.target(), sent, responseBegun, attempt.eventsReceived(), reason);
        attempt.recordFailure();
        boolean open = !finished && !attempt.isSuperseded() && !attempts.anyWaiting();
        if (open && !tryRetry(sent)) {
            giveUp(ErrorResponse.NO_TARGET, NOT_RUN_RETRY_AFTER_MILLIS, reason);
        }
    }
}
