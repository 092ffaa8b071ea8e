package io.sesamehead.entry.runtime;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.sesamehead.coordination.catalog.CallKind;
import io.sesamehead.coordination.catalog.Route;
import io.sesamehead.coordination.catalog.Tenant;
import io.sesamehead.coordination.dispatch.CrashSubject;
import io.sesamehead.coordination.dispatch.DispatchDecision;
import io.sesamehead.coordination.dispatch.DispatchRequest;
import io.sesamehead.coordination.dispatch.Target;
import io.sesamehead.coordination.dispatch.TargetKey;
import io.sesamehead.entry.port.AttemptMetadata;
import io.sesamehead.entry.port.CallMetadata;
import io.sesamehead.entry.port.ResponseMetadata;
import io.sesamehead.entry.protocol.EventScanner;
import io.sesamehead.entry.transport.HttpConnectionPool;
import io.sesamehead.state.ServiceName;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * One admitted call: sends it to a target, retries or resumes it at another target where that is allowed, and completes
 * it with exactly one response. Confined to the event loop.
 */
final class ForwardedCall {
    /** Maximum number of retries after attempts that did not run; the route's own maximum counts only the others. */
    private static final int MAX_NOT_RUN_RETRIES = 2;
    /** Time after the call's deadline in which the upstream's own response is still accepted, in milliseconds. */
    private static final long DEADLINE_GRACE_MILLIS = 60;
    /** Retry-After value for a call none of whose attempts ran, in milliseconds. */
    private static final long NOT_RUN_RETRY_AFTER_MILLIS = 150;

    private static final int MAX_URGENCY = 9;

    private final CallEnvironment environment;
    private final CallRequest request;
    private final CallCrashes crashes;
    private final CallMetadata facts;
    private final Route route;
    private final Optional<Tenant> tenant;
    private final ServiceName service;
    private final ResponseWriter responseWriter;
    private final CallLog log;
    private final long deadlineMillis;
    private final List<TargetKey> triedTargets = new ArrayList<>();

    private ScheduledFuture<?> deadlineTimer;
    private Attempt attempt;
    private int attemptsRun;
    private int attemptsNotRun;
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
            ResponseWriter responseWriter) {
        this.environment = environment;
        this.request = request;
        this.facts = facts;
        this.route = route;
        this.tenant = tenant;
        this.service = service;
        this.responseWriter = responseWriter;
        this.log = new CallLog(environment, facts, route, request.arrivedAtMillis());
        this.crashes = new CallCrashes(environment, subject, parts, log);
        this.lastEventId = facts.lastEventId();
        long allowedMillis = Math.min(facts.remainingMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
        this.deadlineMillis = request.arrivedAtMillis() + allowedMillis;
    }

    /** Starts the deadline timer, then sends the call or refuses it. */
    void start() {
        environment.retryBudget(service).recordCall(now());
        long timeoutMillis = Math.max(1, deadlineMillis - now() + DEADLINE_GRACE_MILLIS);
        deadlineTimer = environment.loop().schedule(this::onDeadline, timeoutMillis, TimeUnit.MILLISECONDS);
        environment.addCall(this);
        dispatch();
    }

    /** Cancels the call because the caller has disconnected. */
    void cancel() {
        if (finished) {
            return;
        }
        environment.metrics().count("calls_left_by_caller");
        finish();
    }

    /**
     * Moves an idempotent call away from a stalled target. A call that must not run twice keeps waiting there; the stall
     * counts as a crash of its attempt.
     */
    void onStalled(TargetKey key) {
        if (finished || attempt == null || !attempt.target.key().equals(key)) {
            return;
        }
        if (!route.idempotent()) {
            attempt.recordCrash();
            return;
        }
        log.moved(key, lastEventId);
        attempt.onFailure(true, "target is silent");
    }

    /** Ends the call if a part of its prompt has been refused since it was sent and may still crash the target. */
    void endIfPartRefused() {
        boolean waiting = !finished && attempt != null && !attempt.answerBegun();
        if (waiting && crashes.isPartNewlyRefused()) {
            attemptsRun++;
            giveUp(ErrorResponse.CRASHED_BEFORE, 0, "part of the prompt crashed upstreams");
        }
    }

    /** Resumes or pauses reading from the upstream as the caller's connection becomes writable or not. */
    void onWritabilityChanged(boolean writable) {
        if (attempt != null && attempt.exchange != null) {
            attempt.exchange.setAutoRead(writable);
        }
    }

    private void dispatch() {
        List<Target> candidates = new ArrayList<>();
        for (Target target : environment.fleet().targets(service, facts.model())) {
            if (!triedTargets.contains(target.key())) {
                candidates.add(target);
            }
        }
        DispatchRequest dispatchRequest = new DispatchRequest(
                facts.promptTokens(),
                route.objectiveMillis(),
                deadlineMillis - now(),
                environment.estimateElapsedMillis(route, facts) + now() - request.arrivedAtMillis(),
                crashes.suspectedPart());
        switch (environment.dispatcher().decide(dispatchRequest, candidates, now())) {
            case DispatchDecision.Send send -> send(send.target(), send.expectedMillis());
            case DispatchDecision.Refuse refuse -> queueOrRefuse(refuse, candidates);
        }
    }

    /**
     * Refuses the call. If its response has begun, queues it at the least loaded target instead, even without a free
     * slot.
     */
    private void queueOrRefuse(DispatchDecision.Refuse refuse, List<Target> candidates) {
        Optional<Target> leastLoaded =
                responseBegun ? environment.dispatcher().leastLoaded(candidates, now()) : Optional.empty();
        if (leastLoaded.isPresent()) {
            send(leastLoaded.get(), 0);
            return;
        }
        if (refuse.reason() == DispatchDecision.Reason.NO_PLACE) {
            facts.model().ifPresent(model -> environment.modelLoads().recordLocalRefusal(model, now()));
        }
        ErrorResponse error =
                refuse.reason() == DispatchDecision.Reason.NO_PLACE ? ErrorResponse.NO_PLACE : ErrorResponse.NO_TARGET;
        giveUp(error, refuse.retryAfterMillis(), "no target available, candidates: " + candidates.size());
    }

    private void send(Target target, long expectedMillis) {
        triedTargets.add(target.key());
        log.sent(triedTargets.size(), target, expectedMillis, lastEventId);
        attempt = new Attempt(target, expectedMillis);
        attempt.start();
    }

    private FullHttpRequest encodeRequest(Target target) {
        HttpHeaders headers = EndToEndHeaders.copyOf(request.headers());
        int priority = tenant.map(Tenant::priority).orElse(OptionalInt.empty()).orElse(route.priority());
        environment
                .translator()
                .writeAttempt(
                        headers,
                        new AttemptMetadata(
                                target.upstream().id(),
                                Math.max(1, deadlineMillis - now()),
                                tenant.map(Tenant::account),
                                Math.min(MAX_URGENCY, priority),
                                lastEventId));
        if (request.hasBody()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.target(),
                Unpooled.wrappedBuffer(request.body()),
                headers,
                DefaultHttpHeadersFactory.trailersFactory().newHeaders());
    }

    /** Retries the call if its route, deadline and crash history, the targets and the retry budget allow it. */
    private boolean tryRetry(boolean mayHaveRun) {
        if (mayHaveRun && (!route.idempotent() || attemptsRun >= route.maxAttempts())) {
            return false;
        }
        if (attemptsNotRun > MAX_NOT_RUN_RETRIES || now() >= deadlineMillis || crashes.isRefused()) {
            return false;
        }
        boolean anyTarget = environment.fleet().targets(service, facts.model()).stream()
                .anyMatch(target -> !triedTargets.contains(target.key())
                        && environment.dispatcher().isUsable(target, now()));
        if (!anyTarget || !environment.tryRetry(service, now())) {
            return false;
        }
        environment.metrics().count("calls_sent_again");
        dispatch();
        return true;
    }

    private void onDeadline() {
        if (finished) {
            return;
        }
        if (responseBegun) {
            abort("expired");
        } else if (attempt != null || attemptsRun > 0) {
            fail(ErrorResponse.EXPIRED, 0, "deadline exceeded");
        } else {
            fail(ErrorResponse.EXPIRED_UNSENT, NOT_RUN_RETRY_AFTER_MILLIS, "deadline exceeded");
        }
    }

    /** Ends the call with the error that matches its state: response begun, possibly run, or not run. */
    private void giveUp(ErrorResponse notRunError, long retryAfterMillis, String reason) {
        if (responseBegun) {
            abort(reason);
        } else if (attemptsRun > 0) {
            fail(ErrorResponse.MAY_HAVE_RUN, 0, reason);
        } else {
            fail(notRunError, retryAfterMillis, reason);
        }
    }

    private void fail(ErrorResponse error, long retryAfterMillis, String reason) {
        log.failed(error.type(), reason, triedTargets, attemptsRun);
        environment.sendError(responseWriter, error, retryAfterMillis);
        finish();
    }

    private void abort(String reason) {
        log.failed("broken-off", reason, triedTargets, attemptsRun);
        responseWriter.abort();
        finish();
    }

    private void complete(int status) {
        log.ended(status, triedTargets.size());
        finish();
    }

    private void finish() {
        finished = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        if (attempt != null) {
            attempt.cancelUnanswered();
            attempt = null;
        }
        environment.removeCall(this);
    }

    private long now() {
        return environment.clocks().steadyMillis();
    }

    /** One attempt to run the call at one target. */
    private final class Attempt implements AttemptListener {
        private final Target target;
        private final long sentAtMillis = now();
        private final long expectedMillis;
        private final EventScanner eventScanner = new EventScanner();
        private final ResponseReader reader;
        private HttpConnectionPool.Exchange exchange;
        private boolean ended;
        private boolean crashRecorded;
        private int eventsReceived;

        Attempt(Target target, long expectedMillis) {
            this.target = target;
            this.expectedMillis = expectedMillis;
            this.reader =
                    new ResponseReader(environment.translator(), facts.requestId(), route.kind(), responseBegun, this);
        }

        void start() {
            environment.targetTable().recordSent(target.key(), sentAtMillis);
            exchange = environment.send(target, encodeRequest(target), route.idempotent(), reader);
            if (ended) {
                exchange.cancel();
            }
        }

        void cancelUnanswered() {
            if (!ended) {
                crashes.recordCancelled(target, sentAtMillis, answerBegun());
                cancel();
            }
        }

        private boolean answerBegun() {
            return eventsReceived > 0;
        }

        /** Counts a crash once per attempt, although a stalled target is reported at every check. */
        void recordCrash() {
            if (crashRecorded) {
                return;
            }
            crashRecorded = true;
            crashes.recordCrash(target, sentAtMillis, answerBegun());
        }

        /** Cancels the attempt; anything that the upstream still sends is ignored. */
        void cancel() {
            if (ended) {
                return;
            }
            markEnded();
            if (exchange != null) {
                exchange.cancel();
            }
        }

        private void markEnded() {
            ended = true;
            environment.targetTable().recordEnded(target.key());
        }

        @Override
        public void onResponseHead(HttpResponse head, ResponseMetadata facts) {
            if (facts.leaving()) {
                environment.recordLeaving(target.upstream());
            }
            if (head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                    && head.headers().contains(HttpHeaderNames.RETRY_AFTER)) {
                environment.recordBusy(target.upstream().id(), head.headers());
            }
        }

        @Override
        public boolean onStreamStart(HttpResponse head) {
            if (ended) {
                return false;
            }
            environment.targetTable().recordProgress(target.key(), now());
            if (!responseBegun) {
                responseBegun = true;
                HttpHeaders headers = EndToEndHeaders.copyOf(head.headers());
                responseWriter.begin(head.status(), headers);
            }
            return true;
        }

        @Override
        public void onStreamData(byte[] bytes) {
            if (ended) {
                return;
            }
            if (!eventScanner.feed(bytes, this::onEvent)) {
                onFailure(true, "event exceeds the maximum size");
            }
        }

        /** Counts only whole events as progress, because a failing target may keep sending single bytes. */
        private void onEvent(EventScanner.Event event) {
            environment.targetTable().recordProgress(target.key(), now());
            eventsReceived++;
            if (eventsReceived == 1) {
                recordFirstEvent();
            }
            OptionalLong number = event.numericId();
            boolean repeated = number.isPresent()
                    && lastEventNumber.isPresent()
                    && number.getAsLong() <= lastEventNumber.getAsLong();
            if (repeated) {
                return;
            }
            if (event.id().isPresent()) {
                lastEventId = event.id();
                lastEventNumber = number;
            }
            if (!responseWriter.write(event.bytes())) {
                exchange.setAutoRead(false);
            }
        }

        private void recordFirstEvent() {
            crashes.recordAnswered();
            long tookMillis = now() - sentAtMillis;
            environment.metrics().time("first_event_ms", tookMillis);
            environment.metrics().time("first_event_late_ms", tookMillis - expectedMillis);
        }

        @Override
        public void onStreamEnd(boolean framed) {
            if (ended) {
                return;
            }
            if (eventScanner.hasPartialEvent()) {
                onFailure(true, "response ended in the middle of an event");
                return;
            }
            markEnded();
            environment.serviceTimes().recordRunTime(target, now() - sentAtMillis);
            responseWriter.end();
            if (framed) {
                crashes.recordCompleted();
            }
            complete(HttpResponseStatus.OK.code());
        }

        @Override
        public void onResponse(HttpResponse head, byte[] body) {
            if (ended) {
                return;
            }
            environment.targetTable().recordProgress(target.key(), now());
            markEnded();
            environment.serviceTimes().recordRunTime(target, now() - sentAtMillis);
            boolean failure = head.status().code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
            if (failure) {
                attemptsRun++;
                if (route.kind() == CallKind.SAFE && tryRetry(true)) {
                    return;
                }
            } else {
                crashes.recordCompleted();
                crashes.recordAnswered();
            }
            if (responseBegun) {
                abort("resumed stream ended with status " + head.status().code());
                return;
            }
            responseWriter.send(head.status(), EndToEndHeaders.copyOf(head.headers()), body);
            complete(head.status().code());
        }

        @Override
        public void onNotRun(HttpResponse head) {
            if (ended) {
                return;
            }
            environment.targetTable().recordProgress(target.key(), now());
            markEnded();
            attemptsNotRun++;
            log.attemptRefused(target, head.status().code());
            if (!tryRetry(false)) {
                giveUp(
                        ErrorResponse.NO_PLACE,
                        NOT_RUN_RETRY_AFTER_MILLIS,
                        "upstream refused with status " + head.status().code());
            }
        }

        @Override
        public void onFailure(boolean sent, String reason) {
            if (ended) {
                return;
            }
            cancel();
            log.attemptLost(target, sent, responseBegun, eventsReceived, reason);
            if (sent) {
                attemptsRun++;
                recordCrash();
                environment.onTargetEnded(target.key());
            } else {
                attemptsNotRun++;
                environment.recordUnreachable(target);
            }
            if (!tryRetry(sent)) {
                giveUp(ErrorResponse.NO_TARGET, NOT_RUN_RETRY_AFTER_MILLIS, reason);
            }
        }
    }
}
